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
 * Measures what callers see while the platform's store is down, and then while it takes
 * two seconds for each answer: {@code bin/bench outage}, or
 * {@code bin/run org.brasspier.bench.demo.OutageBench [--seconds N]}. Closes with one
 * line of JSON, and ends with 1 if a promise was broken.
 */
public final class OutageBench {

	private static final int SLOW_MILLIS = 2000;

	private static final int MICROS = 1000;

	@Parameter(names = "--seconds", description = "how long the store is down; a fifth of that it is slow")
	private int seconds = 300;

	private OutageBench() {
	}

	/**
	 * Runs the bench.
	 * @param arguments the flags
	 */
	public static void main(String[] arguments) {
		OutageBench bench = new OutageBench();
		JCommander.newBuilder().addObject(bench).programName("outage-bench").build().parse(arguments);
		System.exit((bench.run()) ? 0 : 1);
	}

	private boolean run() {
		DeploymentShape shape = DeploymentShape.small(new ServiceShape("hullbook", true, 4, 8, 60, true),
				new ServiceShape("jobdesk", false, 2, 8, 60, false));
		try (Deployment running = Deployment.start(shape); CallerFleet callers = running.newCallers()) {
			running.awaitServed();
			callers.setTraffic(Traffic.of(shape));
			List<Figures> figures = new ArrayList<>();
			figures.add(phase(running, callers, "well", PlatformFaults.NONE, this.seconds / 20));
			figures.add(phase(running, callers, "down", PlatformFaults.OUTAGE, this.seconds));
			figures.add(phase(running, callers, "slow", PlatformFaults.slow(SLOW_MILLIS), this.seconds / 5));
			figures.add(phase(running, callers, "well again", PlatformFaults.NONE, this.seconds / 20));
			callers.finish();
			List<Violation> violations = HistoryChecker.check(running.serverRecords(), callers.records(),
					running.shardedServices());
			violations.forEach((violation) -> System.out.println("BROKEN " + violation));
			System.out.println(new Gson().toJson(new Result(figures, violations.size())));
			return violations.isEmpty();
		}
	}

	private static Figures phase(Deployment running, CallerFleet callers, String store, PlatformFaults faults,
			int seconds) {
		int before = callers.records().size();
		running.platform().faults(faults);
		LockSupport.parkNanos(TimeUnit.SECONDS.toNanos(seconds));
		List<CallerRecord> all = callers.records();
		Figures figures = Figures.of(store, seconds, all.subList(before, all.size()));
		System.out.println(figures);
		return figures;
	}

	/**
	 * What callers saw.
	 *
	 * @param store how the store was
	 * @param seconds for how long
	 * @param answered how many requests were answered
	 * @param refused how many were turned away
	 * @param failed how many ended without an answer
	 * @param longestGapMs the longest time without any answer of a service, in
	 * milliseconds
	 */
	private record Figures(String store, int seconds, long answered, long refused, long failed, long longestGapMs) {

		static Figures of(String store, int seconds, List<CallerRecord> records) {
			Map<Outcome, Long> outcomes = HistoryMetrics.outcomes(records);
			long gap = records.stream()
				.filter((done) -> done.outcome() == Outcome.ANSWERED)
				.collect(Collectors.groupingBy((done) -> done.request().service()))
				.values()
				.stream()
				.mapToLong(Figures::longestGap)
				.max()
				.orElse(-1);
			return new Figures(store, seconds, outcomes.getOrDefault(Outcome.ANSWERED, 0L),
					outcomes.getOrDefault(Outcome.REFUSED, 0L), outcomes.getOrDefault(Outcome.FAILED, 0L), gap);
		}

		private static long longestGap(List<CallerRecord> answered) {
			List<Long> ends = answered.stream()
				.map((done) -> done.lastAttempt().endMicros())
				.sorted(Comparator.naturalOrder())
				.toList();
			long longest = 0;
			for (int i = 1; i < ends.size(); i++) {
				longest = Math.max(longest, ends.get(i) - ends.get(i - 1));
			}
			return longest / MICROS;
		}

	}

	/**
	 * The closing line.
	 *
	 * @param phases the figures of each phase
	 * @param broken how many promises were broken
	 */
	private record Result(List<Figures> phases, int broken) {

	}

}
