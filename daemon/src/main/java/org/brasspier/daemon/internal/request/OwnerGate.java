package org.brasspier.daemon.internal.request;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Supplier;

import io.activej.promise.Promise;
import io.activej.promise.Promises;
import io.activej.promise.SettablePromise;
import org.brasspier.core.ErrorKind;
import org.brasspier.core.Failure;
import org.brasspier.core.RequestClass;
import org.brasspier.core.event.EventKind;
import org.brasspier.core.ownership.HeldRange;
import org.brasspier.core.request.CallerRequest;
import org.brasspier.core.routing.Assignment;
import org.brasspier.core.routing.OwnershipSnapshot;
import org.brasspier.daemon.internal.event.EventLog;

/**
 * The owner's side of a request: lets it pass if this instance holds its point, at most
 * once if it is a posting, and relays the answer only if the lease has held meanwhile.
 * Belongs to the thread of requests.
 */
public final class OwnerGate {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private static final Duration RETRY_SOON = Duration.ofMillis(100);

	/** A caller is told sooner than its deadline, and gets the answer by a resend. */
	private static final long RENEWAL_WAIT_NANOS = 1_000_000_000;

	private static final Duration LOOK_AGAIN = Duration.ofMillis(5);

	private final Supplier<OwnershipSnapshot> ownership;

	private final PostingExecutor postings;

	private final SuspectRequests suspects;

	private final InFlightRequests inFlight;

	private final Function<Admitted, OrderRun> servers;

	private final EventLog events;

	private final LeaseContinuity continuity = new LeaseContinuity(System.nanoTime());

	private Promise<Void> suspectsTurn = Promise.complete();

	/**
	 * Creates a gate.
	 * @param ownership what this instance holds now
	 * @param postings what was admitted before
	 * @param suspects which requests were part of losses
	 * @param inFlight what this instance has admitted
	 * @param servers hands an admitted request to a backend server
	 * @param events the time line
	 */
	OwnerGate(Supplier<OwnershipSnapshot> ownership, PostingExecutor postings, SuspectRequests suspects,
			InFlightRequests inFlight, Function<Admitted, OrderRun> servers, EventLog events) {
		this.ownership = ownership;
		this.postings = postings;
		this.suspects = suspects;
		this.inFlight = inFlight;
		this.servers = servers;
		this.events = events;
	}

	/**
	 * Serves a request if this instance owns it.
	 * @param request the request
	 * @param cancellation tells when its caller is gone
	 * @return how it ended; never an exception
	 */
	public Promise<Outcome> serve(CallerRequest request, Cancellation cancellation) {
		long now = System.nanoTime();
		OwnershipSnapshot snapshot = this.ownership.get();
		long leaseRun = this.continuity.update(snapshot, now);
		Optional<Assignment> owned = snapshot.findHeld(request.service(), request.keyHash(), now);
		if (owned.isEmpty()) {
			return Promise.of(notOwner(snapshot, request));
		}
		HeldRange held = new HeldRange(request.service(), owned.get().range(), owned.get().fence());
		this.suspects.mergeMarks(snapshot.marked());
		if (this.suspects.isBlocked(request)) {
			this.events.record(EventKind.REQUEST_KEPT_AWAY, request, "it was part of losses of backend servers");
			return Promise.of(Outcome.failed(ErrorKind.CRASHED_BACKENDS,
					"backend servers were lost each time they ran this request"));
		}
		Admitted admitted = new Admitted(order(request, held, leaseRun, now), cancellation);
		return ended(admitted, now).then((outcome) -> relay(admitted.order(), leaseRun, outcome));
	}

	private Order order(CallerRequest request, HeldRange held, long leaseRun, long receivedNanos) {
		long deadline = receivedNanos + request.remainingMillis() * NANOS_PER_MILLI;
		return new Order(request, held, deadline, () -> leaseEnd(leaseRun));
	}

	// A posting's answer is remembered also if it may not be relayed now: a resend under
	// the same fence gets it.
	private Promise<Outcome> ended(Admitted admitted, long nowNanos) {
		CallerRequest request = admitted.order().request();
		HeldRange held = admitted.order().held();
		if (request.requestClass() == RequestClass.POSTING) {
			return this.postings.admit(request, held, nowNanos, () -> turn(admitted));
		}
		return turn(admitted).map((outcome) -> this.postings.withTicket(outcome, held));
	}

	/**
	 * Looks at the lease, as must be done each few milliseconds.
	 */
	void updateLease() {
		this.continuity.update(this.ownership.get(), System.nanoTime());
	}

	// Suspects run one at a time, beside any others. So the innocent ones, which clear
	// themselves by ending well, are not part of the culprit's second crash.
	private Promise<Outcome> turn(Admitted admitted) {
		CallerRequest request = admitted.order().request();
		if (!this.suspects.isSuspect(request)) {
			return hand(admitted);
		}
		SettablePromise<Void> next = new SettablePromise<>();
		Promise<Void> before = this.suspectsTurn;
		this.suspectsTurn = next;
		return before.then(() -> this.suspects.isBlocked(request)
				? Promise.of(Outcome.failed(ErrorKind.CRASHED_BACKENDS, "it was part of one more loss"))
				: hand(admitted))
			.whenComplete(() -> next.set(null));
	}

	private Promise<Outcome> hand(Admitted admitted) {
		CallerRequest request = admitted.order().request();
		InFlightRequests.Entry entry = this.inFlight.begin(request.service(), request.keyHash(),
				admitted.order().held().fence());
		OrderRun run = this.servers.apply(admitted);
		run.settled().whenComplete(() -> this.inFlight.end(entry));
		return run.outcome().whenResult((outcome) -> followSuspect(request, outcome));
	}

	private void followSuspect(CallerRequest request, Outcome outcome) {
		switch (outcome) {
			case Outcome.Answered ignored -> this.suspects.recordSuccess(request);
			case Outcome.Failed failed when failed.backendLost() -> this.suspects.recordCrash(request);
			case Outcome.Failed ignored -> {
			}
		}
	}

	private long leaseEnd(long leaseRun) {
		OwnershipSnapshot snapshot = this.ownership.get();
		long now = System.nanoTime();
		return this.continuity.isUnbroken(leaseRun, snapshot, now) ? snapshot.leaseEndNanos() : now - 1;
	}

	private Promise<Outcome> relay(Order order, long leaseRun, Outcome outcome) {
		if (outcome instanceof Outcome.Answered && leaseEnd(leaseRun) - System.nanoTime() <= 0) {
			long waitUntil = Math.min(order.deadlineNanos(), System.nanoTime() + RENEWAL_WAIT_NANOS);
			return afterLapse(order, outcome, waitUntil);
		}
		return Promise.of(outcome);
	}

	// While the lease had run out another owner may have changed what the answer says. It
	// has not if the lease runs again and the range is held under the same fence: each
	// other owner would have had a higher one.
	private Promise<Outcome> afterLapse(Order order, Outcome answered, long waitUntilNanos) {
		OwnershipSnapshot snapshot = this.ownership.get();
		long now = System.nanoTime();
		if (snapshot.isLeaseValid(now) && heldAlone(order, snapshot)) {
			return Promise.of(answered);
		}
		if (snapshot.isLeaseValid(now) || now - waitUntilNanos >= 0) {
			return Promise.of(Outcome.failed(ErrorKind.OUTCOME_UNKNOWN, "the lease ran out while the request ran")
				.withTicket(answered.ticket()));
		}
		return Promises.delay(LOOK_AGAIN).then(() -> afterLapse(order, answered, waitUntilNanos));
	}

	private static boolean heldAlone(Order order, OwnershipSnapshot snapshot) {
		return snapshot.routes()
			.find(order.request().service(), order.request().keyHash())
			.filter((route) -> route.owner().equals(snapshot.self()) && route.fence().equals(order.held().fence()))
			.isPresent();
	}

	private static Outcome notOwner(OwnershipSnapshot snapshot, CallerRequest request) {
		Optional<Outcome.Owner> known = snapshot.routes()
			.find(request.service(), request.keyHash())
			.map((route) -> new Outcome.Owner(route.owner(), route.fence()));
		String detail = "this instance does not own this key of %s now".formatted(request.service());
		return new Outcome.Failed(new Failure(ErrorKind.NOT_OWNER, detail, RETRY_SOON), "", known, false);
	}

	/**
	 * A request that its owner lets run.
	 *
	 * @param order the order
	 * @param cancellation tells when its caller is gone
	 */
	record Admitted(Order order, Cancellation cancellation) {

	}

}
