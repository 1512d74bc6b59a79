package org.brasspier.bench.demo;

import java.util.List;
import java.util.stream.LongStream;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.google.gson.Gson;
import org.brasspier.standins.Violation;

/**
 * Runs random schedules of two or three faults, each against a new deployment:
 * {@code bin/run org.brasspier.bench.demo.FaultMix --seeds N [--first SEED]}. Exits with
 * 1 if a guarantee was violated or a service did not recover. Add a failing seed to the
 * tests.
 */
public final class FaultMix {

	@Parameter(names = "--seeds", description = "how many seeds to run")
	private int seeds = 20;

	@Parameter(names = "--first", description = "the first seed")
	private long firstSeed = 1;

	private FaultMix() {
	}

	/**
	 * Runs the schedules.
	 * @param arguments the command-line flags
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
	 * Summary of the run, printed as the last line.
	 *
	 * @param seeds number of seeds run
	 * @param first the first seed
	 * @param broken seeds for which a guarantee was violated or a service did not recover
	 */
	private record Result(int seeds, long first, List<Long> broken) {

	}

}
