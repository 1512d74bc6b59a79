package org.brasspier.daemon.internal.request;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

import io.activej.promise.Promise;
import io.activej.promise.Promises;
import io.activej.reactor.nio.NioReactor;
import org.brasspier.core.ErrorKind;
import org.brasspier.core.Failure;
import org.brasspier.core.admission.RunOutcome;
import org.brasspier.core.event.EventKind;
import org.brasspier.core.request.CallerRequest;
import org.brasspier.daemon.internal.backend.BackendCalls;
import org.brasspier.daemon.internal.backend.BackendClient;
import org.brasspier.daemon.internal.backend.BackendWatch;
import org.brasspier.daemon.internal.backend.GrantRenewal;
import org.brasspier.daemon.internal.event.EventLog;
import org.jspecify.annotations.Nullable;

/**
 * Sends orders that have a slot to the backend server. Not thread-safe; used in the
 * request thread only.
 */
final class OrderRunner {

	/**
	 * If the server is lost within this time after a connection broke, the connection
	 * broke because the server ended.
	 */
	private static final long SAME_LOSS_NANOS = 1_000_000_000;

	private static final int MAX_CONNECTION_LOSSES = 64;

	/** Longer than the timeout of a grant call, so that the next call can be answered. */
	private static final long GRANT_WAIT_NANOS = 500_000_000;

	private static final Duration POLL_INTERVAL = Duration.ofMillis(5);

	private final NioReactor reactor;

	private final BackendClient client;

	private final BackendCalls calls;

	private final BackendWatch watch;

	private final GrantRenewal grants;

	private final EventLog events;

	private final GuardTimes guards;

	private final LoadReports loads;

	private final Consumer<CallerRequest> suspects;

	private final Set<RunningOrder> running = new HashSet<>();

	private final Deque<ConnectionLoss> connectionLosses = new ArrayDeque<>();

	OrderRunner(NioReactor reactor, BackendClient client, BackendCalls calls, BackendWatch watch, GrantRenewal grants,
			EventLog events, GuardTimes guards, LoadReports loads, Consumer<CallerRequest> suspects) {
		this.reactor = reactor;
		this.client = client;
		this.calls = calls;
		this.watch = watch;
		this.grants = grants;
		this.events = events;
		this.guards = guards;
		this.loads = loads;
		this.suspects = suspects;
	}

	// Sends an order and reports, exactly once, when its slot is free again.
	OrderRun start(Order order, Cancellation cancellation, Consumer<RunOutcome> slotFree) {
		long now = System.nanoTime();
		Outcome refusal = refusal(order, cancellation, now);
		if (refusal != null) {
			// Posted, so that the slot is released only after this method has returned.
			this.reactor.post(() -> slotFree.accept(RunOutcome.NOT_STARTED));
			return OrderRun.completed(refusal);
		}
		this.watch.announcement().ifPresent((known) -> this.client.setAddress(known.address()));
		boolean checksFences = this.watch.announcement().filter((known) -> known.checksFences()).isPresent();
		RunningOrder started = new RunningOrder(this, order, checksFences, slotFree);
		this.running.add(started);
		started.begin(now);
		cancellation.addCancelListener(started::onCallerGone);
		return new OrderRun(started.outcome(), started.settled());
	}

	// The last check before the order is sent: the lease may have expired during a
	// pause while the order was queued, and another owner may already be active.
	private static @Nullable Outcome refusal(Order order, Cancellation cancellation, long nowNanos) {
		if (cancellation.isCancelled()) {
			return Outcome.failed(ErrorKind.DEADLINE_PASSED, "the caller is gone");
		}
		if (order.deadlineNanos() - nowNanos <= 0) {
			return Outcome.failed(ErrorKind.DEADLINE_PASSED, "the deadline passed while the request was queued");
		}
		if (order.leaseEndNanos().getAsLong() - nowNanos <= 0) {
			return Outcome
				.failed(new Failure(ErrorKind.NO_OWNER, "the owner's lease has expired", Duration.ofMillis(100)));
		}
		return null;
	}

	// Waits for the server to acknowledge the grant of the order. Completes with false
	// on a timeout.
	Promise<Boolean> awaitGrant(Order order) {
		return awaitGrant(order, Math.min(order.deadlineNanos(), System.nanoTime() + GRANT_WAIT_NANOS));
	}

	private Promise<Boolean> awaitGrant(Order order, long giveUpNanos) {
		long now = System.nanoTime();
		if (this.grants.isAcknowledged(order.held(), now) || now - giveUpNanos >= 0) {
			return Promise.of(now - giveUpNanos < 0);
		}
		return Promises.delay(POLL_INTERVAL).then(() -> awaitGrant(order, giveUpNanos));
	}

	void onEnded(RunningOrder running, Order order, long busyNanos) {
		this.running.remove(running);
		this.loads.recordRun(order.request(), busyNanos);
	}

	void onRefused(Order order) {
		this.loads.recordRefused(order.request());
	}

	// The server is paused or has ended: no order that it runs will be answered.
	void onServerLost() {
		this.client.closeIdleConnections();
		List.copyOf(this.running).forEach((order) -> order.abandon("the backend server is lost"));
		long now = System.nanoTime();
		this.connectionLosses.stream()
			.filter((loss) -> now - loss.atNanos < SAME_LOSS_NANOS)
			.forEach((loss) -> this.suspects.accept(loss.request));
		this.connectionLosses.clear();
	}

	// The connection broke although the server still answers a probe; it may be about
	// to end.
	void onConnectionLost(Order order) {
		if (this.connectionLosses.size() == MAX_CONNECTION_LOSSES) {
			this.connectionLosses.removeFirst();
		}
		this.connectionLosses.addLast(new ConnectionLoss(order.request(), System.nanoTime()));
	}

	NioReactor reactor() {
		return this.reactor;
	}

	BackendClient client() {
		return this.client;
	}

	BackendCalls calls() {
		return this.calls;
	}

	BackendWatch watch() {
		return this.watch;
	}

	GrantRenewal grants() {
		return this.grants;
	}

	GuardTimes guards() {
		return this.guards;
	}

	void record(EventKind kind, Order order, String detail) {
		this.events.record(kind, order.request(), detail);
	}

	private record ConnectionLoss(CallerRequest request, long atNanos) {

	}

}
