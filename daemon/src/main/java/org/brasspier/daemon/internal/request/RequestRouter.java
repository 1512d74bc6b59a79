package org.brasspier.daemon.internal.request;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Supplier;

import io.activej.promise.Promise;
import org.brasspier.core.ErrorKind;
import org.brasspier.core.Failure;
import org.brasspier.core.RequestClass;
import org.brasspier.core.event.EventKind;
import org.brasspier.core.request.CallerRequest;
import org.brasspier.core.request.Ticket;
import org.brasspier.core.retry.RetryBudget;
import org.brasspier.core.routing.Assignment;
import org.brasspier.core.routing.OwnershipSnapshot;
import org.brasspier.daemon.internal.event.EventLog;

/**
 * Brings a caller's request to its owner: this instance, or one hop to another. Sends it
 * again only where that certainly does no harm: it did not run, it may run twice, or its
 * owner remembers its id. Belongs to the thread of requests.
 */
public final class RequestRouter {

	private static final long NANOS_PER_MILLI = 1_000_000;

	/** A key is served again within a second of a loss; longer waits rarely pay off. */
	private static final long LONGEST_WAIT_MILLIS = 1000;

	/** A caller keeps most of its time for a resend of its own. */
	private static final int WAIT_ONE_IN = 4;

	private static final long SHORTEST_PAUSE_MILLIS = 50;

	private static final Duration RETRY_LATER = Duration.ofMillis(250);

	private final Supplier<OwnershipSnapshot> ownership;

	private final OwnerGate owner;

	private final ForwardClient forwards;

	private final RoutesWait routes;

	private final RetryBudget budget;

	private final EventLog events;

	/**
	 * Creates a router.
	 * @param ownership who owns what, as known now
	 * @param owner the way for requests that this instance owns
	 * @param forwards the way to other daemons
	 * @param routes holds requests until another owner is known
	 * @param budget what resends of unknown outcome are paid from
	 * @param events the time line
	 */
	RequestRouter(Supplier<OwnershipSnapshot> ownership, OwnerGate owner, ForwardClient forwards, RoutesWait routes,
			RetryBudget budget, EventLog events) {
		this.ownership = ownership;
		this.owner = owner;
		this.forwards = forwards;
		this.routes = routes;
		this.budget = budget;
		this.events = events;
	}

	/**
	 * Routes a request that a caller sent to this daemon.
	 * @param request the request
	 * @param cancellation tells when the caller is gone
	 * @return how it ended; never an exception
	 */
	public Promise<Outcome> route(CallerRequest request, Cancellation cancellation) {
		this.budget.recordRequest();
		Route route = new Route(request, cancellation, System.nanoTime());
		// The first send may have run, so that the second one certainly did not is no
		// answer: "not run" would let the caller send a posting anew that has run.
		return route.attempt().map((outcome) -> route.resent ? Outcome.afterUnknown(outcome) : outcome);
	}

	/**
	 * One request on its way.
	 */
	private final class Route {

		private CallerRequest request;

		private final Cancellation cancellation;

		private final long deadlineNanos;

		private final long waitUntilNanos;

		private long pauseMillis = SHORTEST_PAUSE_MILLIS;

		private boolean resent;

		private boolean redirected;

		Route(CallerRequest request, Cancellation cancellation, long nowNanos) {
			this.request = request;
			this.cancellation = cancellation;
			this.deadlineNanos = nowNanos + request.remainingMillis() * NANOS_PER_MILLI;
			long wait = Math.min(LONGEST_WAIT_MILLIS, request.remainingMillis() / WAIT_ONE_IN);
			this.waitUntilNanos = nowNanos + wait * NANOS_PER_MILLI;
		}

		Promise<Outcome> attempt() {
			Optional<Assignment> route = route();
			if (route.isEmpty()) {
				return later(route, noOwner());
			}
			Outcome.Owner known = new Outcome.Owner(route.get().owner(), route.get().fence());
			return send(known).then((outcome) -> next(known, route, outcome));
		}

		private Optional<Assignment> route() {
			return RequestRouter.this.ownership.get().routes().find(this.request.service(), this.request.keyHash());
		}

		private Promise<Outcome> send(Outcome.Owner known) {
			int remaining = (int) ((this.deadlineNanos - System.nanoTime()) / NANOS_PER_MILLI);
			if (remaining <= 0 || this.cancellation.cancelled()) {
				return Promise.of(Outcome.failed(ErrorKind.DEADLINE_PASSED, "the deadline passed before it was sent"));
			}
			CallerRequest timed = this.request.withRemainingMillis(remaining);
			if (known.instance().equals(RequestRouter.this.ownership.get().self())) {
				return RequestRouter.this.owner.serve(timed, this.cancellation);
			}
			RequestRouter.this.events.record(EventKind.REQUEST_FORWARDED, this.request, "to " + known.instance());
			return RequestRouter.this.forwards.forward(known.instance(), timed, this.cancellation)
				.map((outcome) -> mayRunAt(known) ? outcome : notRun(outcome));
		}

		// A posting with no ticket, or with one of an earlier owner, is admitted by none.
		private boolean mayRunAt(Outcome.Owner owner) {
			return this.request.requestClass() != RequestClass.POSTING || this.request.identity()
				.ticket()
				.flatMap(Ticket::parse)
				.filter((ticket) -> !ticket.isStaleUnder(owner.fence()))
				.isPresent();
		}

		// Silence and broken links leave open what the owner has done with a request.
		// Here
		// it certainly did not run it.
		private static Outcome notRun(Outcome outcome) {
			if (!(outcome instanceof Outcome.Failed failed)) {
				return outcome;
			}
			String detail = failed.failure().detail() + "; the posting's ticket let it run nowhere";
			return switch (failed.failure().kind()) {
				case OUTCOME_UNKNOWN -> Outcome.failed(new Failure(ErrorKind.NO_OWNER, detail, RETRY_LATER));
				case TIMED_OUT -> Outcome.failed(ErrorKind.DEADLINE_PASSED, detail);
				default -> failed;
			};
		}

		private Promise<Outcome> next(Outcome.Owner sentTo, Optional<Assignment> route, Outcome outcome) {
			if (!(outcome instanceof Outcome.Failed failed) || this.cancellation.cancelled()) {
				return Promise.of(outcome);
			}
			if (movedOn(sentTo, failed)) {
				this.redirected = true;
				Outcome.Owner newer = failed.owner().orElseThrow();
				return send(newer).then((end) -> next(newer, route, end));
			}
			if (mayFindAnotherOwner(failed)) {
				return later(route, failed);
			}
			if (mayBeSentAgain(failed) && (failed.resendPaid() || RequestRouter.this.budget.trySpend())) {
				this.resent = true;
				this.request = this.request.asRetry();
				return failed.backendLost() ? later(route, failed) : attempt();
			}
			return Promise.of(outcome);
		}

		// One more try at the owner that the answer names, if its fence is newer than the
		// one this daemon went by; so stale routes never make a request go in circles.
		private boolean movedOn(Outcome.Owner sentTo, Outcome.Failed failed) {
			return failed.failure().kind() == ErrorKind.NOT_OWNER && !this.redirected
					&& failed.owner().filter((owner) -> sentTo.fence().isOlderThan(owner.fence())).isPresent();
		}

		private static boolean mayFindAnotherOwner(Outcome.Failed failed) {
			return switch (failed.failure().kind()) {
				case NOT_OWNER, NO_OWNER, NO_BACKEND -> true;
				default -> false;
			};
		}

		// A lookup may run twice. A posting whose link broke is sent to its owner again
		// under the same id and ticket: the owner remembers whether it ran.
		private boolean mayBeSentAgain(Outcome.Failed failed) {
			boolean lost = failed.failure().kind() == ErrorKind.OUTCOME_UNKNOWN;
			boolean harmless = this.request.requestClass().isIdempotent() || !failed.backendLost();
			return lost && harmless && !this.resent;
		}

		private Promise<Outcome> later(Optional<Assignment> seen, Outcome.Failed refusal) {
			long now = System.nanoTime();
			if (now - this.waitUntilNanos >= 0) {
				return Promise.of(givenUp(refusal));
			}
			long until = Math.min(this.waitUntilNanos, now + this.pauseMillis * NANOS_PER_MILLI);
			this.pauseMillis *= 2;
			return RequestRouter.this.routes.changed(this.request, seen, until)
				.then((woken) -> (woken && !this.cancellation.cancelled()) ? attempt() : Promise.of(givenUp(refusal)));
		}

		private Outcome givenUp(Outcome.Failed refusal) {
			if (refusal.failure().kind() != ErrorKind.NOT_OWNER) {
				return refusal;
			}
			return noOwner().withTicket(refusal.ticket());
		}

		private Outcome.Failed noOwner() {
			String detail = "no instance serves this key of %s now".formatted(this.request.service());
			return Outcome.failed(new Failure(ErrorKind.NO_OWNER, detail, RETRY_LATER));
		}

	}

}
