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
 * Runs orders in a backend server's slots. An order takes effect at its end; whether it
 * may is checked when it begins and again at that moment. Belongs to one thread.
 */
final class OrderRunner {

	private static final HttpHeader RAN = HttpHeaders.of("Brasspier-Ran");

	private static final HttpHeader ID = HttpHeaders.of("Brasspier-Request-Id");

	private static final HttpHeader FENCE = HttpHeaders.of("Brasspier-Fence");

	private static final int COLD_FACTOR = 3;

	private static final int CRASH_STATUS = 86;

	private static final int SHED = 503;

	private static final int REFUSED = 409;

	private static final Gson GSON = new Gson();

	private final BackendFlags flags;

	private final ServerHistory history;

	private final GrantTable grants;

	private final InternalCalls calls;

	private final long startedMillis = System.currentTimeMillis();

	private final Deque<SettablePromise<Void>> waiting = new ArrayDeque<>();

	private final Map<String, Running> running = new HashMap<>();

	private int taken;

	OrderRunner(BackendFlags flags, ServerHistory history, GrantTable grants, InternalCalls calls) {
		this.flags = flags;
		this.history = history;
		this.grants = grants;
		this.calls = calls;
	}

	int running() {
		return this.taken;
	}

	Promise<HttpResponse> run(HttpRequest request) {
		Order order = Order.of(request);
		WorkPlan plan = WorkPlan.of(request);
		if (this.taken >= this.flags.slots && this.waiting.size() >= this.flags.waiting) {
			return notRun(order, SHED, "shed");
		}
		return slot().then(() -> begin(order, plan).whenComplete(this::release));
	}

	void cancel(String id) {
		Running run = this.running.get(id);
		if (run != null) {
			run.cancelled = true;
		}
	}

	private Promise<Void> slot() {
		if (this.taken < this.flags.slots) {
			this.taken++;
			return Promise.complete();
		}
		SettablePromise<Void> turn = new SettablePromise<>();
		this.waiting.add(turn);
		return turn;
	}

	private void release() {
		SettablePromise<Void> next = this.waiting.poll();
		if (next == null) {
			this.taken--;
		}
		else {
			next.set(null);
		}
	}

	private Promise<HttpResponse> begin(Order order, WorkPlan plan) {
		long atMicros = ServerHistory.nowMicros();
		if (mayNot(order, atMicros)) {
			return refused(order, atMicros);
		}
		this.history.order(ServerRecord.Kind.BEGAN, atMicros, order, "");
		if (plan.crash()) {
			Runtime.getRuntime().halt(CRASH_STATUS);
		}
		Running run = new Running();
		this.running.put(order.id(), run);
		return this.calls.ask(plan, order)
			.then(() -> Promises.delay(workMillis(order, plan)))
			.then(() -> end(order, plan, run));
	}

	private Promise<HttpResponse> end(Order order, WorkPlan plan, Running run) {
		this.running.remove(order.id(), run);
		if (run.cancelled) {
			return notRun(order, SHED, "cancelled");
		}
		long atMicros = ServerHistory.nowMicros();
		if (mayNot(order, atMicros)) {
			return refused(order, atMicros);
		}
		this.history.order(ServerRecord.Kind.TOOK_EFFECT, atMicros, order, "");
		return answer(order, 200)
			.withJson(GSON.toJson(new EchoedAnswer(order.id(), order.key(), this.flags.service, this.flags.name,
					order.fence(), "x".repeat(plan.padding()), EchoedAnswer.END)))
			.toPromise();
	}

	private boolean mayNot(Order order, long atMicros) {
		return overdue(order, atMicros) || this.flags.checksFences && !this.grants.covers(order, atMicros / 1000);
	}

	private static boolean overdue(Order order, long atMicros) {
		return order.overdueAt(atMicros / 1000);
	}

	private Promise<HttpResponse> refused(Order order, long atMicros) {
		return (overdue(order, atMicros)) ? notRun(order, SHED, "past its deadline")
				: notRun(order, REFUSED, "no grant covers this fence");
	}

	private Promise<HttpResponse> notRun(Order order, int status, String why) {
		this.history.order(ServerRecord.Kind.NOT_RUN, ServerHistory.nowMicros(), order, why);
		return answer(order, status).withHeader(RAN, "not_run").withPlainText(why).toPromise();
	}

	private static HttpResponse.Builder answer(Order order, int status) {
		return HttpResponse.ofCode(status).withHeader(ID, order.id()).withHeader(FENCE, Long.toString(order.fence()));
	}

	private long workMillis(Order order, WorkPlan plan) {
		int mean = (plan.workMillis() >= 0) ? plan.workMillis() : switch (order.requestClass()) {
			case "posting" -> this.flags.postingMillis;
			case "internal" -> this.flags.internalMillis;
			case "audit" -> this.flags.auditMillis;
			default -> this.flags.lookupMillis;
		};
		boolean cold = System.currentTimeMillis() - this.startedMillis < this.flags.coldStartMillis;
		double varied = mean * (1 + this.flags.spread * ThreadLocalRandom.current().nextDouble(-1, 1));
		return Math.round((cold) ? varied * COLD_FACTOR : varied);
	}

	/**
	 * An order that has begun.
	 */
	private static final class Running {

		private boolean cancelled;

	}

}
