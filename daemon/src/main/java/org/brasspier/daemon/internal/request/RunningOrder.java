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
 * One order that the backend server is at, from its hand-over to its end. Belongs to the
 * thread of requests.
 */
final class RunningOrder {

	private static final long NANOS_PER_MILLI = 1_000_000;

	/** A cancelled order that still runs after this is given up. */
	private static final Duration CANCEL_WAIT = Duration.ofMillis(250);

	/** Deadlines are told in whole milliseconds, of which the last one still counts. */
	private static final long ROUNDING_NANOS = 2 * NANOS_PER_MILLI;

	/** A refused resend soon finds the next owner or the server back. */
	private static final Duration RETRY_SOON = Duration.ofMillis(100);

	/**
	 * A third of the time goes to the first try of an idempotent request: a connection
	 * that went silent then leaves two thirds for a new one.
	 */
	private static final int FIRST_TRY_ONE_IN = 3;

	/** A first try is never shorter, so that slow work isn't taken for silence. */
	private static final long SHORTEST_TRY_MILLIS = 200;

	private final OrderRunner runner;

	private final Order order;

	private final boolean checksFences;

	private final Consumer<RunOutcome> slotFree;

	private final SettablePromise<Outcome> outcome = new SettablePromise<>();

	private final SettablePromise<Void> over = new SettablePromise<>();

	private Optional<BackendRun> run = Optional.empty();

	private long handedNanos;

	private long deadlineAtNanos;

	private boolean secondTry;

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

	Promise<Void> over() {
		return this.over;
	}

	void begin(long nowNanos) {
		this.handedNanos = nowNanos;
		this.runner.record(EventKind.REQUEST_HANDED_OVER, this.order, "fence " + this.order.held().fence());
		int remaining = this.order.remainingMillis(nowNanos);
		long firstTry = Math.max(SHORTEST_TRY_MILLIS, remaining / FIRST_TRY_ONE_IN);
		boolean twoTries = hurried() && firstTry < remaining;
		hand(twoTries ? firstTry : remaining, twoTries);
	}

	// Audit reads are long by nature, so silence tells nothing; postings run once.
	private boolean hurried() {
		RequestClass requestClass = this.order.request().requestClass();
		return requestClass == RequestClass.LOOKUP || requestClass == RequestClass.INTERNAL;
	}

	private void hand(long waitMillis, boolean again) {
		this.deadlineAtNanos = deadlineAt();
		// The time of day first: a pause between the two readings must not put it off.
		long timeOfDayMillis = System.currentTimeMillis();
		long deadlineAtMillis = timeOfDayMillis + (this.deadlineAtNanos - System.nanoTime()) / NANOS_PER_MILLI;
		BackendRun next = this.runner.client()
			.run(new BackendRequest(this.order.request(), this.order.held(), deadlineAtMillis, waitMillis));
		this.run = Optional.of(next);
		next.reply().whenResult((reply) -> {
			long now = System.nanoTime();
			if (again && reply instanceof BackendReply.TimedOut && this.order.remainingMillis(now) > 0) {
				this.runner.record(EventKind.CONNECTION_REPLACED, this.order, "no answer on the first connection");
				this.secondTry = true;
				this.runner.client().closeIdleConnections();
				handAgain();
				return;
			}
			end(reply);
		});
	}

	// The grant may have run out while the first try was silent.
	private void handAgain() {
		Promise<Boolean> granted = this.checksFences ? this.runner.acknowledged(this.order) : Promise.of(true);
		granted.whenResult((acknowledged) -> {
			long now = System.nanoTime();
			if (acknowledged && !this.serverLost && !this.cancelled && this.order.remainingMillis(now) > 0) {
				hand(this.order.remainingMillis(now), false);
			}
			else {
				unknown(ErrorKind.OUTCOME_UNKNOWN, "nothing came for the first try, and a second one can't be made");
			}
		});
	}

	// Whether the order may name its own deadline: where the server refuses old fences by
	// itself, and for a read where no key is owned.
	private boolean mayOutlastLease() {
		return this.checksFences
				|| (!this.order.request().sharded() && this.order.request().requestClass().idempotent());
	}

	// A server that checks no fences may freeze with the order and wake after the range
	// has moved; it then finds this moment passed and leaves the work undone.
	private long deadlineAt() {
		if (mayOutlastLease()) {
			return this.order.deadlineNanos();
		}
		long leaseEnd = this.order.leaseEndNanos().getAsLong();
		if (leaseEnd - System.nanoTime() <= 0) {
			// A lapsed lease tells no more when it ended, and the guard counted from
			// then.
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
				settle(new Outcome.Answered(answer, this.order.held().fence(), ""), RunOutcome.ANSWERED);
			}
			case BackendReply.Shed(Duration retryAfter) -> notRun(ErrorKind.OVERLOADED,
					"the backend server shed the request", retryAfter.isZero() ? RETRY_SOON : retryAfter, shed());
			case BackendReply.FenceRefused ignored -> {
				this.runner.grants().forgetAcknowledged();
				notRun(ErrorKind.NO_OWNER, "the backend server refused the fence", RETRY_SOON, RunOutcome.NOT_STARTED);
			}
			case BackendReply.NotSent(String reason) -> {
				this.runner.watch().probeNow();
				notRun(ErrorKind.NO_BACKEND, "the backend server can't be reached: " + reason, RETRY_SOON,
						RunOutcome.NOT_STARTED);
			}
			case BackendReply.Broken(String reason) ->
				unknown(ErrorKind.OUTCOME_UNKNOWN, "the connection to the backend server broke: " + reason);
			case BackendReply.BadAnswer(String reason) -> unknown(ErrorKind.BAD_ANSWER, reason);
			case BackendReply.TimedOut ignored -> timedOut();
		}
	}

	// A server also leaves work undone that was cancelled or came too late; that says
	// nothing of how much it can take.
	private RunOutcome shed() {
		boolean tooLate = this.deadlineAtNanos - System.nanoTime() <= 0;
		return (this.cancelled || tooLate) ? RunOutcome.NOT_STARTED : RunOutcome.SHED;
	}

	private void notRun(ErrorKind kind, String detail, Duration retryAfter, RunOutcome slot) {
		Outcome end = Outcome.failed(new Failure(kind, detail, retryAfter));
		settle(this.secondTry ? Outcome.afterUnknown(end) : end, slot);
	}

	// A broken connection is the first sign of a crash. Whether the server is still there
	// is known within a round trip, and decides whether this request is suspect.
	private void unknown(ErrorKind kind, String detail) {
		this.runner.record((kind == ErrorKind.BAD_ANSWER) ? EventKind.BAD_BACKEND_INPUT : EventKind.REQUEST_UNKNOWN,
				this.order, detail);
		if (this.serverLost) {
			lost(kind, detail);
			return;
		}
		this.runner.watch().probeNow().whenResult((answers) -> {
			if (answers) {
				this.runner.broke(this.order);
				settle(Outcome.failed(kind, detail), RunOutcome.INTERRUPTED);
			}
			else {
				lost(kind, detail);
			}
		});
	}

	private void lost(ErrorKind kind, String detail) {
		settle(new Outcome.Failed(Failure.of(kind, detail), "", Optional.empty(), true), RunOutcome.INTERRUPTED);
	}

	private void timedOut() {
		this.runner.calls().cancel(this.order.request().id());
		this.runner.record(EventKind.REQUEST_UNKNOWN, this.order, "the deadline passed while it ran");
		settle(Outcome.failed(ErrorKind.TIMED_OUT, "the deadline passed while the request ran"),
				RunOutcome.INTERRUPTED);
	}

	private void settle(Outcome end, RunOutcome slot) {
		if (!this.outcome.trySet(end)) {
			return;
		}
		this.runner.ended(this, this.order, System.nanoTime() - this.handedNanos);
		this.slotFree.accept(slot);
		long runsOnFor = runsOnForNanos(slot);
		overAt(System.nanoTime() + runsOnFor + ((runsOnFor > 0) ? ROUNDING_NANOS : 0));
	}

	// Timers may fire a moment early.
	private void overAt(long nanos) {
		long rest = nanos - System.nanoTime();
		if (rest <= 0) {
			this.over.trySet(null);
			return;
		}
		this.runner.reactor().delay(Duration.ofNanos(rest).plusMillis(1), () -> overAt(nanos));
	}

	// A server that was paused begins what it has not read yet when it wakes, until the
	// order's deadline or, where it checks fences, until its grant ends.
	private long runsOnForNanos(RunOutcome slot) {
		if (slot != RunOutcome.INTERRUPTED || this.runner.watch().isGone()) {
			return 0;
		}
		long now = System.nanoTime();
		long untilDeadline = this.deadlineAtNanos - now;
		return this.checksFences ? Math.min(untilDeadline, this.runner.grants().remainingNanos(this.order.held(), now))
				: untilDeadline;
	}

	void abandon(String reason) {
		this.serverLost = true;
		this.run.ifPresent((current) -> current.abandon(reason));
	}

	// The caller is gone. Postings are left to end, since their outcome is remembered for
	// a resend; the server may still choose not to run them.
	void callerGone() {
		if (this.outcome.isComplete()) {
			return;
		}
		this.cancelled = true;
		this.runner.calls().cancel(this.order.request().id());
		this.runner.record(EventKind.REQUEST_CANCELLED, this.order, "the caller is gone");
		if (this.order.request().requestClass().idempotent()) {
			this.runner.reactor()
				.delay(CANCEL_WAIT, () -> this.run.ifPresent((current) -> current.abandon("cancelled")));
		}
	}

}
