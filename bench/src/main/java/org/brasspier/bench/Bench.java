package org.brasspier.bench;

import java.nio.file.Path;

import org.brasspier.bench.capacity.CapacityBench;
import org.brasspier.bench.demo.OutageBench;
import org.brasspier.bench.demo.RecoveryBench;
import org.brasspier.bench.document.DocumentBench;
import org.brasspier.bench.ownership.OwnershipBench;
import org.brasspier.bench.path.PathBench;
import org.brasspier.bench.policy.PolicyBench;

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
	 * @throws Exception if a measurement can't be made
	 */
	public static void main(String[] arguments) throws Exception {
		switch ((arguments.length > 0) ? arguments[0] : "all") {
			case "capacity" -> CapacityBench.run(OUTPUT, CAPACITY_PAGE);
			case "path" -> PathBench.run(OUTPUT);
			case "policy" -> PolicyBench.main(new String[] { OUTPUT.toString() });
			case "document" -> DocumentBench.main(new String[] { OUTPUT.toString() });
			case "ownership" -> OwnershipBench.main(new String[0]);
			case "recovery" -> RecoveryBench.main(new String[0]);
			case "outage" -> OutageBench.main(new String[0]);
			case "all" -> runAll();
			default -> {
				System.err.println("unknown measurement \"%s\": %s or all".formatted(arguments[0],
						"capacity, path, policy, document, ownership, recovery, outage"));
				System.exit(2);
			}
		}
	}

	/**
	 * Recovery comes last, since it ends the process with its own verdict. The outage is
	 * left out: it takes seven minutes by itself.
	 */
	private static void runAll() throws Exception {
		CapacityBench.run(OUTPUT, CAPACITY_PAGE);
		PathBench.run(OUTPUT);
		PolicyBench.main(new String[] { OUTPUT.toString() });
		DocumentBench.main(new String[] { OUTPUT.toString() });
		OwnershipBench.main(new String[0]);
		RecoveryBench.main(new String[0]);
	}

}
