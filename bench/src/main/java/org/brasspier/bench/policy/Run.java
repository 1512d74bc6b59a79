package org.brasspier.bench.policy;

import java.util.List;
import java.util.function.Function;
import java.util.stream.IntStream;

import org.brasspier.core.placement.PlacementStep.MoveCause;

/**
 * One load through one version in virtual time. Not thread-safe.
 */
final class Run {

	/** The longest that callers wait for what they sent last, without audit readers. */
	private static final long TAIL_NANOS = 10 * VirtualTime.SECOND;

	private static final long BACK_NANOS = 500 * VirtualTime.MILLI;

	private static final double BACK_SHARE = 0.95;

	private final VirtualTime time = new VirtualTime();

	private final Deployment deployment;

	private final Load load;

	private final Outcomes outcomes;

	private final Callers callers;

	private final List<SlotServer> servers;

	private Run(Deployment deployment, Load load) {
		this.deployment = deployment;
		this.load = load;
		this.outcomes = new Outcomes(from(), until());
		this.callers = new Callers(this.time, deployment, this.outcomes);
		Load.Trouble trouble = load.trouble();
		this.servers = IntStream.range(0, deployment.servers())
			.mapToObj((i) -> new SlotServer(this.time, deployment.slots() / trouble.overstated(),
					(i == 0) ? trouble.slowness() : 1, trouble))
			.toList();
	}

	static Figures policy(Deployment deployment, Load load, List<CallerCall> calls) {
		return of(deployment, load, calls, (run) -> load.byKey() ? new KeyedVersion(run) : new UnkeyedVersion(run));
	}

	static Figures naive(Deployment deployment, Load load, List<CallerCall> calls) {
		return of(deployment, load, calls, NaiveVersion::new);
	}

	private static Figures of(Deployment deployment, Load load, List<CallerCall> calls,
			Function<Run, Version> version) {
		Run run = new Run(deployment, load);
		return run.figures(calls, version.apply(run));
	}

	private Figures figures(List<CallerCall> calls, Version version) {
		this.servers.forEach((server) -> server.measureFrom(from()));
		this.callers.send(calls, version);
		this.time.runUntil(until());
		double[] busy = this.servers.stream().mapToDouble(SlotServer::busyNanos).toArray();
		this.time.runUntil(until() + TAIL_NANOS);
		double possible = new PossibleWork(this.deployment, this.load).between(calls, from(), until());
		return new Figures(this.outcomes.answeredWork(from(), until()) / possible, this.outcomes.refusedShare(),
				this.outcomes.timedOutShare(), millis(this.outcomes.refusals(), 99),
				millis(this.outcomes.lookups(), 50), millis(this.outcomes.lookups(), 99),
				millis(this.outcomes.lookups(), 99.9), millis(this.outcomes.lookupsWithResends(), 99),
				millis(this.outcomes.otherLookups(), 99), imbalance(busy),
				Math.max(1, this.load.keys().hottest() * this.deployment.servers()),
				hourly(version.churn(), MoveCause.BALANCE), version.churn().share(MoveCause.LOSS),
				version.churn().moves(), this.outcomes.unavailableSeconds(), this.outcomes.ranTwice(),
				recoveryMillis(calls), this.outcomes.smallCallersGoodput(),
				millis(this.outcomes.smallCallersLookups(), 99));
	}

	private double imbalance(double[] busy) {
		int counted = this.servers.size() - ((this.load.trouble().lostAt() == Long.MAX_VALUE) ? 0 : 1);
		double[] alive = IntStream.range(0, counted).mapToDouble((i) -> busy[i]).toArray();
		double mean = IntStream.range(0, counted).mapToDouble((i) -> alive[i]).average().orElse(1);
		return IntStream.range(0, counted).mapToDouble((i) -> alive[i]).max().orElse(0) / Math.max(1, mean);
	}

	private double hourly(Churn churn, MoveCause cause) {
		return churn.share(cause) * 3600 / this.load.seconds();
	}

	// After a stall: until what is answered in half a second is what was asked for.
	private double recoveryMillis(List<CallerCall> calls) {
		long stallEnd = this.load.trouble().stallEnd();
		for (long at = stallEnd; at < until() - BACK_NANOS; at += Outcomes.BIN_NANOS) {
			long begin = at;
			double offered = calls.stream()
				.filter((call) -> call.atNanos() >= begin && call.atNanos() < begin + BACK_NANOS)
				.mapToDouble(CallerCall::runNanos)
				.sum();
			if (this.outcomes.answeredWork(begin, begin + BACK_NANOS) >= BACK_SHARE * offered) {
				return (begin + BACK_NANOS - stallEnd) / (double) VirtualTime.MILLI;
			}
		}
		return (stallEnd == Long.MAX_VALUE) ? 0 : -1;
	}

	private static double millis(org.HdrHistogram.Histogram histogram, double percentile) {
		return histogram.getValueAtPercentile(percentile) / 1000.0;
	}

	private long from() {
		return this.load.settleSeconds() * VirtualTime.SECOND;
	}

	private long until() {
		return this.load.seconds() * VirtualTime.SECOND;
	}

	VirtualTime time() {
		return this.time;
	}

	Deployment deployment() {
		return this.deployment;
	}

	Load load() {
		return this.load;
	}

	Outcomes outcomes() {
		return this.outcomes;
	}

	Callers callers() {
		return this.callers;
	}

	List<SlotServer> servers() {
		return this.servers;
	}

}
