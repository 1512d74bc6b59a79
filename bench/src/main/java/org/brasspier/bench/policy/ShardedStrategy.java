package org.brasspier.bench.policy;

import java.util.List;
import java.util.Optional;

/**
 * The product's policy for a sharded service: the daemon of the range's owner decides on
 * admission. Not thread-safe.
 */
final class ShardedStrategy implements ServingStrategy {

	private static final long PLAN_INTERVAL_NANOS = 5 * VirtualTime.SECOND;

	private final VirtualTime time;

	private final Deployment deployment;

	private final Callers callers;

	private final OutcomeRecorder outcomes;

	private final List<AdmissionServer> servers;

	private final RangeOwnership ownership;

	ShardedStrategy(Simulation run) {
		this.time = run.time();
		this.deployment = run.deployment();
		this.callers = run.callers();
		this.outcomes = run.outcomes();
		this.servers = run.servers()
			.stream()
			.map((server) -> new AdmissionServer(this.time, server, this.deployment))
			.toList();
		this.ownership = new RangeOwnership(this.time, this.deployment);
		this.time.scheduleEvery(PLAN_INTERVAL_NANOS, () -> this.ownership.rebalance(RangeOwnership.MOVE_NANOS));
		if (run.load().faults().lostAtNanos() != Long.MAX_VALUE) {
			this.time.scheduleAt(run.load().faults().lostAtNanos(), this::crashLastServer);
		}
	}

	private void crashLastServer() {
		int last = this.servers.size() - 1;
		this.servers.get(last).crash();
		this.time.scheduleAfter(RangeOwnership.RECOVERY_NANOS, () -> {
			this.ownership.markLost(last);
			this.ownership.rebalance(0);
		});
	}

	@Override
	public void onArrival(Attempt attempt) {
		Optional<Integer> owner = this.ownership.owner(attempt.call().keyHash());
		long forwardNanos = owner.filter((server) -> server != attempt.call().entryDaemon())
			.map((server) -> this.deployment.domainNanos())
			.orElse(0L);
		this.time.scheduleAfter(forwardNanos, () -> offerToOwner(attempt, forwardNanos));
	}

	private void offerToOwner(Attempt attempt, long forwardNanos) {
		if (attempt.hasEnded()) {
			return;
		}
		long arrivedNanos = this.time.now();
		Optional<Integer> owner = this.ownership.owner(attempt.call().keyHash());
		if (owner.isEmpty()) {
			this.callers.deliverFailure(attempt, AdmissionServer.noOwnerFailure(), arrivedNanos);
			return;
		}
		int server = owner.get();
		this.servers.get(server)
			.offer(attempt, (result) -> onResult(attempt, server, result, arrivedNanos, forwardNanos));
	}

	private void onResult(Attempt attempt, int server, AttemptResult result, long arrivedNanos, long forwardNanos) {
		switch (result) {
			case AttemptResult.Answered answered -> {
				this.ownership.recordLoad(server, attempt.call().keyHash(), answered.runNanos());
				this.callers.deliverAnswer(attempt, forwardNanos);
				if (server > 0 && !attempt.hasEnded()) {
					this.outcomes.recordAnsweredElsewhere(attempt,
							this.time.now() + forwardNanos + this.deployment.callerNanos());
				}
			}
			case AttemptResult.Failed failed -> {
				this.ownership.recordLoad(server, attempt.call().keyHash(),
						this.servers.get(server).meanRunNanos(attempt));
				this.callers.deliverFailure(attempt, failed.failure(), arrivedNanos);
			}
		}
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
		return this.ownership.churn();
	}

}
