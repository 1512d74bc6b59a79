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
 * Processor time of this process since its start, by the purpose of its threads, as
 * counted by the Linux kernel. This includes the virtual machine's own threads, which its
 * management interface does not show. Stateless and thread-safe.
 */
final class ProcessorTimes {

	private static final Path TASK_DIRECTORY = Path.of("/proc/self/task");

	private final Path threads;

	ProcessorTimes() {
		this(TASK_DIRECTORY);
	}

	/**
	 * Creates an instance that reads another directory.
	 * @param threads a directory laid out like {@code /proc/self/task}
	 */
	ProcessorTimes(Path threads) {
		this.threads = threads;
	}

	/**
	 * Reads the processor times.
	 * @return the time for each purpose; zero where the kernel provides none
	 */
	Map<Purpose, Duration> read() {
		Map<Purpose, Duration> times = new EnumMap<>(Purpose.class);
		Arrays.stream(Purpose.values()).forEach((purpose) -> times.put(purpose, Duration.ZERO));
		threadDirectories().forEach((thread) -> times.merge(purpose(thread), time(thread), Duration::plus));
		return times;
	}

	private List<Path> threadDirectories() {
		try (Stream<Path> found = Files.list(this.threads)) {
			return found.toList();
		}
		catch (IOException ex) {
			// Only Linux has this directory.
			return List.of();
		}
	}

	private static Purpose purpose(Path thread) {
		String name = readFile(thread.resolve("comm"));
		return Arrays.stream(Purpose.values())
			.filter((purpose) -> purpose.prefixes.stream().anyMatch(name::startsWith))
			.findFirst()
			.orElse(Purpose.OTHER);
	}

	// The first number is the time spent on a processor, nanoseconds.
	private static Duration time(Path thread) {
		String times = readFile(thread.resolve("schedstat"));
		return times.isEmpty() ? Duration.ZERO : Duration.ofNanos(Long.parseLong(times.split(" ")[0]));
	}

	private static String readFile(Path file) {
		try {
			return Files.readString(file).strip();
		}
		catch (IOException ex) {
			// The thread has ended since the directory was listed.
			return "";
		}
	}

	/**
	 * Purpose of a thread, identified by a prefix of its name. The kernel keeps the first
	 * 15 characters of a thread's name.
	 */
	enum Purpose {

		/** Event loop that handles requests, heartbeats and messages between daemons. */
		REQUESTS("requests"),
		/** Just-in-time compilation. */
		COMPILER("C1 ", "C2 "),
		/** Garbage collection and other operations of the virtual machine. */
		COLLECTOR("VM ", "GC "),
		/** Log appender. */
		LOGGING("AsyncAppender"),
		/** All other threads, and the start of the process. */
		OTHER;

		private final List<String> prefixes;

		Purpose(String... prefixes) {
			this.prefixes = List.of(prefixes);
		}

	}

}
