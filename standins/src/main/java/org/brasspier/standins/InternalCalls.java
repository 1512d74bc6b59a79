package org.brasspier.standins;

import io.activej.http.HttpClient;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.promise.Promise;

/**
 * The calls that a backend server makes to other services while it runs an order, through
 * the daemon beside it. Belongs to one thread.
 */
final class InternalCalls {

	private static final int DEADLINE_MILLIS = 1000;

	private final HttpClient http;

	private final String callerPort;

	/**
	 * Creates a client for internal calls.
	 * @param http the HTTP client
	 * @param callerPort the IP:PORT of the daemon's caller port, empty if no calls are
	 * made
	 */
	InternalCalls(HttpClient http, String callerPort) {
		this.http = http;
		this.callerPort = callerPort;
	}

	/**
	 * Makes the internal call of a work plan, if it has one.
	 * @param plan the plan
	 * @param order the order that is running
	 * @return completes when the call has ended, whether it succeeded or failed
	 */
	Promise<Void> call(WorkPlan plan, Order order) {
		int colon = plan.internalCall().indexOf(':');
		if (colon < 0 || this.callerPort.isEmpty()) {
			return Promise.complete();
		}
		HttpRequest request = HttpRequest
			.get("http://" + this.callerPort + "/v1/" + plan.internalCall().substring(0, colon) + "/asked")
			.withHeader(HttpHeaders.of("Brasspier-Key"), plan.internalCall().substring(colon + 1))
			.withHeader(HttpHeaders.of("Brasspier-Request-Id"), order.id() + "/asked")
			.withHeader(HttpHeaders.of("Brasspier-Class"), "internal")
			.withHeader(HttpHeaders.of("Brasspier-Caller"), "standin")
			.withHeader(HttpHeaders.of("Brasspier-Deadline-Millis"), Integer.toString(DEADLINE_MILLIS))
			.build();
		return this.http.request(request)
			.then((response) -> response.loadBody())
			.then((body, ex) -> Promise.complete());
	}

}
