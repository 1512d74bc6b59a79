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
 * Admits requests on behalf of the owner of their key: runs a request if this instance
 * holds its key hash, runs a posting at most once, and relays the answer only if the
 * lease was valid throughout. Not thread-safe; used in the request thread only.
 */
public final class OwnerGate {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private static final Duration RETRY_AFTER = Duration.ofMillis(100);

	/**
	 * How long an answer waits for the renewal of an expired lease. Shorter than a usual
	 * deadline, so that the caller is told in time and gets the answer by a retry.
	 */
	private static final long RENEWAL_WAIT_NANOS = 1_000_000_000;

	private static final Duration POLL_INTERVAL = Duration.ofMillis(5);

	private final Supplier<OwnershipSnapshot> ownership;

	private final PostingExecutor postings;

	private final SuspectRequests suspects;

	private final InFlightRequests inFlight;

	private final Function<Admitted, OrderRun> servers;

	private final EventLog events;

	private final LeaseContinuity continuity = new LeaseContinuity(System.nanoTime());

	private Promise<Void> lastSuspectTurn = Promise.complete();

	/**
	 * Creates a gate.
	 * @param ownership the ranges that this instance currently holds
	 * @param postings runs postings at most once
	 * @param suspects the requests suspected of crashing backend servers
	 * @param inFlight the requests that this instance has admitted
	 * @param servers runs an admitted request on a backend server
	 * @param events the event log
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
	 * @param cancellation notified when the caller disconnects
	 * @return the outcome; never completes exceptionally
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
			this.events.record(EventKind.REQUEST_KEPT_AWAY, request, "it was running when backend servers were lost");
			return Promise.of(Outcome.failed(ErrorKind.CRASHED_BACKENDS,
					"backend servers were lost each time they ran this request"));
		}
		Admitted admitted = new Admitted(order(request, held, leaseRun, now), cancellation);
		return execute(admitted, now).then((outcome) -> relay(admitted.order(), leaseRun, outcome));
	}

	private Order order(CallerRequest request, HeldRange held, long leaseRun, long receivedNanos) {
		long deadline = receivedNanos + request.remainingMillis() * NANOS_PER_MILLI;
		return new Order(request, held, deadline, () -> leaseEnd(leaseRun));
	}

	// The answer to a posting is recorded even if it may not be relayed now: a retry
	// under the same fence gets it.
	private Promise<Outcome> execute(Admitted admitted, long nowNanos) {
		CallerRequest request = admitted.order().request();
		HeldRange held = admitted.order().held();
		if (request.requestClass() == RequestClass.POSTING) {
			return this.postings.admit(request, held, nowNanos, () -> runInTurn(admitted));
		}
		return runInTurn(admitted).map((outcome) -> this.postings.withTicket(outcome, held));
	}

	/**
	 * Updates the lease period. Must be called every few milliseconds.
	 */
	void updateLease() {
		this.continuity.update(this.ownership.get(), System.nanoTime());
	}

	// Suspect requests run one at a time, concurrently with any others. So harmless
	// ones, which are cleared when they succeed, are not running when the request that
	// caused the first crash causes the second.
	private Promise<Outcome> runInTurn(Admitted admitted) {
		CallerRequest request = admitted.order().request();
		if (!this.suspects.isSuspect(request)) {
			return dispatch(admitted);
		}
		SettablePromise<Void> next = new SettablePromise<>();
		Promise<Void> before = this.lastSuspectTurn;
		this.lastSuspectTurn = next;
		return before
			.then(() -> this.suspects.isBlocked(request) ? Promise.of(Outcome.failed(ErrorKind.CRASHED_BACKENDS,
					"one more backend server was lost while it ran the request")) : dispatch(admitted))
			.whenComplete(() -> next.set(null));
	}

	private Promise<Outcome> dispatch(Admitted admitted) {
		CallerRequest request = admitted.order().request();
		InFlightRequests.Entry entry = this.inFlight.begin(request.service(), request.keyHash(),
				admitted.order().held().fence());
		OrderRun run = this.servers.apply(admitted);
		run.settled().whenComplete(() -> this.inFlight.end(entry));
		return run.outcome().whenResult((outcome) -> updateSuspects(request, outcome));
	}

	private void updateSuspects(CallerRequest request, Outcome outcome) {
		switch (outcome) {
			case Outcome.Answered answered -> this.suspects.recordAnswer(request, answered.answer().status());
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

	// While the lease was expired, another owner may have changed the data in the
	// answer. That is ruled out if the lease is valid again and the range is held under
	// the same fence, because any other owner would have had a higher fence.
	private Promise<Outcome> afterLapse(Order order, Outcome answered, long waitUntilNanos) {
		OwnershipSnapshot snapshot = this.ownership.get();
		long now = System.nanoTime();
		if (snapshot.isLeaseValid(now) && heldUnderSameFence(order, snapshot)) {
			return Promise.of(answered);
		}
		if (snapshot.isLeaseValid(now) || now - waitUntilNanos >= 0) {
			return Promise.of(Outcome.failed(ErrorKind.OUTCOME_UNKNOWN, "the lease ran out while the request ran")
				.withTicket(answered.ticket()));
		}
		return Promises.delay(POLL_INTERVAL).then(() -> afterLapse(order, answered, waitUntilNanos));
	}

	private static boolean heldUnderSameFence(Order order, OwnershipSnapshot snapshot) {
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
		return new Outcome.Failed(new Failure(ErrorKind.NOT_OWNER, detail, RETRY_AFTER), "", known, false);
	}

	/**
	 * A request that its owner has admitted.
	 *
	 * @param order the order
	 * @param cancellation notified when the caller disconnects
	 */
	record Admitted(Order order, Cancellation cancellation) {

	}

}
