package org.brasspier.daemon.internal.operator;

import io.activej.http.AsyncServlet;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.RoutingServlet;
import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import org.brasspier.core.ErrorKind;
import org.brasspier.core.Failure;
import org.brasspier.core.event.EventKind;
import org.brasspier.daemon.internal.event.EventLog;
import org.brasspier.daemon.internal.platform.StoreException;

/**
 * The operator port. Without one of the operators' secrets each call is refused, but for
 * those of other daemons, which prove the shared key instead. Belongs to the thread of
 * operators.
 */
final class OperatorPort implements AsyncServlet {

	private static final String BEARER = "Bearer ";

	private final AsyncServlet calls;

	private final OperatorSecrets secrets;

	private final EventLog events;

	private OperatorPort(AsyncServlet calls, OperatorSecrets secrets, EventLog events) {
		this.calls = calls;
		this.secrets = secrets;
		this.events = events;
	}

	static OperatorPort create(NioReactor reactor, Calls calls, OperatorSecrets secrets, EventLog events) {
		RoutingServlet routes = RoutingServlet.builder(reactor)
			.with(HttpMethod.GET, "/v1/document", calls.documents()::inForce)
			.with(HttpMethod.GET, "/v1/document/history", calls.documents()::history)
			.with(HttpMethod.POST, "/v1/document/check", calls.documents()::check)
			.with(HttpMethod.POST, "/v1/document", calls.documents()::submit)
			.with(HttpMethod.GET, "/v1/status", calls.cell()::status)
			.with(HttpMethod.GET, "/v1/cell", calls.cell()::cell)
			.with(HttpMethod.GET, "/v1/owner", calls.cell()::owner)
			.with(HttpMethod.GET, "/v1/events", calls.events()::events)
			.with(HttpMethod.GET, "/v1/measures", calls.measures()::measures)
			.with(HttpMethod.POST, "/v1/drain", calls.orders()::drain)
			.with(HttpMethod.POST, "/v1/undrain", calls.orders()::undrain)
			.with(HttpMethod.POST, "/v1/move", calls.orders()::move)
			.with(HttpMethod.POST, "/v1/declare-lost", calls.orders()::declareLost)
			.with(HttpMethod.GET, "/metrics",
					(request) -> HttpResponse.ok200().withPlainText(calls.metrics().text()).toPromise())
			.with(HttpMethod.GET, PeerCalls.DOCUMENT, calls.peers().document())
			.with(HttpMethod.GET, PeerCalls.MEASURES, calls.peers().measures())
			.with("/*",
					(request) -> Promise.of(Answers.failed(Failure.of(ErrorKind.BAD_REQUEST,
							"the operator port has no %s %s (see TROUBLESHOOTING.md#bad-operator-request)"
								.formatted(request.getMethod(), request.getPath())))))
			.build();
		return new OperatorPort(routes, secrets, events);
	}

	@Override
	public Promise<HttpResponse> serve(HttpRequest request) {
		if (!provedByPeer(request) && !authorized(request)) {
			this.events.record(EventKind.OPERATOR_REFUSED, request.getPath(),
					"from " + request.getRemoteAddress().getHostAddress());
			return Promise.of(Answers.failed(Failure.of(ErrorKind.UNAUTHORIZED,
					"the operators' secret is missing or wrong (see TROUBLESHOOTING.md#operator-secret)")));
		}
		try {
			return this.calls.serve(request).then((response, ex) -> Promise.of((ex != null) ? failed(ex) : response));
		}
		catch (Exception ex) {
			return Promise.of(failed(ex));
		}
	}

	// These two calls check the shared key's proof themselves.
	private static boolean provedByPeer(HttpRequest request) {
		return request.getMethod() == HttpMethod.GET
				&& (request.getPath().equals(PeerCalls.DOCUMENT) || request.getPath().equals(PeerCalls.MEASURES));
	}

	private boolean authorized(HttpRequest request) {
		String offered = request.getHeader(HttpHeaders.AUTHORIZATION);
		return offered != null && offered.startsWith(BEARER)
				&& this.secrets.accepts(offered.substring(BEARER.length()));
	}

	private static HttpResponse failed(Exception ex) {
		return Answers.failed(switch (ex) {
			case StoreException store -> store.failure();
			case IllegalArgumentException refused ->
				Failure.of(ErrorKind.BAD_REQUEST, String.valueOf(refused.getMessage()));
			default -> Failure.of(ErrorKind.INTERNAL_ERROR, "the call failed: " + ex);
		});
	}

	/**
	 * What the port offers.
	 *
	 * @param documents the calls about the document
	 * @param cell the calls about this daemon and its cell
	 * @param orders the operators' orders
	 * @param events the calls about the time line
	 * @param measures the calls about measures
	 * @param metrics the metrics as text
	 * @param peers what other daemons ask for
	 */
	record Calls(DocumentCalls documents, CellCalls cell, OrderCalls orders, EventCalls events, MeasureCalls measures,
			MetricsText metrics, PeerCalls peers) {

	}

}
