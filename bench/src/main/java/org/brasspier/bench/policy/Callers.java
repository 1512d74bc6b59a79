package org.brasspier.bench.policy;

import java.util.List;
import java.util.Optional;

import org.brasspier.core.ErrorKind;
import org.brasspier.core.Failure;

/**
 * All callers of a simulation. They send the recorded requests, wait, and resend as the
 * strategy allows. Not thread-safe.
 */
final class Callers {

	/** The callers of both strategies give up after this many resends. */
	private static final int MAX_RESENDS = 3;

	private final VirtualTime time;

	private final Deployment deployment;

	private final OutcomeRecorder outcomes;

	private Optional<ServingStrategy> strategy = Optional.empty();

	private long lastId;

	Callers(VirtualTime time, Deployment deployment, OutcomeRecorder outcomes) {
		this.time = time;
		this.deployment = deployment;
		this.outcomes = outcomes;
	}

	void send(List<RecordedRequest> calls, ServingStrategy strategy) {
		this.strategy = Optional.of(strategy);
		sendNext(calls, 0);
	}

	private void sendNext(List<RecordedRequest> calls, int index) {
		if (index < calls.size()) {
			this.time.scheduleAt(calls.get(index).atNanos(), () -> {
				this.outcomes.recordOffered(calls.get(index));
				send(calls.get(index), 0);
				sendNext(calls, index + 1);
			});
		}
	}

	private void send(RecordedRequest call, int resends) {
		long now = this.time.now();
		boolean deadlineFromFirst = !strategy().resendsEveryFailure();
		long deadline = (deadlineFromFirst ? call.atNanos() : now) + call.timeoutNanos();
		Attempt attempt = new Attempt(++this.lastId, call, resends, now, deadline);
		this.time.scheduleAfter(this.deployment.callerNanos(), () -> strategy().onArrival(attempt));
		this.time.scheduleAt(deadline, () -> onTimeout(attempt));
	}

	private void onTimeout(Attempt attempt) {
		if (!attempt.tryEnd()) {
			return;
		}
		strategy().onCallerTimeout(attempt);
		if (strategy().resendsEveryFailure() && attempt.resends() < MAX_RESENDS) {
			send(attempt.call(), attempt.resends() + 1);
		}
		else {
			this.outcomes.recordTimeout(attempt);
		}
	}

	/**
	 * Delivers an answer to the caller.
	 * @param attempt the answered attempt
	 * @param returnNanos the delay between the daemons
	 */
	void deliverAnswer(Attempt attempt, long returnNanos) {
		this.outcomes.recordRun(attempt.call());
		this.time.scheduleAfter(returnNanos + this.deployment.callerNanos(), () -> {
			if (attempt.tryEnd()) {
				this.outcomes.recordAnswered(attempt, this.time.now());
			}
		});
	}

	/**
	 * Delivers an error to the caller.
	 * @param attempt the failed attempt
	 * @param failure the error
	 * @param arrivedNanos when the attempt reached the daemon
	 */
	void deliverFailure(Attempt attempt, Failure failure, long arrivedNanos) {
		this.outcomes.recordRefusal(attempt, failure, this.time.now() - arrivedNanos);
		this.time.scheduleAfter(this.deployment.callerNanos(), () -> {
			if (attempt.tryEnd()) {
				onFailure(attempt, failure);
			}
		});
	}

	private void onFailure(Attempt attempt, Failure failure) {
		long pause = strategy().resendDelayNanos(failure.retryAfter().toNanos());
		boolean allowed = strategy().resendsEveryFailure() || failure.kind() != ErrorKind.OUTCOME_UNKNOWN
				|| attempt.call().requestClass().isIdempotent();
		boolean inTime = strategy().resendsEveryFailure() || this.time.now() + pause < attempt.deadlineNanos();
		if (attempt.resends() < MAX_RESENDS && allowed && inTime) {
			this.time.scheduleAfter(pause, () -> send(attempt.call(), attempt.resends() + 1));
		}
		else {
			this.outcomes.recordGivenUp(attempt);
		}
	}

	private ServingStrategy strategy() {
		return this.strategy.orElseThrow();
	}

}
