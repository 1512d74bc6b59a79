package org.brasspier.bench.policy;

import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import org.HdrHistogram.Histogram;
import org.brasspier.standins.Attempt;
import org.brasspier.standins.CallerFleet;
import org.brasspier.standins.CallerRecord;
import org.brasspier.standins.CallerRetryPolicy;
import org.brasspier.standins.Deployment;
import org.brasspier.standins.DeploymentShape;
import org.brasspier.standins.HistoryMetrics;
import org.brasspier.standins.ServiceShape;
import org.brasspier.standins.TrafficStream;

/**
 * Runs some of the loads with real processes, to check whether the results of the
 * simulation hold there: one sharded service at kliring's size. Requests run ten times as
 * long as in virtual time, so that one machine can carry a load of three times the
 * capacity.
 */
public final class ProcessCheck {

	private static final ServiceShape SERVICE = new ServiceShape("teller-gate", true, 3, 6, 110, true);

	private static final double PEER_DELAY_MILLIS = 1.5;

	private static final double CALLER_DELAY_MILLIS = 1;

	private static final int LOOKUP_MILLIS = 100;

	private static final int INTERNAL_MILLIS = 50;

	private static final int AUDIT_MILLIS = 1000;

	/**
	 * Warm-up time. Requests that are in progress when the measurement begins make up for
	 * those still in progress at its end.
	 */
	private static final int SETTLE_SECONDS = 5;

	/** Shares of requests: 0.75 lookups, 0.20 internal calls, 0.05 audit reads. */
	private static final double MEAN_MILLIS = 0.75 * LOOKUP_MILLIS + 0.20 * INTERNAL_MILLIS + 0.05 * AUDIT_MILLIS;

	private ProcessCheck() {
	}

	/**
	 * Runs the loads and prints a line for each.
	 * @param args not used
	 * @throws InterruptedException if interrupted
	 */
	public static void main(String[] args) throws InterruptedException {
		DeploymentShape shape = new DeploymentShape("kliring", List.of("semarang-a", "semarang-b", "solo-hall"),
				List.of(SERVICE), PEER_DELAY_MILLIS, CALLER_DELAY_MILLIS);
		try (Deployment deployment = Deployment.start(shape)) {
			deployment.awaitServed();
			run(deployment, "unloaded", 0.1, 0, 20);
			run(deployment, "saturation-x1.5", 1.5, 0, 15);
			run(deployment, "saturation-x3", 3, 0, 15);
			run(deployment, "steady", 0.5, 0, 60);
			run(deployment, "one-key-30% settling", 0.5, 0.3, 90);
			run(deployment, "one-key-30%", 0.5, 0.3, 30);
		}
	}

	private static void run(Deployment deployment, String name, double utilization, double hotShare, int seconds)
			throws InterruptedException {
		double perSecond = utilization * SERVICE.servers() * SERVICE.slots() * 1000 / MEAN_MILLIS;
		try (CallerFleet fleet = new CallerFleet(deployment.callerAddresses(), 0,
				CallerRetryPolicy.HONOR_RETRY_AFTER)) {
			fleet.setTraffic(List.of(newStream("lookup", 0.75 * perSecond, hotShare, LOOKUP_MILLIS),
					newStream("internal", 0.20 * perSecond, hotShare, INTERNAL_MILLIS),
					newStream("audit", 0.05 * perSecond, hotShare, AUDIT_MILLIS)));
			TimeUnit.SECONDS.sleep(SETTLE_SECONDS);
			long from = nowMicros();
			TimeUnit.SECONDS.sleep(seconds);
			long until = nowMicros();
			fleet.finish();
			printResult(name, fleet.records(), deployment, from, until, utilization);
		}
	}

	private static TrafficStream newStream(String requestClass, double perSecond, double hotShare, int millis) {
		return new TrafficStream(SERVICE.name(), true, requestClass, perSecond, 500, hotShare, "/work?work=" + millis,
				0);
	}

	private static long nowMicros() {
		return TimeUnit.MILLISECONDS.toMicros(System.currentTimeMillis());
	}

	private static void printResult(String name, List<CallerRecord> records, Deployment deployment, long from,
			long until, double utilization) {
		double capacity = SERVICE.servers() * SERVICE.slots() * (until - from) / 1000.0;
		List<CallerRecord> measured = records.stream()
			.filter((record) -> isWithin(firstSentMicros(record), from, until))
			.toList();
		double offered = totalRunMillis(measured.stream());
		double answered = totalRunMillis(records.stream()
			.filter((record) -> record.lastAttempt().answered()
					&& isWithin(record.lastAttempt().endMicros(), from, until)));
		Histogram lookups = durations(measured.stream()
			.filter((record) -> record.request().requestClass().equals("lookup"))
			.flatMap((record) -> record.attempts().stream())
			.filter(Attempt::answered));
		Histogram refusals = durations(
				measured.stream().flatMap((record) -> record.attempts().stream()).filter(Attempt::notRun));
		System.out.printf(Locale.ROOT,
				"%s: goodput %.3f, %d requests %s, lookup p50 / p99 ms %.1f / %.1f, refusals %d, p99 ms %.1f, slots busy %.3f, imbalance %.3f (by seconds %.3f), churn %% %.3f%n",
				name, answered / ((utilization < 1) ? Math.min(capacity, offered) : capacity), measured.size(),
				HistoryMetrics.outcomes(measured), lookups.getValueAtPercentile(50) / 1000.0,
				lookups.getValueAtPercentile(99) / 1000.0, refusals.getTotalCount(),
				refusals.getValueAtPercentile(99) / 1000.0,
				HistoryMetrics.busyMicros(deployment.serverRecords(), from, until).getSum() / 1000.0 / capacity,
				HistoryMetrics.imbalance(deployment.serverRecords(), from, until),
				HistoryMetrics.imbalance(deployment.serverRecords(), List.of(), from),
				HistoryMetrics.churnPercent(deployment.serverRecords(), 1, from));
	}

	private static double totalRunMillis(Stream<CallerRecord> records) {
		return records.mapToDouble((record) -> runMillis(record.request().requestClass())).sum();
	}

	private static long firstSentMicros(CallerRecord record) {
		return record.attempts().getFirst().sentMicros();
	}

	private static boolean isWithin(long micros, long from, long until) {
		return micros >= from && micros < until;
	}

	private static int runMillis(String requestClass) {
		return switch (requestClass) {
			case "lookup" -> LOOKUP_MILLIS;
			case "internal" -> INTERNAL_MILLIS;
			default -> AUDIT_MILLIS;
		};
	}

	private static Histogram durations(Stream<Attempt> attempts) {
		Histogram histogram = new Histogram(1, 600_000_000, 3);
		attempts.forEach((attempt) -> histogram.recordValue(Math.max(1, attempt.endMicros() - attempt.sentMicros())));
		return histogram;
	}

}
