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
 * Routes a caller's request to its owner, which is this instance or one hop away. Retries
 * it only where that is safe: it did not run, it is idempotent, or its owner remembers
 * its id. Not thread-safe; used in the request thread only.
 */
public final class RequestRouter {

	private static final long NANOS_PER_MILLI = 1_000_000;

	/** A key is served again within a second of a loss; longer waits rarely help. */
	private static final long MAX_WAIT_MILLIS = 1000;

	/**
	 * A request waits for at most one in this many parts of its time, so that the caller
	 * keeps most of it for its own retry.
	 */
	private static final int WAIT_DIVISOR = 4;

	private static final long INITIAL_PAUSE_MILLIS = 50;

	private static final Duration RETRY_AFTER = Duration.ofMillis(250);

	private final Supplier<OwnershipSnapshot> ownership;

	private final OwnerGate owner;

	private final ForwardClient forwards;

	private final RouteChangeWaiter routes;

	private final RetryBudget budget;

	private final EventLog events;

	/**
	 * Creates a router.
	 * @param ownership the current owners
	 * @param owner serves requests that this instance owns
	 * @param forwards forwards requests to other daemons
	 * @param routes holds requests until their route changes
	 * @param budget limits retries after an unknown outcome
	 * @param events the event log
	 */
	RequestRouter(Supplier<OwnershipSnapshot> ownership, OwnerGate owner, ForwardClient forwards,
			RouteChangeWaiter routes, RetryBudget budget, EventLog events) {
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
	 * @param cancellation notified when the caller disconnects
	 * @return the outcome; never completes exceptionally
	 */
	public Promise<Outcome> route(CallerRequest request, Cancellation cancellation) {
		this.budget.recordRequest();
		Route route = new Route(request, cancellation, System.nanoTime());
		// The first attempt may have run. If the retry certainly did not run, the
		// outcome is still unknown: "not run" would let the caller send a posting again
		// that has run.
		return route.attempt().map((outcome) -> route.retried ? Outcome.afterUnknown(outcome) : outcome);
	}

	/**
	 * The routing of one request.
	 */
	private final class Route {

		private CallerRequest request;

		private final Cancellation cancellation;

		private final long deadlineNanos;

		private final long waitUntilNanos;

		private long pauseMillis = INITIAL_PAUSE_MILLIS;

		private boolean retried;

		private boolean redirected;

		Route(CallerRequest request, Cancellation cancellation, long nowNanos) {
			this.request = request;
			this.cancellation = cancellation;
			this.deadlineNanos = nowNanos + request.remainingMillis() * NANOS_PER_MILLI;
			long wait = Math.min(MAX_WAIT_MILLIS, request.remainingMillis() / WAIT_DIVISOR);
			this.waitUntilNanos = nowNanos + wait * NANOS_PER_MILLI;
		}

		Promise<Outcome> attempt() {
			Optional<Assignment> route = route();
			if (route.isEmpty()) {
				return awaitRouteChange(route, noOwner());
			}
			Outcome.Owner known = new Outcome.Owner(route.get().owner(), route.get().fence());
			return send(known).then((outcome) -> handleOutcome(known, route, outcome));
		}

		private Optional<Assignment> route() {
			return RequestRouter.this.ownership.get().routes().find(this.request.service(), this.request.keyHash());
		}

		private Promise<Outcome> send(Outcome.Owner known) {
			int remaining = (int) ((this.deadlineNanos - System.nanoTime()) / NANOS_PER_MILLI);
			if (remaining <= 0 || this.cancellation.isCancelled()) {
				return Promise
					.of(Outcome.failed(ErrorKind.DEADLINE_PASSED, "the deadline passed before the request was sent"));
			}
			CallerRequest timed = this.request.withRemainingMillis(remaining);
			if (known.instance().equals(RequestRouter.this.ownership.get().self())) {
				return RequestRouter.this.owner.serve(timed, this.cancellation);
			}
			RequestRouter.this.events.record(EventKind.REQUEST_FORWARDED, this.request, "to " + known.instance());
			return RequestRouter.this.forwards.forward(known.instance(), timed, this.cancellation)
				.map((outcome) -> mayRunAt(known) ? outcome : notRun(outcome));
		}

		// No owner admits a posting without a ticket or with the ticket of an earlier
		// owner.
		private boolean mayRunAt(Outcome.Owner owner) {
			return this.request.requestClass() != RequestClass.POSTING || this.request.identity()
				.ticket()
				.flatMap(Ticket::parse)
				.filter((ticket) -> !ticket.isStaleUnder(owner.fence()))
				.isPresent();
		}

		// After a timeout or a broken link it is usually unknown whether the owner ran
		// a request. Here it certainly did not.
		private static Outcome notRun(Outcome outcome) {
			if (!(outcome instanceof Outcome.Failed failed)) {
				return outcome;
			}
			String detail = failed.failure().detail() + "; no owner accepts the posting's ticket";
			return switch (failed.failure().kind()) {
				case OUTCOME_UNKNOWN -> Outcome.failed(new Failure(ErrorKind.NO_OWNER, detail, RETRY_AFTER));
				case TIMED_OUT -> Outcome.failed(ErrorKind.DEADLINE_PASSED, detail);
				default -> failed;
			};
		}

		private Promise<Outcome> handleOutcome(Outcome.Owner sentTo, Optional<Assignment> route, Outcome outcome) {
			if (!(outcome instanceof Outcome.Failed failed) || this.cancellation.isCancelled()) {
				return Promise.of(outcome);
			}
			if (shouldRedirect(sentTo, failed)) {
				this.redirected = true;
				Outcome.Owner newer = failed.owner().orElseThrow();
				return send(newer).then((end) -> handleOutcome(newer, route, end));
			}
			if (mayFindAnotherOwner(failed)) {
				return awaitRouteChange(route, failed);
			}
			if (mayRetry(failed) && (failed.exemptFromBudget() || RequestRouter.this.budget.trySpend())) {
				this.retried = true;
				this.request = this.request.asRetry();
				return failed.backendLost() ? awaitRouteChange(route, failed) : attempt();
			}
			return Promise.of(outcome);
		}

		// One more attempt at the owner named in the answer, if its fence is newer than
		// the one that this daemon used, so that stale routes never cause a routing
		// loop.
		private boolean shouldRedirect(Outcome.Owner sentTo, Outcome.Failed failed) {
			return failed.failure().kind() == ErrorKind.NOT_OWNER && !this.redirected
					&& failed.owner().filter((owner) -> sentTo.fence().isOlderThan(owner.fence())).isPresent();
		}

		private static boolean mayFindAnotherOwner(Outcome.Failed failed) {
			return switch (failed.failure().kind()) {
				case NOT_OWNER, NO_OWNER, NO_BACKEND -> true;
				default -> false;
			};
		}

		// A lookup is idempotent. A posting whose link broke is sent to its owner again
		// with the same id and ticket: the owner remembers whether it ran.
		private boolean mayRetry(Outcome.Failed failed) {
			boolean lost = failed.failure().kind() == ErrorKind.OUTCOME_UNKNOWN;
			boolean harmless = this.request.requestClass().isIdempotent() || !failed.backendLost();
			return lost && harmless && !this.retried;
		}

		private Promise<Outcome> awaitRouteChange(Optional<Assignment> seen, Outcome.Failed refusal) {
			long now = System.nanoTime();
			if (now - this.waitUntilNanos >= 0) {
				return Promise.of(finalFailure(refusal));
			}
			long until = Math.min(this.waitUntilNanos, now + this.pauseMillis * NANOS_PER_MILLI);
			this.pauseMillis *= 2;
			return RequestRouter.this.routes.awaitChange(this.request, seen, until)
				.then((waited) -> (waited && !this.cancellation.isCancelled()) ? attempt()
						: Promise.of(finalFailure(refusal)));
		}

		private Outcome finalFailure(Outcome.Failed refusal) {
			if (refusal.failure().kind() != ErrorKind.NOT_OWNER) {
				return refusal;
			}
			return noOwner().withTicket(refusal.ticket());
		}

		private Outcome.Failed noOwner() {
			String detail = "no instance serves this key of %s now".formatted(this.request.service());
			return Outcome.failed(new Failure(ErrorKind.NO_OWNER, detail, RETRY_AFTER));
		}

	}

}
