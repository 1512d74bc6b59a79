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
 * Hands orders that have a slot to the backend server. Belongs to the thread of requests.
 */
final class OrderRunner {

	/** A server that is lost this soon after a connection broke broke it by its end. */
	private static final long SAME_LOSS_NANOS = 1_000_000_000;

	private static final int MAX_BREAKS = 64;

	/** A silent call of grants ends sooner than this, and the next one is answered. */
	private static final long GRANT_WAIT_NANOS = 500_000_000;

	private static final Duration LOOK_AGAIN = Duration.ofMillis(5);

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

	private final Deque<Break> breaks = new ArrayDeque<>();

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

	// Hands an order over and tells once when its slot is free again.
	OrderRun start(Order order, Cancellation cancellation, Consumer<RunOutcome> slotFree) {
		long now = System.nanoTime();
		Outcome refusal = refusal(order, cancellation, now);
		if (refusal != null) {
			// The slot may only be taken back after the caller has taken note of it.
			this.reactor.post(() -> slotFree.accept(RunOutcome.NOT_STARTED));
			return OrderRun.ended(refusal);
		}
		this.watch.announcement().ifPresent((known) -> this.client.setAddress(known.address()));
		boolean checksFences = this.watch.announcement().filter((known) -> known.checksFences()).isPresent();
		RunningOrder started = new RunningOrder(this, order, checksFences, slotFree);
		this.running.add(started);
		started.begin(now);
		cancellation.whenCancelled(started::callerGone);
		return new OrderRun(started.outcome(), started.over());
	}

	// The last check before the order leaves: a pause while it waited may have cost the
	// lease, and then another owner may already be at work.
	private static @Nullable Outcome refusal(Order order, Cancellation cancellation, long nowNanos) {
		if (cancellation.cancelled()) {
			return Outcome.failed(ErrorKind.DEADLINE_PASSED, "the caller is gone");
		}
		if (order.deadlineNanos() - nowNanos <= 0) {
			return Outcome.failed(ErrorKind.DEADLINE_PASSED, "the deadline passed while the request waited");
		}
		if (order.leaseEndNanos().getAsLong() - nowNanos <= 0) {
			return Outcome.failed(new Failure(ErrorKind.NO_OWNER, "the owner's lease ran out", Duration.ofMillis(100)));
		}
		return null;
	}

	// Waits until the server has acknowledged the order's grant, and tells whether it
	// has.
	Promise<Boolean> acknowledged(Order order) {
		return acknowledged(order, Math.min(order.deadlineNanos(), System.nanoTime() + GRANT_WAIT_NANOS));
	}

	private Promise<Boolean> acknowledged(Order order, long giveUpNanos) {
		long now = System.nanoTime();
		if (this.grants.isAcknowledged(order.held(), now) || now - giveUpNanos >= 0) {
			return Promise.of(now - giveUpNanos < 0);
		}
		return Promises.delay(LOOK_AGAIN).then(() -> acknowledged(order, giveUpNanos));
	}

	void ended(RunningOrder running, Order order, long busyNanos) {
		this.running.remove(running);
		this.loads.ran(order.request(), busyNanos);
	}

	void refused(Order order) {
		this.loads.refused(order.request());
	}

	// Frozen or gone: nothing more comes of what it was at.
	void serverLost() {
		this.client.closeIdleConnections();
		List.copyOf(this.running).forEach((order) -> order.abandon("the backend server is lost"));
		long now = System.nanoTime();
		this.breaks.stream()
			.filter((broken) -> now - broken.atNanos < SAME_LOSS_NANOS)
			.forEach((broken) -> this.suspects.accept(broken.request));
		this.breaks.clear();
	}

	// The connection broke, yet the server still answered; it may be on its way down.
	void broke(Order order) {
		if (this.breaks.size() == MAX_BREAKS) {
			this.breaks.removeFirst();
		}
		this.breaks.addLast(new Break(order.request(), System.nanoTime()));
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

	private record Break(CallerRequest request, long atNanos) {

	}

}
