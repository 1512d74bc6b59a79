package org.brasspier.bench.demo;

import java.util.List;
import java.util.stream.LongStream;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.google.gson.Gson;
import org.brasspier.standins.Violation;

/**
 * Goes through random mixes of two or three faults, each with a deployment of its own:
 * {@code bin/run org.brasspier.bench.demo.FaultMix --seeds N [--first SEED]}. Ends with 1
 * if a promise was broken; the seed then belongs among the tests.
 */
public final class FaultMix {

	@Parameter(names = "--seeds", description = "how many")
	private int seeds = 20;

	@Parameter(names = "--first", description = "the first seed")
	private long firstSeed = 1;

	private FaultMix() {
	}

	/**
	 * Runs the mixes.
	 * @param arguments the flags
	 */
	public static void main(String[] arguments) {
		FaultMix mix = new FaultMix();
		JCommander.newBuilder().addObject(mix).programName("fault-mix").build().parse(arguments);
		List<Long> failedSeeds = LongStream.range(mix.firstSeed, mix.firstSeed + mix.seeds)
			.filter((seed) -> !runSeed(seed))
			.boxed()
			.toList();
		System.out.println(new Gson().toJson(new Result(mix.seeds, mix.firstSeed, failedSeeds)));
		System.exit((failedSeeds.isEmpty()) ? 0 : 1);
	}

	private static boolean runSeed(long seed) {
		try (FaultTrial trial = FaultTrial.start()) {
			List<Violation> violations = trial.run(seed);
			System.out.println("seed " + seed + ": " + violations);
			return violations.isEmpty();
		}
		catch (IllegalStateException ex) {
			System.out.println("seed " + seed + ": " + ex.getMessage());
			return false;
		}
	}

	/**
	 * The closing line.
	 *
	 * @param seeds how many were tried
	 * @param firstSeed the first
	 * @param broken those under which a promise was broken or a service not served again
	 */
	private record Result(int seeds, long first, List<Long> broken) {

	}

}
