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
 * Results of the demonstration, printed as one line of JSON. Immutable and thread-safe.
 *
 * @param requests number of requests that callers sent
 * @param answered number of requests answered
 * @param refused number of requests that were refused and did not run
 * @param failed number of requests that ended without an answer that states their outcome
 * @param wrongOwner number of violations in which two servers owned the same key or a
 * server ran a request under a stale fence
 * @param ranTwice number of postings that ran twice
 * @param answeredToWrongCaller number of answers that belonged to another request or were
 * incomplete
 * @param otherViolations number of violations of other invariants
 * @param recoveryMs times from the loss to the first answer for each range of the lost
 * instance
 * @param imbalance work of the busiest server divided by the mean; 1 is a perfect balance
 * @param churn percentage of the key space whose owner changed
 * @param unavailable mean time for which a key was unavailable, in milliseconds
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

	static Summary of(Histories histories, Set<String> shardedServices, int services, InstanceLoss loss,
			long sinceMicros) {
		List<ServerRecord> servers = histories.servers();
		List<CallerRecord> callers = histories.callers();
		Map<Outcome, Long> outcomes = HistoryMetrics.outcomes(callers);
		List<Violation> violations = HistoryChecker.check(servers, callers, shardedServices);
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
	 * Records of the requests, taken by backend servers and callers.
	 *
	 * @param servers records of the backend servers, sorted by time
	 * @param callers records of the callers
	 */
	record Histories(List<ServerRecord> servers, List<CallerRecord> callers) {

	}

	/**
	 * Times for which the ranges of a lost instance remained unanswered, in milliseconds.
	 *
	 * @param ranges number of ranges that the instance owned
	 * @param median median over the ranges, -1 if none was answered again
	 * @param max maximum over the ranges, -1 if none was answered again
	 * @param unanswered number of ranges that were not answered again
	 */
	record Recovery(long ranges, long median, long max, long unanswered) {

		static Recovery of(Map<OwnedRange, OptionalLong> byRange) {
			long[] millis = byRange.values().stream().flatMapToLong((time) -> time.stream()).sorted().toArray();
			return new Recovery(byRange.size(), (millis.length > 0) ? HistoryMetrics.median(millis) : -1,
					LongStream.of(millis).max().orElse(-1), byRange.size() - millis.length);
		}

	}

}
