package org.brasspier.standins;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;

import com.google.gson.Gson;
import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import io.activej.promise.SettablePromise;

/**
 * Runs orders in a backend server's slots. An order takes effect when it ends. Its
 * deadline and its fence are checked when it begins and again when it takes effect.
 * Belongs to one thread.
 */
final class OrderRunner {

	private static final HttpHeader RAN = HttpHeaders.of("Brasspier-Ran");

	private static final HttpHeader ID = HttpHeaders.of("Brasspier-Request-Id");

	private static final HttpHeader FENCE = HttpHeaders.of("Brasspier-Fence");

	private static final int COLD_FACTOR = 3;

	private static final int CRASH_EXIT_CODE = 86;

	private static final int SHED_STATUS = 503;

	private static final int REFUSED_STATUS = 409;

	private static final Gson GSON = new Gson();

	private final BackendFlags flags;

	private final ServerHistory history;

	private final GrantTable grants;

	private final InternalCalls calls;

	private final long startedMillis = System.currentTimeMillis();

	private final Deque<SettablePromise<Void>> slotWaiters = new ArrayDeque<>();

	private final Map<String, RunningOrder> runningOrders = new HashMap<>();

	private int usedSlots;

	OrderRunner(BackendFlags flags, ServerHistory history, GrantTable grants, InternalCalls calls) {
		this.flags = flags;
		this.history = history;
		this.grants = grants;
		this.calls = calls;
	}

	int usedSlots() {
		return this.usedSlots;
	}

	Promise<HttpResponse> run(HttpRequest request) {
		Order order = Order.of(request);
		WorkPlan plan = WorkPlan.of(request);
		if (this.usedSlots >= this.flags.slots && this.slotWaiters.size() >= this.flags.maxWaiting) {
			return answerNotRun(order, SHED_STATUS, "shed");
		}
		return acquireSlot().then(() -> begin(order, plan).whenComplete(this::releaseSlot));
	}

	void cancel(String id) {
		RunningOrder run = this.runningOrders.get(id);
		if (run != null) {
			run.cancelled = true;
		}
	}

	private Promise<Void> acquireSlot() {
		if (this.usedSlots < this.flags.slots) {
			this.usedSlots++;
			return Promise.complete();
		}
		SettablePromise<Void> granted = new SettablePromise<>();
		this.slotWaiters.add(granted);
		return granted;
	}

	private void releaseSlot() {
		SettablePromise<Void> next = this.slotWaiters.poll();
		if (next == null) {
			this.usedSlots--;
		}
		else {
			next.set(null);
		}
	}

	private Promise<HttpResponse> begin(Order order, WorkPlan plan) {
		long atMicros = ServerHistory.nowMicros();
		if (mustRefuse(order, atMicros)) {
			return refuse(order, atMicros);
		}
		this.history.recordOrder(ServerRecord.Kind.BEGAN, atMicros, order, "");
		if (plan.crash()) {
			Runtime.getRuntime().halt(CRASH_EXIT_CODE);
		}
		RunningOrder run = new RunningOrder();
		this.runningOrders.put(order.id(), run);
		return this.calls.call(plan, order)
			.then(() -> Promises.delay(workMillis(order, plan)))
			.then(() -> end(order, plan, run));
	}

	private Promise<HttpResponse> end(Order order, WorkPlan plan, RunningOrder run) {
		this.runningOrders.remove(order.id(), run);
		if (run.cancelled) {
			return answerNotRun(order, SHED_STATUS, "cancelled");
		}
		long atMicros = ServerHistory.nowMicros();
		if (mustRefuse(order, atMicros)) {
			return refuse(order, atMicros);
		}
		this.history.recordOrder(ServerRecord.Kind.TOOK_EFFECT, atMicros, order, "");
		return answer(order, 200)
			.withJson(GSON.toJson(new EchoedAnswer(order.id(), order.key(), this.flags.service, this.flags.name,
					order.fence(), "x".repeat(plan.padding()), EchoedAnswer.END)))
			.toPromise();
	}

	private boolean mustRefuse(Order order, long atMicros) {
		return isPastDeadline(order, atMicros)
				|| this.flags.checksFences && !this.grants.covers(order, atMicros / 1000);
	}

	private static boolean isPastDeadline(Order order, long atMicros) {
		return order.isPastDeadline(atMicros / 1000);
	}

	private Promise<HttpResponse> refuse(Order order, long atMicros) {
		return (isPastDeadline(order, atMicros)) ? answerNotRun(order, SHED_STATUS, "past its deadline")
				: answerNotRun(order, REFUSED_STATUS, "no grant covers this fence");
	}

	private Promise<HttpResponse> answerNotRun(Order order, int status, String reason) {
		this.history.recordOrder(ServerRecord.Kind.NOT_RUN, ServerHistory.nowMicros(), order, reason);
		return answer(order, status).withHeader(RAN, "not_run").withPlainText(reason).toPromise();
	}

	private static HttpResponse.Builder answer(Order order, int status) {
		return HttpResponse.ofCode(status).withHeader(ID, order.id()).withHeader(FENCE, Long.toString(order.fence()));
	}

	private long workMillis(Order order, WorkPlan plan) {
		int meanMillis = (plan.workMillis() >= 0) ? plan.workMillis() : switch (order.requestClass()) {
			case "posting" -> this.flags.postingMillis;
			case "internal" -> this.flags.internalMillis;
			case "audit" -> this.flags.auditMillis;
			default -> this.flags.lookupMillis;
		};
		boolean cold = System.currentTimeMillis() - this.startedMillis < this.flags.coldStartMillis;
		double variedMillis = meanMillis * (1 + this.flags.spread * ThreadLocalRandom.current().nextDouble(-1, 1));
		return Math.round((cold) ? variedMillis * COLD_FACTOR : variedMillis);
	}

	/**
	 * An order that has begun and not yet ended.
	 */
	private static final class RunningOrder {

		private boolean cancelled;

	}

}
