package org.brasspier.daemon.internal.request;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;

import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import io.activej.reactor.nio.NioReactor;
import io.activej.reactor.schedule.ScheduledRunnable;
import io.vavr.control.Either;
import org.brasspier.core.ErrorKind;
import org.brasspier.core.event.EventKind;
import org.brasspier.core.ownership.HeldRange;
import org.brasspier.core.request.CallerRequest;
import org.brasspier.core.request.LedgerDecision;
import org.brasspier.core.request.Posting;
import org.brasspier.core.request.RequestIdentity;
import org.brasspier.core.request.RequestLedger;
import org.brasspier.core.request.Ticket;
import org.brasspier.daemon.internal.event.EventLog;

/**
 * Runs each posting at most once, as the ledger decides. A retry waits for the first
 * attempt that is still running and gets its complete answer. Not thread-safe; used in
 * the request thread only.
 */
final class PostingExecutor {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final NioReactor reactor;

	private final RequestLedger ledger;

	private final EventLog events;

	private final Map<Posting, SettablePromise<Outcome>> running = new HashMap<>();

	PostingExecutor(NioReactor reactor, RequestLedger ledger, EventLog events) {
		this.reactor = reactor;
		this.ledger = ledger;
		this.events = events;
	}

	Promise<Outcome> admit(CallerRequest request, HeldRange held, long nowNanos, Supplier<Promise<Outcome>> run) {
		Posting posting = new Posting(request.service(), held.fence(), request.id(), request.fingerprint());
		RequestIdentity identity = request.identity();
		Optional<Ticket> ticket = identity.ticket().flatMap(Ticket::parse);
		LedgerDecision admission = this.ledger.admit(posting, ticket, identity.firstAttempt(),
				nowNanos / NANOS_PER_MILLI);
		Promise<Outcome> outcome = switch (admission) {
			case LedgerDecision.Run ignored -> run(posting, run);
			case LedgerDecision.Join ignored -> join(posting, request);
			case LedgerDecision.Completed(var end) -> repeat(request,
					end.<Outcome>fold(Outcome::failed, (answer) -> new Outcome.Answered(answer, held.fence(), "")));
			case LedgerDecision.Refused(var failure) -> Promise.of(Outcome.failed(failure));
		};
		return outcome.map((end) -> withTicket(end, held));
	}

	// Every answer carries a ticket, so that the next posting needs no extra round
	// trip.
	Outcome withTicket(Outcome outcome, HeldRange held) {
		return outcome.withTicket(issueTicket(held).text());
	}

	private Ticket issueTicket(HeldRange held) {
		return this.ledger.issueTicket(held.service(), held.fence(), System.nanoTime() / NANOS_PER_MILLI);
	}

	private Promise<Outcome> run(Posting posting, Supplier<Promise<Outcome>> run) {
		SettablePromise<Outcome> shared = new SettablePromise<>();
		this.running.put(posting, shared);
		run.get().whenResult((outcome) -> {
			this.running.remove(posting);
			remember(posting, outcome);
			shared.set(outcome);
		});
		return shared;
	}

	private void remember(Posting posting, Outcome outcome) {
		switch (outcome) {
			case Outcome.Answered answered -> this.ledger.recordOutcome(posting, Either.right(answered.answer()));
			case Outcome.Failed failed -> {
				if (failed.certainlyNotRun()) {
					this.ledger.recordNotRun(posting);
				}
				else {
					this.ledger.recordOutcome(posting, Either.left(failed.failure()));
				}
			}
		}
	}

	private Promise<Outcome> repeat(CallerRequest request, Outcome end) {
		this.events.record(EventKind.REQUEST_REPEATED, request, "its first attempt has ended");
		return Promise.of(end);
	}

	// Waits for the end of the first attempt, but not beyond the retry's own deadline.
	private Promise<Outcome> join(Posting posting, CallerRequest request) {
		this.events.record(EventKind.REQUEST_REPEATED, request, "its first attempt is still running");
		SettablePromise<Outcome> shared = this.running.get(posting);
		if (shared == null) {
			return Promise.of(Outcome.failed(ErrorKind.IN_PROGRESS, "the same posting is being run now"));
		}
		SettablePromise<Outcome> own = new SettablePromise<>();
		ScheduledRunnable timeout = this.reactor.delay(Duration.ofMillis(request.remainingMillis()),
				() -> own.trySet(Outcome.failed(ErrorKind.IN_PROGRESS, "the same posting is still being run")));
		shared.whenResult((outcome) -> {
			timeout.cancel();
			own.trySet(outcome);
		});
		return own;
	}

}
