package org.brasspier.bench;

import java.io.IOException;
import java.nio.file.Path;

import org.brasspier.bench.capacity.CapacityBench;
import org.brasspier.bench.path.PathBench;

/**
 * The program behind {@code bin/bench}: one measurement by its name, or all of them one
 * after another.
 */
public final class Bench {

	private static final Path OUTPUT = Path.of("bench", "target", "results");

	private static final Path CAPACITY_PAGE = Path.of("docs", "CAPACITY.md");

	private Bench() {
	}

	/**
	 * Runs measurements.
	 * @param arguments the name of one, or nothing for all
	 * @throws IOException if a result can't be written
	 * @throws InterruptedException if interrupted
	 */
	public static void main(String[] arguments) throws IOException, InterruptedException {
		String name = (arguments.length > 0) ? arguments[0] : "all";
		switch (name) {
			case "capacity" -> CapacityBench.run(OUTPUT, CAPACITY_PAGE);
			case "path" -> PathBench.run(OUTPUT);
			case "all" -> {
				CapacityBench.run(OUTPUT, CAPACITY_PAGE);
				PathBench.run(OUTPUT);
			}
			default -> {
				System.err.println("unknown measurement \"" + name + "\": capacity, path or all");
				System.exit(2);
			}
		}
	}

}
