package org.brasspier.bench.demo;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Collectors;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.google.gson.Gson;
import org.brasspier.standins.CallerFleet;
import org.brasspier.standins.CallerRecord;
import org.brasspier.standins.CallerRecord.Outcome;
import org.brasspier.standins.Deployment;
import org.brasspier.standins.DeploymentShape;
import org.brasspier.standins.HistoryChecker;
import org.brasspier.standins.HistoryMetrics;
import org.brasspier.standins.PlatformFaults;
import org.brasspier.standins.ServiceShape;
import org.brasspier.standins.Violation;

/**
 * Measures request outcomes from the callers' view while the platform's store is
 * unavailable, and then while it delays each response by two seconds:
 * {@code bin/bench outage}, or
 * {@code bin/run org.brasspier.bench.demo.OutageBench [--seconds N]}. Prints one line of
 * JSON at the end and exits with 1 if a guarantee was violated.
 */
public final class OutageBench {

	private static final int SLOW_MILLIS = 2000;

	private static final int MICROS_PER_MILLI = 1000;

	@Parameter(names = "--seconds",
			description = "duration of the outage in seconds; the slow phase lasts a fifth of it")
	private int seconds = 300;

	private OutageBench() {
	}

	/**
	 * Runs the benchmark.
	 * @param arguments the command-line flags
	 */
	public static void main(String[] arguments) {
		OutageBench bench = new OutageBench();
		JCommander.newBuilder().addObject(bench).programName("outage-bench").build().parse(arguments);
		System.exit((bench.run()) ? 0 : 1);
	}

	private boolean run() {
		DeploymentShape shape = DeploymentShape.small(new ServiceShape("hullbook", true, 4, 8, 60, true),
				new ServiceShape("jobdesk", false, 2, 8, 60, false));
		try (Deployment deployment = Deployment.start(shape); CallerFleet callers = deployment.newCallers()) {
			deployment.awaitServed();
			callers.setTraffic(Traffic.of(shape));
			List<Figures> figures = new ArrayList<>();
			figures.add(measurePhase(deployment, callers, "well", PlatformFaults.NONE, this.seconds / 20));
			figures.add(measurePhase(deployment, callers, "down", PlatformFaults.OUTAGE, this.seconds));
			figures.add(measurePhase(deployment, callers, "slow", PlatformFaults.slow(SLOW_MILLIS), this.seconds / 5));
			figures.add(measurePhase(deployment, callers, "well again", PlatformFaults.NONE, this.seconds / 20));
			callers.finish();
			List<Violation> violations = HistoryChecker.check(deployment.serverRecords(), callers.records(),
					deployment.shardedServices());
			violations.forEach((violation) -> System.out.println("BROKEN " + violation));
			System.out.println(new Gson().toJson(new Result(figures, violations.size())));
			return violations.isEmpty();
		}
	}

	private static Figures measurePhase(Deployment deployment, CallerFleet callers, String store, PlatformFaults faults,
			int seconds) {
		int recordsBefore = callers.records().size();
		deployment.platform().faults(faults);
		LockSupport.parkNanos(TimeUnit.SECONDS.toNanos(seconds));
		List<CallerRecord> all = callers.records();
		Figures figures = Figures.of(store, seconds, all.subList(recordsBefore, all.size()));
		System.out.println(figures);
		return figures;
	}

	/**
	 * Request outcomes of one phase from the callers' view.
	 *
	 * @param store state of the store
	 * @param seconds duration of the phase, in seconds
	 * @param answered number of requests answered
	 * @param refused number of requests refused
	 * @param failed number of requests that ended without an answer
	 * @param longestGapMs the longest time between two answers of the same service, in
	 * milliseconds
	 */
	private record Figures(String store, int seconds, long answered, long refused, long failed, long longestGapMs) {

		static Figures of(String store, int seconds, List<CallerRecord> records) {
			Map<Outcome, Long> outcomes = HistoryMetrics.outcomes(records);
			long gapMillis = records.stream()
				.filter((record) -> record.outcome() == Outcome.ANSWERED)
				.collect(Collectors.groupingBy((record) -> record.request().service()))
				.values()
				.stream()
				.mapToLong(Figures::longestGapMillis)
				.max()
				.orElse(-1);
			return new Figures(store, seconds, outcomes.getOrDefault(Outcome.ANSWERED, 0L),
					outcomes.getOrDefault(Outcome.REFUSED, 0L), outcomes.getOrDefault(Outcome.FAILED, 0L), gapMillis);
		}

		private static long longestGapMillis(List<CallerRecord> answered) {
			List<Long> endTimes = answered.stream()
				.map((record) -> record.lastAttempt().endMicros())
				.sorted(Comparator.naturalOrder())
				.toList();
			long longestMicros = 0;
			for (int i = 1; i < endTimes.size(); i++) {
				longestMicros = Math.max(longestMicros, endTimes.get(i) - endTimes.get(i - 1));
			}
			return longestMicros / MICROS_PER_MILLI;
		}

	}

	/**
	 * Results of the benchmark, printed as the last line.
	 *
	 * @param phases the figures of each phase
	 * @param broken number of violations
	 */
	private record Result(List<Figures> phases, int broken) {

	}

}
