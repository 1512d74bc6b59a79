package org.brasspier.bench.policy;

import java.util.List;
import java.util.Optional;

import org.brasspier.core.ErrorKind;
import org.brasspier.core.Failure;

/**
 * All callers of a run: they send what was recorded, wait, and send again as the version
 * that is tried lets them. Not thread-safe.
 */
final class Callers {

	/** Both versions' callers give up after as many resends. */
	private static final int MOST_RESENDS = 3;

	private final VirtualTime time;

	private final Deployment deployment;

	private final Outcomes outcomes;

	private Optional<Version> version = Optional.empty();

	private long lastId;

	Callers(VirtualTime time, Deployment deployment, Outcomes outcomes) {
		this.time = time;
		this.deployment = deployment;
		this.outcomes = outcomes;
	}

	void send(List<CallerCall> calls, Version tried) {
		this.version = Optional.of(tried);
		sendNext(calls, 0);
	}

	private void sendNext(List<CallerCall> calls, int index) {
		if (index < calls.size()) {
			this.time.at(calls.get(index).atNanos(), () -> {
				this.outcomes.offered(calls.get(index));
				send(calls.get(index), 0);
				sendNext(calls, index + 1);
			});
		}
	}

	private void send(CallerCall call, int resends) {
		long now = this.time.now();
		boolean deadlineFromFirst = !tried().resendsAll();
		long deadline = (deadlineFromFirst ? call.atNanos() : now) + call.patienceNanos();
		Attempt attempt = new Attempt(++this.lastId, call, resends, now, deadline);
		this.time.after(this.deployment.callerNanos(), () -> tried().arrived(attempt));
		this.time.at(deadline, () -> timedOut(attempt));
	}

	private void timedOut(Attempt attempt) {
		if (!attempt.end()) {
			return;
		}
		tried().callerGone(attempt);
		if (tried().resendsAll() && attempt.resends() < MOST_RESENDS) {
			send(attempt.call(), attempt.resends() + 1);
		}
		else {
			this.outcomes.timedOut(attempt);
		}
	}

	/**
	 * Carries a whole answer to the caller.
	 * @param attempt what was answered
	 * @param onTheWayNanos the way between daemons
	 */
	void answer(Attempt attempt, long onTheWayNanos) {
		this.outcomes.ran(attempt.call());
		this.time.after(onTheWayNanos + this.deployment.callerNanos(), () -> {
			if (attempt.end()) {
				this.outcomes.answered(attempt, this.time.now());
			}
		});
	}

	/**
	 * Carries an error to the caller.
	 * @param attempt what failed
	 * @param failure the error
	 * @param arrivedNanos when the attempt had reached the daemon
	 */
	void fail(Attempt attempt, Failure failure, long arrivedNanos) {
		this.outcomes.refused(attempt, failure, this.time.now() - arrivedNanos);
		this.time.after(this.deployment.callerNanos(), () -> {
			if (attempt.end()) {
				failed(attempt, failure);
			}
		});
	}

	private void failed(Attempt attempt, Failure failure) {
		long pause = tried().resendAfter(failure.retryAfter().toNanos());
		boolean allowed = tried().resendsAll() || failure.kind() != ErrorKind.OUTCOME_UNKNOWN
				|| attempt.call().requestClass().isIdempotent();
		boolean inTime = tried().resendsAll() || this.time.now() + pause < attempt.deadlineNanos();
		if (attempt.resends() < MOST_RESENDS && allowed && inTime) {
			this.time.after(pause, () -> send(attempt.call(), attempt.resends() + 1));
		}
		else {
			this.outcomes.gaveUp(attempt);
		}
	}

	private Version tried() {
		return this.version.orElseThrow();
	}

}
