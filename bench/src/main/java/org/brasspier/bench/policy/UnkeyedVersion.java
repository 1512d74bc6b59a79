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
 * The policy on a service that is not divided by key: each daemon chooses a server, whose
 * own daemon admits. Not thread-safe.
 */
final class UnkeyedVersion implements Version {

	private static final long SEED = 11;

	private final VirtualTime time;

	private final Deployment deployment;

	private final Callers callers;

	private final Outcomes outcomes;

	private final List<GatedServer> servers;

	private final List<BackendChooser> choosers;

	private final List<RetryPolicy> retries;

	private final List<RetryBudget> budgets;

	UnkeyedVersion(Run run) {
		this.time = run.time();
		this.deployment = run.deployment();
		this.callers = run.callers();
		this.outcomes = run.outcomes();
		int daemons = this.deployment.servers();
		this.servers = run.servers()
			.stream()
			.map((server) -> new GatedServer(this.time, server, this.deployment))
			.toList();
		this.choosers = IntStream.range(0, daemons)
			.mapToObj((i) -> new BackendChooser(daemons, new SplittableRandom(SEED + i)))
			.toList();
		this.budgets = IntStream.range(0, daemons).mapToObj((i) -> RetryBudget.withDefaults()).toList();
		this.retries = this.budgets.stream()
			.map((budget) -> new RetryPolicy(budget, new RecentLatencies(Duration.ofSeconds(30), 0)))
			.toList();
	}

	@Override
	public void arrived(Attempt attempt) {
		this.budgets.get(attempt.call().entry()).recordRequest();
		choose(attempt, this.time.now());
	}

	private void choose(Attempt attempt, long arrived) {
		int entry = attempt.call().entry();
		List<Candidate> candidates = IntStream.range(0, this.servers.size())
			.mapToObj((server) -> new Candidate(instance(server), Duration.ofNanos(2 * way(entry, server)),
					this.deployment.slots(), 1))
			.toList();
		int server = this.choosers.get(entry)
			.choose(candidates, attempt.call().requestClass(), this.time.now())
			.map((instance) -> Integer.parseInt(instance.value()))
			.orElseThrow();
		long way = way(entry, server);
		this.time.after(way, () -> {
			long offered = this.time.now();
			this.servers.get(server)
				.offer(attempt, (ending) -> this.time.after(way, () -> ended(attempt, server, ending,
						new Times(arrived, this.time.now() - way - offered, way))));
		});
	}

	private void ended(Attempt attempt, int server, Ending ending, Times times) {
		BackendChooser chooser = this.choosers.get(attempt.call().entry());
		boolean failed = ending instanceof Ending.Failed;
		chooser.onEnded(instance(server), attempt.call().requestClass(), times.tookNanos(), failed);
		switch (ending) {
			case Ending.Answered answered -> {
				this.callers.answer(attempt, 0);
				if (server > 0 && !attempt.over()) {
					this.outcomes.answeredElsewhere(attempt, this.time.now() + this.deployment.callerNanos());
				}
			}
			case Ending.Failed refused -> {
				Duration remaining = Duration.ofNanos(Math.max(0, attempt.deadlineNanos() - this.time.now()));
				RetryPolicy rules = this.retries.get(attempt.call().entry());
				Ran ran = refused.failure().kind().ran();
				if (!attempt.over() && rules.tryRetry(attempt.call().requestClass(), ran, remaining)) {
					choose(attempt, times.arrived());
				}
				else {
					this.callers.fail(attempt, refused.failure(), times.arrived());
				}
			}
		}
	}

	private long way(int from, int to) {
		return (from == to) ? 0 : this.deployment.domainNanos();
	}

	private static InstanceId instance(int server) {
		return new InstanceId("" + server);
	}

	@Override
	public void callerGone(Attempt attempt) {
		this.servers.forEach((server) -> server.callerGone(attempt));
	}

	@Override
	public long resendAfter(long retryAfterNanos) {
		return retryAfterNanos;
	}

	@Override
	public boolean resendsAll() {
		return false;
	}

	@Override
	public Churn churn() {
		return new Churn();
	}

	private record Times(long arrived, long tookNanos, long way) {

	}

}
