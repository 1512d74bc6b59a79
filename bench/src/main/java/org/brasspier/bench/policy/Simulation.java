package org.brasspier.bench.policy;

import java.util.List;
import java.util.function.Function;
import java.util.stream.IntStream;

import org.brasspier.core.placement.PlacementStep.MoveCause;

/**
 * Simulates one load with one strategy in virtual time. Not thread-safe.
 */
final class Simulation {

	/** The longest wait for the last requests of callers, audit reads excepted. */
	private static final long DRAIN_NANOS = 10 * VirtualTime.SECOND;

	private static final long RECOVERY_WINDOW_NANOS = 500 * VirtualTime.MILLI;

	private static final double RECOVERED_SHARE = 0.95;

	private final VirtualTime time = new VirtualTime();

	private final Deployment deployment;

	private final Load load;

	private final OutcomeRecorder outcomes;

	private final Callers callers;

	private final List<SimulatedServer> servers;

	private Simulation(Deployment deployment, Load load) {
		this.deployment = deployment;
		this.load = load;
		this.outcomes = new OutcomeRecorder(measureFromNanos(), measureUntilNanos());
		this.callers = new Callers(this.time, deployment, this.outcomes);
		Load.Faults faults = load.faults();
		this.servers = IntStream.range(0, deployment.servers())
			.mapToObj((i) -> new SimulatedServer(this.time, deployment.slots() / faults.slotOverstatement(),
					(i == 0) ? faults.slowness() : 1, faults))
			.toList();
	}

	static Figures runPolicy(Deployment deployment, Load load, List<RecordedRequest> calls) {
		return simulate(deployment, load, calls,
				(run) -> load.sharded() ? new ShardedStrategy(run) : new UnshardedStrategy(run));
	}

	static Figures runNaive(Deployment deployment, Load load, List<RecordedRequest> calls) {
		return simulate(deployment, load, calls, NaiveStrategy::new);
	}

	private static Figures simulate(Deployment deployment, Load load, List<RecordedRequest> calls,
			Function<Simulation, ServingStrategy> strategy) {
		Simulation simulation = new Simulation(deployment, load);
		return simulation.collectFigures(calls, strategy.apply(simulation));
	}

	private Figures collectFigures(List<RecordedRequest> calls, ServingStrategy strategy) {
		this.servers.forEach((server) -> server.measureFrom(measureFromNanos()));
		this.callers.send(calls, strategy);
		this.time.runUntil(measureUntilNanos());
		double[] busyNanos = this.servers.stream().mapToDouble(SimulatedServer::busyNanos).toArray();
		this.time.runUntil(measureUntilNanos() + DRAIN_NANOS);
		double possibleNanos = new GoodputUpperBound(this.deployment, this.load).maxAnsweredNanos(calls,
				measureFromNanos(), measureUntilNanos());
		return new Figures(this.outcomes.answeredRunNanos(measureFromNanos(), measureUntilNanos()) / possibleNanos,
				this.outcomes.refusedShare(), this.outcomes.timedOutShare(), millis(this.outcomes.refusals(), 99),
				millis(this.outcomes.lookups(), 50), millis(this.outcomes.lookups(), 99),
				millis(this.outcomes.lookups(), 99.9), millis(this.outcomes.lookupsWithResends(), 99),
				millis(this.outcomes.lookupsElsewhere(), 99), imbalance(busyNanos),
				Math.max(1, this.load.keys().maxKeyShare() * this.deployment.servers()),
				sharePerHour(strategy.churn(), MoveCause.BALANCE), strategy.churn().share(MoveCause.LOSS),
				strategy.churn().moves(), this.outcomes.unavailableSeconds(), this.outcomes.ranTwice(),
				recoveryMillis(calls), this.outcomes.otherCallersGoodput(),
				millis(this.outcomes.otherCallersLookups(), 99));
	}

	private double imbalance(double[] busyNanos) {
		int aliveServers = this.servers.size() - ((this.load.faults().lostAtNanos() == Long.MAX_VALUE) ? 0 : 1);
		double[] busyOfAlive = IntStream.range(0, aliveServers).mapToDouble((i) -> busyNanos[i]).toArray();
		double mean = IntStream.range(0, aliveServers).mapToDouble((i) -> busyOfAlive[i]).average().orElse(1);
		return IntStream.range(0, aliveServers).mapToDouble((i) -> busyOfAlive[i]).max().orElse(0) / Math.max(1, mean);
	}

	private double sharePerHour(Churn churn, MoveCause cause) {
		return churn.share(cause) * 3600 / this.load.seconds();
	}

	// Returns the time from the end of a stall to the end of the first half second in
	// which at least 95 % of the offered work was answered.
	private double recoveryMillis(List<RecordedRequest> calls) {
		long stallEnd = this.load.faults().stallEndNanos();
		for (long binBegin = stallEnd; binBegin < measureUntilNanos()
				- RECOVERY_WINDOW_NANOS; binBegin += OutcomeRecorder.BIN_NANOS) {
			long begin = binBegin;
			double offered = calls.stream()
				.filter((call) -> call.atNanos() >= begin && call.atNanos() < begin + RECOVERY_WINDOW_NANOS)
				.mapToDouble(RecordedRequest::runNanos)
				.sum();
			if (this.outcomes.answeredRunNanos(begin, begin + RECOVERY_WINDOW_NANOS) >= RECOVERED_SHARE * offered) {
				return (begin + RECOVERY_WINDOW_NANOS - stallEnd) / (double) VirtualTime.MILLI;
			}
		}
		return (stallEnd == Long.MAX_VALUE) ? 0 : -1;
	}

	private static double millis(org.HdrHistogram.Histogram histogram, double percentile) {
		return histogram.getValueAtPercentile(percentile) / 1000.0;
	}

	private long measureFromNanos() {
		return this.load.settleSeconds() * VirtualTime.SECOND;
	}

	private long measureUntilNanos() {
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

	OutcomeRecorder outcomes() {
		return this.outcomes;
	}

	Callers callers() {
		return this.callers;
	}

	List<SimulatedServer> servers() {
		return this.servers;
	}

}
