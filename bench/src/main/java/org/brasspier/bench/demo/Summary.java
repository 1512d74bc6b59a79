package org.brasspier.bench.demo;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.LongStream;

import com.google.gson.FieldNamingPolicy;
import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import org.brasspier.standins.CallerRecord;
import org.brasspier.standins.CallerRecord.Outcome;
import org.brasspier.standins.Deployment;
import org.brasspier.standins.HistoryChecker;
import org.brasspier.standins.HistoryMetrics;
import org.brasspier.standins.InstanceLoss;
import org.brasspier.standins.OwnedRange;
import org.brasspier.standins.ServerRecord;
import org.brasspier.standins.Violation;
import org.brasspier.standins.Violation.Invariant;

/**
 * The closing line of the demonstration. Immutable and thread-safe.
 *
 * @param requests how many requests callers made
 * @param answered how many were answered
 * @param refused how many were refused and did not run
 * @param failed how many ended without an answer that says what became of them
 * @param wrongOwner how often two servers owned one key, or one worked under a dead fence
 * @param ranTwice how many postings ran twice
 * @param answeredToWrongCaller how many answers were another's or not whole
 * @param otherViolations how many other promises were broken
 * @param recoveryMs from the loss to the first answer for each range of the lost owner
 * @param imbalance the busiest server's work over the mean, 1 is even
 * @param churn percentage of the key space that got another owner
 * @param unavailable mean time in milliseconds for which a key was not served
 */
record Summary(long requests, long answered, long refused, long failed, long wrongOwner, long ranTwice,
		long answeredToWrongCaller, long otherViolations, Recovery recoveryMs, double imbalance, double churn,
		double unavailable) {

	private static final Gson GSON = new GsonBuilder()
		.setFieldNamingPolicy(FieldNamingPolicy.LOWER_CASE_WITH_UNDERSCORES)
		.create();

	static Summary of(Deployment deployment, List<CallerRecord> callers, InstanceLoss loss, long sinceMicros) {
		return of(new Histories(deployment.serverRecords(), callers), deployment.shardedServices(),
				deployment.shape().services().size(), loss, sinceMicros);
	}

	static Summary of(Histories histories, Set<String> keyedServices, int services, InstanceLoss loss,
			long sinceMicros) {
		List<ServerRecord> servers = histories.servers();
		List<CallerRecord> callers = histories.callers();
		Map<Outcome, Long> outcomes = HistoryMetrics.outcomes(callers);
		List<Violation> violations = HistoryChecker.check(servers, callers, keyedServices);
		violations.forEach((violation) -> System.out.println("BROKEN " + violation));
		long wrongOwner = count(violations, Invariant.ONE_OWNER) + count(violations, Invariant.NO_STALE_FENCE);
		long ranTwice = count(violations, Invariant.RUNS_ONCE);
		long answeredToWrongCaller = count(violations, Invariant.OWN_ANSWER);
		return new Summary(callers.size(), outcomes.getOrDefault(Outcome.ANSWERED, 0L),
				outcomes.getOrDefault(Outcome.REFUSED, 0L), outcomes.getOrDefault(Outcome.FAILED, 0L), wrongOwner,
				ranTwice, answeredToWrongCaller, violations.size() - wrongOwner - ranTwice - answeredToWrongCaller,
				Recovery.of(HistoryMetrics.recovery(servers, callers, loss)),
				rounded(HistoryMetrics.imbalance(servers, List.of(loss), sinceMicros)),
				rounded(HistoryMetrics.churnPercent(servers, services, sinceMicros)),
				rounded(HistoryMetrics.unavailableMillis(callers)));
	}

	private static long count(List<Violation> violations, Invariant invariant) {
		return violations.stream().filter((violation) -> violation.invariant() == invariant).count();
	}

	private static double rounded(double value) {
		return Math.round(value * 1000) / 1000.0;
	}

	boolean guaranteesHeld() {
		return this.wrongOwner + this.ranTwice + this.answeredToWrongCaller + this.otherViolations == 0
				&& this.recoveryMs.unanswered == 0;
	}

	String toJson() {
		return GSON.toJson(this);
	}

	/**
	 * What the observers recorded.
	 *
	 * @param servers the backend servers' records in the order of time
	 * @param callers the callers' records
	 */
	record Histories(List<ServerRecord> servers, List<CallerRecord> callers) {

	}

	/**
	 * How long the ranges of a lost owner went without answer, in milliseconds.
	 *
	 * @param ranges how many ranges it owned
	 * @param median the median over its ranges, -1 if none was answered again
	 * @param max the longest, -1 if none was answered again
	 * @param unanswered how many were not answered again
	 */
	record Recovery(long ranges, long median, long max, long unanswered) {

		static Recovery of(Map<OwnedRange, OptionalLong> byRange) {
			long[] millis = byRange.values().stream().flatMapToLong((time) -> time.stream()).sorted().toArray();
			return new Recovery(byRange.size(), (millis.length > 0) ? HistoryMetrics.median(millis) : -1,
					LongStream.of(millis).max().orElse(-1), byRange.size() - millis.length);
		}

	}

}
