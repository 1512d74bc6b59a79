package org.brasspier.bench.policy;

import java.util.List;
import java.util.Optional;

/**
 * The policy on a service that is divided by key: the owner's daemon admits. Not
 * thread-safe.
 */
final class KeyedVersion implements Version {

	private static final long PLAN_NANOS = 5 * VirtualTime.SECOND;

	private final VirtualTime time;

	private final Deployment deployment;

	private final Callers callers;

	private final Outcomes outcomes;

	private final List<GatedServer> servers;

	private final Ownership ownership;

	KeyedVersion(Run run) {
		this.time = run.time();
		this.deployment = run.deployment();
		this.callers = run.callers();
		this.outcomes = run.outcomes();
		this.servers = run.servers()
			.stream()
			.map((server) -> new GatedServer(this.time, server, this.deployment))
			.toList();
		this.ownership = new Ownership(this.time, this.deployment);
		this.time.every(PLAN_NANOS, () -> this.ownership.plan(Ownership.MOVE_NANOS));
		if (run.load().trouble().lostAt() != Long.MAX_VALUE) {
			this.time.at(run.load().trouble().lostAt(), this::loseLast);
		}
	}

	private void loseLast() {
		int last = this.servers.size() - 1;
		this.servers.get(last).lose();
		this.time.after(Ownership.RECOVERY_NANOS, () -> {
			this.ownership.lose(last);
			this.ownership.plan(0);
		});
	}

	@Override
	public void arrived(Attempt attempt) {
		Optional<Integer> owner = this.ownership.owner(attempt.call().hash());
		long way = owner.filter((server) -> server != attempt.call().entry())
			.map((server) -> this.deployment.domainNanos())
			.orElse(0L);
		this.time.after(way, () -> atOwner(attempt, way));
	}

	private void atOwner(Attempt attempt, long way) {
		if (attempt.over()) {
			return;
		}
		long arrived = this.time.now();
		Optional<Integer> owner = this.ownership.owner(attempt.call().hash());
		if (owner.isEmpty()) {
			this.callers.fail(attempt, GatedServer.noOwner(), arrived);
			return;
		}
		int server = owner.get();
		this.servers.get(server).offer(attempt, (ending) -> ended(attempt, server, ending, arrived, way));
	}

	private void ended(Attempt attempt, int server, Ending ending, long arrived, long way) {
		switch (ending) {
			case Ending.Answered answered -> {
				this.ownership.used(server, attempt.call().hash(), answered.ranNanos());
				this.callers.answer(attempt, way);
				if (server > 0 && !attempt.over()) {
					this.outcomes.answeredElsewhere(attempt, this.time.now() + way + this.deployment.callerNanos());
				}
			}
			case Ending.Failed failed -> {
				this.ownership.used(server, attempt.call().hash(), this.servers.get(server).usualRunNanos(attempt));
				this.callers.fail(attempt, failed.failure(), arrived);
			}
		}
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
		return this.ownership.churn();
	}

}
