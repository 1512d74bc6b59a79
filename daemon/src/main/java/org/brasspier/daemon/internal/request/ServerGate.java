package org.brasspier.daemon.internal.request;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;

import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import io.activej.reactor.nio.NioReactor;
import org.brasspier.core.ErrorKind;
import org.brasspier.core.Failure;
import org.brasspier.core.ServiceName;
import org.brasspier.core.admission.AdmissionController;
import org.brasspier.core.admission.AdmissionDecision;
import org.brasspier.core.admission.AdmissionLimits;
import org.brasspier.core.admission.AdmissionSettings;
import org.brasspier.core.admission.NextRequests;
import org.brasspier.core.admission.PendingRequest;
import org.brasspier.core.admission.RefusedRequest;
import org.brasspier.core.admission.RunOutcome;
import org.brasspier.core.document.ServiceCatalog;
import org.brasspier.core.document.ServicePolicy;
import org.brasspier.core.ownership.HeldRange;
import org.brasspier.daemon.internal.backend.BackendAnnouncement;
import org.brasspier.daemon.internal.backend.BackendWatch;
import org.brasspier.daemon.internal.backend.GrantRenewal;
import org.brasspier.daemon.internal.ownership.RequestsReport.BackendState;
import org.brasspier.daemon.internal.ownership.RequestsReport.BackendStatus;

/**
 * The one gate to the backend server beside this daemon: nothing else gives it orders, so
 * its slots and connections are counted exactly. Belongs to the thread of requests.
 */
public final class ServerGate implements BackendWatch.Listener {

	/** The daemon's own calls need a connection or two of those that are announced. */
	private static final int OWN_CONNECTIONS = 2;

	private static final Duration RETRY_SOON = Duration.ofMillis(100);

	/** How often something that waits is looked at. */
	private static final Duration LOOK_AGAIN = Duration.ofMillis(5);

	/** A server that is leaving receives no new work after a few seconds. */
	private static final long LAST_WORK_NANOS = 3_000_000_000L;

	private final NioReactor reactor;

	private final BackendWatch watch;

	private final GrantRenewal grants;

	private final OrderRunner runner;

	private final AdmissionController admission = new AdmissionController(new AdmissionLimits(1, 1),
			AdmissionSettings.DEFAULT);

	private final Supplier<ServiceCatalog> catalog;

	private Optional<ServicePolicy> inForce = Optional.empty();

	private final Map<Long, Waiting> waiting = new HashMap<>();

	private long nextNumber = 1;

	private BackendState state = BackendState.STARTING;

	private long drainingSinceNanos;

	private boolean expiring;

	/**
	 * Creates a gate.
	 * @param reactor the reactor of the thread of requests
	 * @param watch what is known of the backend server
	 * @param grants its grants
	 * @param runner hands orders over
	 * @param catalog what the document in force says of services
	 */
	ServerGate(NioReactor reactor, BackendWatch watch, GrantRenewal grants, OrderRunner runner,
			Supplier<ServiceCatalog> catalog) {
		this.reactor = reactor;
		this.watch = watch;
		this.grants = grants;
		this.runner = runner;
		this.catalog = catalog;
		watch.addListener(this);
	}

	/**
	 * Runs an order on the backend server.
	 * @param order the order
	 * @param cancellation tells when its caller is gone
	 * @return its run
	 */
	OrderRun run(Order order, Cancellation cancellation) {
		Optional<BackendAnnouncement> server = this.watch.announcement()
			.filter((known) -> known.service().equals(order.request().service()));
		if (server.isEmpty() || !servable()) {
			return OrderRun.ended(noBackend("the backend server beside the owner can't serve now"));
		}
		if (server.get().checksFences() && !this.grants.isAcknowledged(order.held(), System.nanoTime())) {
			return afterGrant(order, cancellation);
		}
		return offer(order, cancellation);
	}

	// A draining server still serves what it owns while that is handed over, so that no
	// request is turned away; but not for long, also where nothing can be handed over
	// because the platform's store is down.
	private boolean servable() {
		return this.watch.state().filter((state) -> switch (state) {
			case READY -> true;
			case DRAINING -> System.nanoTime() - this.drainingSinceNanos < LAST_WORK_NANOS;
			case STARTING, LOST -> false;
		}).isPresent();
	}

	private OrderRun afterGrant(Order order, Cancellation cancellation) {
		SettablePromise<Void> over = new SettablePromise<>();
		Promise<Outcome> outcome = this.runner.acknowledged(order).then((acknowledged) -> {
			OrderRun run = acknowledged ? offer(order, cancellation)
					: OrderRun.ended(noBackend("the backend server has not acknowledged its grant"));
			run.over().whenComplete(() -> over.set(null));
			return run.outcome();
		});
		return new OrderRun(outcome, over);
	}

	/**
	 * Whether the backend server may still run orders of a range by its grants. Where a
	 * service is divided by request ids, its servers have grants of all ranges at all
	 * times, and only orders in flight count.
	 * @param held the range with its fence
	 * @return false if no grant of it is valid any more
	 */
	boolean granted(HeldRange held) {
		boolean byId = this.catalog.get().dividedByRequestId(held.service());
		boolean checksFences = this.watch.announcement().filter(BackendAnnouncement::checksFences).isPresent();
		return checksFences && !byId && !this.watch.isGone() && this.grants.remainingNanos(held, System.nanoTime()) > 0;
	}

	private void followDocument(ServiceName service) {
		Optional<ServicePolicy> policy = this.catalog.get().find(service);
		if (policy.equals(this.inForce)) {
			return;
		}
		this.inForce = policy;
		policy.ifPresent((present) -> this.admission.updateRules(
				AdmissionSettings.DEFAULT.withGuaranteedShares(present.sharePercents()), present.callerShares()));
	}

	private OrderRun offer(Order order, Cancellation cancellation) {
		followDocument(order.request().service());
		long number = this.nextNumber++;
		PendingRequest pending = new PendingRequest(number, order.request().requestClass(), order.request().caller(),
				order.deadlineNanos());
		return switch (this.admission.offer(pending, System.nanoTime())) {
			case AdmissionDecision.Run ignored -> start(number, order, cancellation);
			case AdmissionDecision.Queued queued -> {
				queued.displaced().ifPresent(this::refuse);
				yield enqueue(number, order, cancellation);
			}
			case AdmissionDecision.Refuse refuse -> {
				this.runner.refused(order);
				yield OrderRun.ended(Outcome.failed(refuse.failure()));
			}
		};
	}

	private OrderRun enqueue(long number, Order order, Cancellation cancellation) {
		Waiting queued = new Waiting(order, cancellation, new SettablePromise<>(), new SettablePromise<>());
		this.waiting.put(number, queued);
		cancellation.whenCancelled(() -> {
			if (this.admission.cancelWaiting(number)) {
				refuse(new RefusedRequest(number, Failure.of(ErrorKind.DEADLINE_PASSED, "the caller is gone")));
			}
		});
		expireSoon();
		return new OrderRun(queued.outcome, queued.over);
	}

	private OrderRun start(long number, Order order, Cancellation cancellation) {
		return this.runner.start(order, cancellation, (outcome) -> finished(number, outcome));
	}

	private void finished(long number, RunOutcome outcome) {
		carryOut(this.admission.finished(number, outcome, System.nanoTime()));
	}

	private void carryOut(NextRequests next) {
		next.refused().forEach(this::refuse);
		next.run().forEach((number) -> {
			Waiting queued = this.waiting.remove(number);
			if (queued == null) {
				finished(number, RunOutcome.NOT_STARTED);
				return;
			}
			OrderRun run = start(number, queued.order, queued.cancellation);
			run.outcome().whenResult(queued.outcome::trySet);
			run.over().whenComplete(() -> queued.over.trySet(null));
		});
	}

	private void refuse(RefusedRequest refused) {
		Waiting queued = this.waiting.remove(refused.id());
		if (queued != null) {
			queued.outcome.trySet(Outcome.failed(refused.failure()));
			queued.over.trySet(null);
		}
	}

	// Looks every few milliseconds for what can no longer make its deadline, as long as
	// anything waits.
	private void expireSoon() {
		if (this.expiring) {
			return;
		}
		this.expiring = true;
		this.reactor.delay(LOOK_AGAIN, () -> {
			this.expiring = false;
			carryOut(this.admission.advance(System.nanoTime()));
			if (this.admission.waiting() > 0) {
				expireSoon();
			}
		});
	}

	@Override
	public void onStatusChanged(BackendStatus status) {
		if (status.state() == BackendState.DRAINING && this.state != BackendState.DRAINING) {
			this.drainingSinceNanos = System.nanoTime();
		}
		this.state = status.state();
		this.admission
			.updateLimits(new AdmissionLimits(status.slots(), Math.max(1, status.connections() - OWN_CONNECTIONS)));
		if (status.state() == BackendState.LOST) {
			this.grants.forgetAcknowledged();
			List<RefusedRequest> refused = this.admission
				.refuseWaiting(new Failure(ErrorKind.NO_BACKEND, "the backend server is lost", RETRY_SOON));
			refused.forEach(this::refuse);
			this.runner.serverLost();
		}
	}

	/**
	 * How many orders the backend server is at.
	 * @return at least 0
	 */
	public int running() {
		return this.admission.running();
	}

	/**
	 * How many orders wait for a slot.
	 * @return at least 0
	 */
	public int waiting() {
		return this.admission.waiting();
	}

	GateView view() {
		return GateView.of(this.admission::running, this.admission::waiting);
	}

	static Outcome noBackend(String detail) {
		return Outcome.failed(new Failure(ErrorKind.NO_BACKEND, detail, RETRY_SOON));
	}

	private record Waiting(Order order, Cancellation cancellation, SettablePromise<Outcome> outcome,
			SettablePromise<Void> over) {

	}

}
