package org.brasspier.daemon.internal.request;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;

import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import org.brasspier.core.ErrorKind;
import org.brasspier.core.Failure;
import org.brasspier.core.RequestClass;
import org.brasspier.core.admission.RunOutcome;
import org.brasspier.core.event.EventKind;
import org.brasspier.daemon.internal.backend.BackendReply;
import org.brasspier.daemon.internal.backend.BackendRequest;
import org.brasspier.daemon.internal.backend.BackendRun;

/**
 * One order that was sent to the backend server, until its end. Not thread-safe; used in
 * the request thread only.
 */
final class RunningOrder {

	private static final long NANOS_PER_MILLI = 1_000_000;

	/** A cancelled order that still runs after this time is abandoned. */
	private static final Duration CANCEL_TIMEOUT = Duration.ofMillis(250);

	/**
	 * Deadlines are sent in whole milliseconds, and the last millisecond still counts.
	 */
	private static final long ROUNDING_NANOS = 2 * NANOS_PER_MILLI;

	/** A retry after this pause usually finds the next owner or the server available. */
	private static final Duration RETRY_AFTER = Duration.ofMillis(100);

	/**
	 * The first attempt of an idempotent request gets one third of the time: if its
	 * connection is silent, two thirds remain for an attempt on a new connection.
	 */
	private static final int FIRST_ATTEMPT_DIVISOR = 3;

	/** Minimum length of a first attempt, so that slow work isn't taken for silence. */
	private static final long MIN_ATTEMPT_MILLIS = 200;

	private final OrderRunner runner;

	private final Order order;

	private final boolean checksFences;

	private final Consumer<RunOutcome> slotFree;

	private final SettablePromise<Outcome> outcome = new SettablePromise<>();

	private final SettablePromise<Void> settled = new SettablePromise<>();

	private Optional<BackendRun> run = Optional.empty();

	private long sentNanos;

	private long sentDeadlineNanos;

	private boolean secondAttempt;

	private boolean serverLost;

	private boolean cancelled;

	RunningOrder(OrderRunner runner, Order order, boolean checksFences, Consumer<RunOutcome> slotFree) {
		this.runner = runner;
		this.order = order;
		this.checksFences = checksFences;
		this.slotFree = slotFree;
	}

	Promise<Outcome> outcome() {
		return this.outcome;
	}

	Promise<Void> settled() {
		return this.settled;
	}

	void begin(long nowNanos) {
		this.sentNanos = nowNanos;
		this.runner.record(EventKind.REQUEST_HANDED_OVER, this.order, "fence " + this.order.held().fence());
		int remaining = this.order.remainingMillis(nowNanos);
		long firstAttemptMillis = Math.max(MIN_ATTEMPT_MILLIS, remaining / FIRST_ATTEMPT_DIVISOR);
		boolean twoAttempts = mayRetryOnSilence() && firstAttemptMillis < remaining;
		send(twoAttempts ? firstAttemptMillis : remaining, twoAttempts);
	}

	// Audit reads take long, so silence indicates no fault; postings may run only once.
	private boolean mayRetryOnSilence() {
		RequestClass requestClass = this.order.request().requestClass();
		return requestClass == RequestClass.LOOKUP || requestClass == RequestClass.INTERNAL;
	}

	private void send(long waitMillis, boolean again) {
		this.sentDeadlineNanos = effectiveDeadline();
		// Reads the time of day first, so that a pause between the two readings does
		// not postpone the deadline.
		long timeOfDayMillis = System.currentTimeMillis();
		long deadlineAtMillis = timeOfDayMillis + (this.sentDeadlineNanos - System.nanoTime()) / NANOS_PER_MILLI;
		BackendRun next = this.runner.client()
			.run(new BackendRequest(this.order.request(), this.order.held(), deadlineAtMillis, waitMillis));
		this.run = Optional.of(next);
		next.reply().whenResult((reply) -> {
			long now = System.nanoTime();
			if (again && reply instanceof BackendReply.TimedOut && this.order.remainingMillis(now) > 0) {
				this.runner.record(EventKind.CONNECTION_REPLACED, this.order,
						"no answer on the first connection; trying a new one");
				this.secondAttempt = true;
				this.runner.client().closeIdleConnections();
				sendAgain();
				return;
			}
			end(reply);
		});
	}

	// The grant may have expired during the first attempt.
	private void sendAgain() {
		Promise<Boolean> granted = this.checksFences ? this.runner.awaitGrant(this.order) : Promise.of(true);
		granted.whenResult((acknowledged) -> {
			long now = System.nanoTime();
			if (acknowledged && !this.serverLost && !this.cancelled && this.order.remainingMillis(now) > 0) {
				send(this.order.remainingMillis(now), false);
			}
			else {
				failUnknown(ErrorKind.OUTCOME_UNKNOWN, "the first attempt timed out, and a second one is not possible");
			}
		});
	}

	// Whether the deadline of the order may lie beyond the end of the lease: if the
	// server itself refuses old fences, and for reads of a service that is not divided
	// by key.
	private boolean mayOutlastLease() {
		return this.checksFences
				|| (!this.order.request().sharded() && this.order.request().requestClass().isIdempotent());
	}

	// A server that does not check fences may be paused with the order and resume after
	// the range has moved. It then sees that this deadline has passed and does not run
	// the order.
	private long effectiveDeadline() {
		if (mayOutlastLease()) {
			return this.order.deadlineNanos();
		}
		long leaseEnd = this.order.leaseEndNanos().getAsLong();
		if (leaseEnd - System.nanoTime() <= 0) {
			// The end of an expired lease is no longer known, and the guard time counts
			// from that end.
			return leaseEnd;
		}
		long authorityEnd = leaseEnd + this.runner.guards().nanos(this.order.request().service());
		return (authorityEnd - this.order.deadlineNanos() < 0) ? authorityEnd : this.order.deadlineNanos();
	}

	private void end(BackendReply reply) {
		switch (reply) {
			case BackendReply.Whole(var answer) -> {
				this.runner.watch().onAnswer();
				this.runner.record(EventKind.REQUEST_ANSWERED, this.order, "status " + answer.status());
				complete(new Outcome.Answered(answer, this.order.held().fence(), ""), RunOutcome.ANSWERED);
			}
			case BackendReply.Shed(Duration retryAfter) ->
				notRun(ErrorKind.OVERLOADED, "the backend server shed the request",
						retryAfter.isZero() ? RETRY_AFTER : retryAfter, shedOutcome());
			case BackendReply.FenceRefused ignored -> {
				this.runner.grants().forgetAcknowledged();
				notRun(ErrorKind.NO_OWNER, "the backend server refused the fence", RETRY_AFTER, RunOutcome.NOT_STARTED);
			}
			case BackendReply.NotSent(String reason) -> {
				this.runner.watch().probeNow();
				notRun(ErrorKind.NO_BACKEND, "the backend server can't be reached: " + reason, RETRY_AFTER,
						RunOutcome.NOT_STARTED);
			}
			case BackendReply.Broken(String reason) ->
				failUnknown(ErrorKind.OUTCOME_UNKNOWN, "the connection to the backend server broke: " + reason);
			case BackendReply.BadAnswer(String reason) -> failUnknown(ErrorKind.BAD_ANSWER, reason);
			case BackendReply.TimedOut ignored -> timedOut();
		}
	}

	// A server also sheds requests that were cancelled or arrived too late, which says
	// nothing about its capacity.
	private RunOutcome shedOutcome() {
		boolean tooLate = this.sentDeadlineNanos - System.nanoTime() <= 0;
		return (this.cancelled || tooLate) ? RunOutcome.NOT_STARTED : RunOutcome.SHED;
	}

	private void notRun(ErrorKind kind, String detail, Duration retryAfter, RunOutcome slot) {
		Outcome end = Outcome.failed(new Failure(kind, detail, retryAfter));
		complete(this.secondAttempt ? Outcome.afterUnknown(end) : end, slot);
	}

	// A broken connection is the first sign of a crash. A probe shows within one round
	// trip whether the server is still running, which decides whether this request is
	// suspect.
	private void failUnknown(ErrorKind kind, String detail) {
		this.runner.record((kind == ErrorKind.BAD_ANSWER) ? EventKind.BAD_BACKEND_INPUT : EventKind.REQUEST_UNKNOWN,
				this.order, detail);
		if (this.serverLost) {
			failBackendLost(kind, detail);
			return;
		}
		this.runner.watch().probeNow().whenResult((answers) -> {
			if (answers) {
				this.runner.onConnectionLost(this.order);
				complete(Outcome.failed(kind, detail), RunOutcome.INTERRUPTED);
			}
			else {
				failBackendLost(kind, detail);
			}
		});
	}

	private void failBackendLost(ErrorKind kind, String detail) {
		complete(new Outcome.Failed(Failure.of(kind, detail), "", Optional.empty(), true), RunOutcome.INTERRUPTED);
	}

	private void timedOut() {
		this.runner.calls().cancel(this.order.request().id());
		this.runner.record(EventKind.REQUEST_UNKNOWN, this.order, "the deadline passed while it ran");
		complete(Outcome.failed(ErrorKind.TIMED_OUT, "the deadline passed while the request ran"),
				RunOutcome.INTERRUPTED);
	}

	private void complete(Outcome end, RunOutcome slot) {
		if (!this.outcome.trySet(end)) {
			return;
		}
		this.runner.onEnded(this, this.order, System.nanoTime() - this.sentNanos);
		this.slotFree.accept(slot);
		long residualNanos = residualRunNanos(slot);
		settleAt(System.nanoTime() + residualNanos + ((residualNanos > 0) ? ROUNDING_NANOS : 0));
	}

	// Timers may fire slightly early.
	private void settleAt(long nanos) {
		long rest = nanos - System.nanoTime();
		if (rest <= 0) {
			this.settled.trySet(null);
			return;
		}
		this.runner.reactor().delay(Duration.ofNanos(rest).plusMillis(1), () -> settleAt(nanos));
	}

	// When a paused server resumes, it starts orders that it has not read yet, until
	// the deadline of the order or, if it checks fences, until the end of its grant.
	private long residualRunNanos(RunOutcome slot) {
		if (slot != RunOutcome.INTERRUPTED || this.runner.watch().isGone()) {
			return 0;
		}
		long now = System.nanoTime();
		long untilDeadline = this.sentDeadlineNanos - now;
		return this.checksFences ? Math.min(untilDeadline, this.runner.grants().remainingNanos(this.order.held(), now))
				: untilDeadline;
	}

	void abandon(String reason) {
		this.serverLost = true;
		this.run.ifPresent((current) -> current.abandon(reason));
	}

	// The caller has disconnected. Postings run to their end, since their outcome is
	// remembered for a retry; the server may still choose not to run them.
	void onCallerGone() {
		if (this.outcome.isComplete()) {
			return;
		}
		this.cancelled = true;
		this.runner.calls().cancel(this.order.request().id());
		this.runner.record(EventKind.REQUEST_CANCELLED, this.order, "the caller is gone");
		if (this.order.request().requestClass().isIdempotent()) {
			this.runner.reactor()
				.delay(CANCEL_TIMEOUT, () -> this.run.ifPresent((current) -> current.abandon("cancelled")));
		}
	}

}
