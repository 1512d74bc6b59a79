package org.brasspier.bench.policy;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

import org.brasspier.core.InstanceId;
import org.brasspier.core.Ran;
import org.brasspier.core.choosing.BackendChooser;
import org.brasspier.core.choosing.Candidate;
import org.brasspier.core.retry.RecentLatencies;
import org.brasspier.core.retry.RetryBudget;
import org.brasspier.core.retry.RetryPolicy;

/**
 * The product's policy for a service without sharding: each daemon chooses a backend
 * server, and that server's daemon decides on admission. Not thread-safe.
 */
final class UnshardedStrategy implements ServingStrategy {

	private static final long SEED = 11;

	private final VirtualTime time;

	private final Deployment deployment;

	private final Callers callers;

	private final OutcomeRecorder outcomes;

	private final List<AdmissionServer> servers;

	private final List<BackendChooser> choosers;

	private final List<RetryPolicy> retryPolicies;

	private final List<RetryBudget> retryBudgets;

	UnshardedStrategy(Simulation run) {
		this.time = run.time();
		this.deployment = run.deployment();
		this.callers = run.callers();
		this.outcomes = run.outcomes();
		int daemons = this.deployment.servers();
		this.servers = run.servers()
			.stream()
			.map((server) -> new AdmissionServer(this.time, server, this.deployment))
			.toList();
		this.choosers = IntStream.range(0, daemons)
			.mapToObj((i) -> new BackendChooser(daemons, new SplittableRandom(SEED + i)))
			.toList();
		this.retryBudgets = IntStream.range(0, daemons).mapToObj((i) -> RetryBudget.withDefaults()).toList();
		this.retryPolicies = this.retryBudgets.stream()
			.map((budget) -> new RetryPolicy(budget, new RecentLatencies(Duration.ofSeconds(30), 0)))
			.toList();
	}

	@Override
	public void onArrival(Attempt attempt) {
		this.retryBudgets.get(attempt.call().entryDaemon()).recordRequest();
		forwardToChosenServer(attempt, this.time.now());
	}

	private void forwardToChosenServer(Attempt attempt, long arrivedNanos) {
		int entry = attempt.call().entryDaemon();
		List<Candidate> candidates = IntStream.range(0, this.servers.size())
			.mapToObj((server) -> new Candidate(instance(server), Duration.ofNanos(2 * oneWayNanos(entry, server)),
					this.deployment.slots(), 1))
			.toList();
		int server = this.choosers.get(entry)
			.choose(candidates, attempt.call().requestClass(), this.time.now())
			.map((instance) -> Integer.parseInt(instance.value()))
			.orElseThrow();
		long forwardNanos = oneWayNanos(entry, server);
		this.time.scheduleAfter(forwardNanos, () -> {
			long offeredNanos = this.time.now();
			this.servers.get(server)
				.offer(attempt, (result) -> this.time.scheduleAfter(forwardNanos, () -> onResult(attempt, server,
						result, new Times(arrivedNanos, this.time.now() - forwardNanos - offeredNanos, forwardNanos))));
		});
	}

	private void onResult(Attempt attempt, int server, AttemptResult result, Times times) {
		BackendChooser chooser = this.choosers.get(attempt.call().entryDaemon());
		boolean hasFailed = result instanceof AttemptResult.Failed;
		chooser.onEnded(instance(server), attempt.call().requestClass(), times.tookNanos(), hasFailed);
		switch (result) {
			case AttemptResult.Answered answered -> {
				this.callers.deliverAnswer(attempt, 0);
				if (server > 0 && !attempt.hasEnded()) {
					this.outcomes.recordAnsweredElsewhere(attempt, this.time.now() + this.deployment.callerNanos());
				}
			}
			case AttemptResult.Failed failed -> {
				Duration remaining = Duration.ofNanos(Math.max(0, attempt.deadlineNanos() - this.time.now()));
				RetryPolicy retryPolicy = this.retryPolicies.get(attempt.call().entryDaemon());
				Ran ran = failed.failure().kind().ran();
				if (!attempt.hasEnded() && retryPolicy.tryRetry(attempt.call().requestClass(), ran, remaining)) {
					forwardToChosenServer(attempt, times.arrivedNanos());
				}
				else {
					this.callers.deliverFailure(attempt, failed.failure(), times.arrivedNanos());
				}
			}
		}
	}

	private long oneWayNanos(int from, int to) {
		return (from == to) ? 0 : this.deployment.domainNanos();
	}

	private static InstanceId instance(int server) {
		return new InstanceId("" + server);
	}

	@Override
	public void onCallerTimeout(Attempt attempt) {
		this.servers.forEach((server) -> server.onCallerTimeout(attempt));
	}

	@Override
	public long resendDelayNanos(long retryAfterNanos) {
		return retryAfterNanos;
	}

	@Override
	public boolean resendsEveryFailure() {
		return false;
	}

	@Override
	public Churn churn() {
		return new Churn();
	}

	private record Times(long arrivedNanos, long tookNanos, long forwardNanos) {

	}

}
