package org.brasspier.daemon.internal.mesh;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * The processor time of this process since its start, by what its threads are for, as the
 * Linux kernel counts it. The virtual machine's own threads are among them, which its
 * management interface does not show. Stateless.
 */
final class ProcessorTimes {

	private static final Path THREADS = Path.of("/proc/self/task");

	private final Path threads;

	ProcessorTimes() {
		this(THREADS);
	}

	/**
	 * Reads threads from elsewhere.
	 * @param threads a folder laid out like {@code /proc/self/task}
	 */
	ProcessorTimes(Path threads) {
		this.threads = threads;
	}

	/**
	 * Reads the times.
	 * @return the time by purpose; zero where the kernel shows none
	 */
	Map<Purpose, Duration> read() {
		Map<Purpose, Duration> times = new EnumMap<>(Purpose.class);
		Arrays.stream(Purpose.values()).forEach((purpose) -> times.put(purpose, Duration.ZERO));
		folders().forEach((thread) -> times.merge(purpose(thread), time(thread), Duration::plus));
		return times;
	}

	private List<Path> folders() {
		try (Stream<Path> found = Files.list(this.threads)) {
			return found.toList();
		}
		catch (IOException ex) {
			// Other systems than Linux show no threads.
			return List.of();
		}
	}

	private static Purpose purpose(Path thread) {
		String name = text(thread.resolve("comm"));
		return Arrays.stream(Purpose.values())
			.filter((purpose) -> purpose.prefixes.stream().anyMatch(name::startsWith))
			.findFirst()
			.orElse(Purpose.OTHER);
	}

	// The first of the numbers is the time on a processor in nanoseconds.
	private static Duration time(Path thread) {
		String times = text(thread.resolve("schedstat"));
		return times.isEmpty() ? Duration.ZERO : Duration.ofNanos(Long.parseLong(times.split(" ")[0]));
	}

	private static String text(Path file) {
		try {
			return Files.readString(file).strip();
		}
		catch (IOException ex) {
			// The thread has ended since the folder was listed.
			return "";
		}
	}

	/**
	 * What a thread is for. The kernel keeps the first 15 characters of a thread's name.
	 */
	enum Purpose {

		/** The loop that handles requests, heartbeats and everything between daemons. */
		REQUESTS("requests"),
		/** Compiles bytecode. */
		COMPILER("C1 ", "C2 "),
		/** Collects garbage, among other operations of the virtual machine. */
		COLLECTOR("VM ", "GC "),
		/** Writes log lines. */
		LOGGING("AsyncAppender"),
		/** The start of the process, and what has no kind of its own. */
		OTHER;

		private final List<String> prefixes;

		Purpose(String... prefixes) {
			this.prefixes = List.of(prefixes);
		}

	}

}
