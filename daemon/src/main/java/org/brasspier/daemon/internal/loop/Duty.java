package org.brasspier.daemon.internal.loop;

import java.io.IOException;
import java.io.InterruptedIOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;

import io.activej.eventloop.Eventloop;
import io.activej.reactor.nio.NioReactor;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A thread with an event loop for one task of the daemon. Other threads pass work to it
 * through a {@link Ring}. Starting and stopping is thread-safe; all else is confined to
 * the thread itself.
 */
public final class Duty {

	private static final Logger logger = LoggerFactory.getLogger(Duty.class);

	private static final long STOP_WAIT_MILLIS = TimeUnit.SECONDS.toMillis(5);

	private final Eventloop loop;

	private final Thread thread;

	/**
	 * Creates a duty that is not yet running.
	 * @param name the name of its thread
	 */
	public Duty(String name) {
		this.loop = Eventloop.builder()
			.withThreadName(name)
			.withTimeProvider(Duty::steadyMillis)
			.withFatalErrorHandler(Duty::report)
			.build();
		this.thread = new Thread(this.loop, name);
		this.thread.setDaemon(true);
	}

	// The default clock of ActiveJ is the time of day. If that jumps by seconds,
	// timeouts fire at once or seconds late; the steady clock doesn't jump.
	private static long steadyMillis() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
	}

	private static void report(Throwable error, @org.jspecify.annotations.Nullable Object context) {
		logger.error("a task of the event loop failed", error);
	}

	/**
	 * Returns the reactor of the event loop, for building servers and clients.
	 * @return the reactor
	 */
	public NioReactor reactor() {
		return this.loop;
	}

	/**
	 * Starts the thread.
	 */
	public void start() {
		this.loop.keepAlive(true);
		this.thread.start();
	}

	/**
	 * Starts the thread and opens its ports in the thread itself.
	 * @param opening opens the ports
	 * @throws IOException if a port can't be opened
	 */
	public void start(Opening opening) throws IOException {
		start();
		CompletableFuture<Void> opened = new CompletableFuture<>();
		execute(() -> {
			try {
				opening.open();
				opened.complete(null);
			}
			// Any of these, if not passed on, would leave the starting thread waiting.
			catch (IOException | RuntimeException | LinkageError ex) {
				opened.completeExceptionally(ex);
			}
		});
		try {
			opened.get();
		}
		catch (ExecutionException ex) {
			throw new IOException("a port of %s can't be opened".formatted(this.thread.getName()), ex.getCause());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new InterruptedIOException("interrupted while opening the ports of " + this.thread.getName());
		}
	}

	/**
	 * Runs a task in the thread. For starting and stopping only: work during normal
	 * operation goes through a {@link Ring}, which is bounded.
	 * @param task the task
	 */
	public void execute(Runnable task) {
		this.loop.execute(task);
	}

	/**
	 * Stops the thread after the tasks already queued.
	 * @throws InterruptedException if the calling thread is interrupted while it waits
	 */
	public void stop() throws InterruptedException {
		this.loop.execute(() -> this.loop.keepAlive(false));
		this.loop.execute(this.loop::breakEventloop);
		this.thread.join(STOP_WAIT_MILLIS);
	}

	/**
	 * Opens ports.
	 */
	public interface Opening {

		/**
		 * Opens the ports; called once, in the duty's thread.
		 * @throws IOException if one can't be opened
		 */
		void open() throws IOException;

	}

}
