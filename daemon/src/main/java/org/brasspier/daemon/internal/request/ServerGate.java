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
 * Admission control in front of this instance's backend server. All orders to the server
 * pass through this gate, so its slots and connections are counted exactly. Not
 * thread-safe; used in the request thread only.
 */
public final class ServerGate implements BackendWatch.Listener {

	/**
	 * Announced connections reserved for the daemon's own calls, which need up to two.
	 */
	private static final int RESERVED_CONNECTIONS = 2;

	private static final Duration RETRY_AFTER = Duration.ofMillis(100);

	/** Interval of the check of waiting requests. */
	private static final Duration POLL_INTERVAL = Duration.ofMillis(5);

	/** A draining server receives no new orders after this time. */
	private static final long DRAINING_WORK_NANOS = 3_000_000_000L;

	private final NioReactor reactor;

	private final BackendWatch watch;

	private final GrantRenewal grants;

	private final OrderRunner runner;

	private final AdmissionController admission = new AdmissionController(new AdmissionLimits(1, 1),
			AdmissionSettings.DEFAULT);

	private final Supplier<ServiceCatalog> catalog;

	private Optional<ServicePolicy> policyInForce = Optional.empty();

	private final Map<Long, Waiting> waiting = new HashMap<>();

	private long nextNumber = 1;

	private BackendState state = BackendState.STARTING;

	private long drainingSinceNanos;

	private boolean expiryScheduled;

	/**
	 * Creates a gate.
	 * @param reactor the reactor of the request thread
	 * @param watch the state of the backend server
	 * @param grants the grants of the backend server
	 * @param runner sends orders to the backend server
	 * @param catalog the services of the configuration document in force
	 */
	ServerGate(NioReactor reactor, BackendWatch watch, GrantRenewal grants, OrderRunner runner,
			Supplier<ServiceCatalog> catalog) {
		this.reactor = reactor;
		this.watch = watch;
		this.grants = grants;
		this.runner = runner;
		this.catalog = catalog;
		watch.listen(this);
	}

	/**
	 * Runs an order on the backend server.
	 * @param order the order
	 * @param cancellation notified when the caller disconnects
	 * @return the execution of the order
	 */
	OrderRun run(Order order, Cancellation cancellation) {
		Optional<BackendAnnouncement> server = this.watch.announcement()
			.filter((known) -> known.service().equals(order.request().service()));
		if (server.isEmpty() || !isAvailable()) {
			return OrderRun.completed(noBackend("the owner's backend server is not available"));
		}
		if (server.get().checksFences() && !this.grants.acknowledged(order.held(), System.nanoTime())) {
			return afterGrant(order, cancellation);
		}
		return offer(order, cancellation);
	}

	// A draining server still serves its ranges during their handover, so that no
	// request is refused. The time is limited even if no handover is possible because
	// the platform's store is unavailable.
	private boolean isAvailable() {
		return this.watch.state().filter((state) -> switch (state) {
			case READY -> true;
			case DRAINING -> System.nanoTime() - this.drainingSinceNanos < DRAINING_WORK_NANOS;
			case STARTING, LOST -> false;
		}).isPresent();
	}

	private OrderRun afterGrant(Order order, Cancellation cancellation) {
		SettablePromise<Void> settled = new SettablePromise<>();
		Promise<Outcome> outcome = this.runner.awaitGrant(order).then((acknowledged) -> {
			OrderRun run = acknowledged ? offer(order, cancellation)
					: OrderRun.completed(noBackend("the backend server has not acknowledged its grant"));
			run.settled().whenComplete(() -> settled.set(null));
			return run.outcome();
		});
		return new OrderRun(outcome, settled);
	}

	/**
	 * Returns whether a grant still allows the backend server to run orders of a range.
	 * If a service is divided by request id, its servers always have grants of all
	 * ranges, so only orders in flight count.
	 * @param held the range with its fence
	 * @return false if no grant of the range is valid
	 */
	boolean hasGrant(HeldRange held) {
		boolean byId = this.catalog.get().isShardedByRequestId(held.service());
		boolean checksFences = this.watch.announcement().filter(BackendAnnouncement::checksFences).isPresent();
		return checksFences && !byId && !this.watch.gone() && this.grants.remainingNanos(held, System.nanoTime()) > 0;
	}

	private void updatePolicy(ServiceName service) {
		Optional<ServicePolicy> policy = this.catalog.get().find(service);
		if (policy.equals(this.policyInForce)) {
			return;
		}
		this.policyInForce = policy;
		policy.ifPresent((present) -> this.admission.updateRules(
				AdmissionSettings.DEFAULT.withGuaranteedShares(present.sharePercents()), present.callerShares()));
	}

	private OrderRun offer(Order order, Cancellation cancellation) {
		updatePolicy(order.request().service());
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
				this.runner.onRefused(order);
				yield OrderRun.completed(Outcome.failed(refuse.failure()));
			}
		};
	}

	private OrderRun enqueue(long number, Order order, Cancellation cancellation) {
		Waiting queued = new Waiting(order, cancellation, new SettablePromise<>(), new SettablePromise<>());
		this.waiting.put(number, queued);
		cancellation.addCancelListener(() -> {
			if (this.admission.cancelWaiting(number)) {
				refuse(new RefusedRequest(number, Failure.of(ErrorKind.DEADLINE_PASSED, "the caller is gone")));
			}
		});
		scheduleExpiry();
		return new OrderRun(queued.outcome, queued.settled);
	}

	private OrderRun start(long number, Order order, Cancellation cancellation) {
		return this.runner.start(order, cancellation, (outcome) -> finished(number, outcome));
	}

	private void finished(long number, RunOutcome outcome) {
		applyNext(this.admission.finished(number, outcome, System.nanoTime()));
	}

	private void applyNext(NextRequests next) {
		next.refused().forEach(this::refuse);
		next.run().forEach((number) -> {
			Waiting queued = this.waiting.remove(number);
			if (queued == null) {
				finished(number, RunOutcome.NOT_STARTED);
				return;
			}
			OrderRun run = start(number, queued.order, queued.cancellation);
			run.outcome().whenResult(queued.outcome::trySet);
			run.settled().whenComplete(() -> queued.settled.trySet(null));
		});
	}

	private void refuse(RefusedRequest refused) {
		Waiting queued = this.waiting.remove(refused.id());
		if (queued != null) {
			queued.outcome.trySet(Outcome.failed(refused.failure()));
			queued.settled.trySet(null);
		}
	}

	// While any request waits, refuses those that can no longer meet their deadline.
	private void scheduleExpiry() {
		if (this.expiryScheduled) {
			return;
		}
		this.expiryScheduled = true;
		this.reactor.delay(POLL_INTERVAL, () -> {
			this.expiryScheduled = false;
			applyNext(this.admission.advance(System.nanoTime()));
			if (this.admission.waiting() > 0) {
				scheduleExpiry();
			}
		});
	}

	@Override
	public void changed(BackendStatus status) {
		if (status.state() == BackendState.DRAINING && this.state != BackendState.DRAINING) {
			this.drainingSinceNanos = System.nanoTime();
		}
		this.state = status.state();
		this.admission.updateLimits(
				new AdmissionLimits(status.slots(), Math.max(1, status.connections() - RESERVED_CONNECTIONS)));
		if (status.state() == BackendState.LOST) {
			this.grants.forget();
			List<RefusedRequest> refused = this.admission
				.refuseWaiting(new Failure(ErrorKind.NO_BACKEND, "the backend server is lost", RETRY_AFTER));
			refused.forEach(this::refuse);
			this.runner.onServerLost();
		}
	}

	/**
	 * Returns the number of orders that the backend server is running.
	 * @return at least 0
	 */
	public int running() {
		return this.admission.running();
	}

	/**
	 * Returns the number of orders that wait for a slot.
	 * @return at least 0
	 */
	public int waiting() {
		return this.admission.waiting();
	}

	GateView view() {
		return GateView.of(this.admission::running, this.admission::waiting);
	}

	static Outcome noBackend(String detail) {
		return Outcome.failed(new Failure(ErrorKind.NO_BACKEND, detail, RETRY_AFTER));
	}

	private record Waiting(Order order, Cancellation cancellation, SettablePromise<Outcome> outcome,
			SettablePromise<Void> settled) {

	}

}
