package org.brasspier.standins;

import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.ProcessBuilder.Redirect;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import org.jspecify.annotations.Nullable;

/**
 * A program of this build in a process of its own. It is killed when this JVM exits.
 * Thread-safe.
 */
public final class ProgramProcess {

	private static final Set<Process> runningProcesses = ConcurrentHashMap.newKeySet();

	static {
		Runtime.getRuntime()
			.addShutdownHook(new Thread(() -> runningProcesses.forEach(Process::destroyForcibly), "end-processes"));
	}

	private final String name;

	private final List<String> command;

	private final Map<String, String> environment;

	private final File output;

	private final File log;

	private volatile Runnable exitAction = () -> {
	};

	private @Nullable Process process;

	/**
	 * Creates a process that is not yet started.
	 * @param name its name, also used for its files
	 * @param mainClass the program
	 * @param arguments its arguments
	 * @param environment variables of its environment, besides those of this process
	 * @param folder folder of its output files; each start appends to them
	 */
	public ProgramProcess(String name, String mainClass, List<String> arguments, Map<String, String> environment,
			Path folder) {
		this.name = name;
		this.command = command(mainClass, arguments);
		this.environment = Map.copyOf(environment);
		this.output = folder.resolve(name + ".out").toFile();
		this.log = folder.resolve(name + ".log").toFile();
	}

	private static List<String> command(String mainClass, List<String> arguments) {
		List<String> command = new ArrayList<>(
				List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-Xmx64m", "-Xss512k",
						"-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xshare:auto", "-XX:-UsePerfData",
						"--sun-misc-unsafe-memory-access=allow", "--enable-native-access=ALL-UNNAMED", "-cp",
						System.getProperty("java.class.path"), mainClass));
		command.addAll(arguments);
		return List.copyOf(command);
	}

	/**
	 * Starts the process.
	 * @return this
	 */
	public synchronized ProgramProcess start() {
		if (isAlive()) {
			throw new IllegalStateException(this.name + " is running already");
		}
		ProcessBuilder builder = new ProcessBuilder(this.command).redirectOutput(Redirect.appendTo(this.output))
			.redirectError(Redirect.appendTo(this.log));
		builder.environment().putAll(this.environment);
		try {
			Process newProcess = builder.start();
			runningProcesses.add(newProcess);
			newProcess.onExit().thenAccept((exited) -> {
				runningProcesses.remove(exited);
				this.exitAction.run();
			});
			this.process = newProcess;
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return this;
	}

	/**
	 * Sets the action that runs each time the process has ended.
	 * @param action the action
	 */
	void onExit(Runnable action) {
		this.exitAction = action;
	}

	/**
	 * Whether the process is running, also if it is paused.
	 * @return true if it does
	 */
	public synchronized boolean isAlive() {
		return this.process != null && this.process.isAlive();
	}

	/**
	 * Kills the process (SIGKILL) and waits for its end.
	 */
	public void kill() {
		startedProcess().destroyForcibly();
		awaitExit(Await.LIMIT);
	}

	/**
	 * Requests an orderly end of the process (SIGTERM) and does not wait for it.
	 */
	public void terminate() {
		startedProcess().destroy();
	}

	/**
	 * Suspends the process (SIGSTOP), like a long pause of its machine.
	 */
	public void pause() {
		signal("-STOP");
	}

	/**
	 * Continues a paused process (SIGCONT).
	 */
	public void resume() {
		signal("-CONT");
	}

	private void signal(String signal) {
		try {
			new ProcessBuilder("kill", signal, Long.toString(startedProcess().pid())).start().waitFor();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * Waits for the end of the process.
	 * @param limit longest time to wait
	 * @return the exit code
	 * @throws IllegalStateException if the process does not end in time
	 */
	public int awaitExit(Duration limit) {
		Process running = startedProcess();
		try {
			if (!running.waitFor(limit.toMillis(), TimeUnit.MILLISECONDS)) {
				throw new IllegalStateException("%s did not end within %d ms".formatted(this.name, limit.toMillis()));
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		return running.exitValue();
	}

	/**
	 * The process id of the latest start.
	 * @return the id
	 */
	public long pid() {
		return startedProcess().pid();
	}

	/**
	 * The file that captures its standard output.
	 * @return the file
	 */
	public Path output() {
		return this.output.toPath();
	}

	/**
	 * The file that captures its standard error.
	 * @return the file
	 */
	public Path log() {
		return this.log.toPath();
	}

	private synchronized Process startedProcess() {
		if (this.process == null) {
			throw new IllegalStateException(this.name + " was never started");
		}
		return this.process;
	}

}
