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
 * Routes the requests to the operator port. Each request must have one of the operators'
 * secrets, except those of other daemons, which prove that they have the shared key. Not
 * thread-safe; confined to the operators thread.
 */
final class OperatorPort implements AsyncServlet {

	private static final String BEARER = "Bearer ";

	private final AsyncServlet routes;

	private final OperatorSecrets secrets;

	private final EventLog events;

	private OperatorPort(AsyncServlet routes, OperatorSecrets secrets, EventLog events) {
		this.routes = routes;
		this.secrets = secrets;
		this.events = events;
	}

	static OperatorPort create(NioReactor reactor, Handlers handlers, OperatorSecrets secrets, EventLog events) {
		RoutingServlet routes = RoutingServlet.builder(reactor)
			.with(HttpMethod.GET, "/v1/document", handlers.documents()::inForce)
			.with(HttpMethod.GET, "/v1/document/history", handlers.documents()::history)
			.with(HttpMethod.POST, "/v1/document/check", handlers.documents()::check)
			.with(HttpMethod.POST, "/v1/document", handlers.documents()::submit)
			.with(HttpMethod.GET, "/v1/status", handlers.cell()::status)
			.with(HttpMethod.GET, "/v1/cell", handlers.cell()::cell)
			.with(HttpMethod.GET, "/v1/owner", handlers.cell()::owner)
			.with(HttpMethod.GET, "/v1/events", handlers.events()::events)
			.with(HttpMethod.GET, "/v1/measures", handlers.measures()::measures)
			.with(HttpMethod.POST, "/v1/drain", handlers.orders()::drain)
			.with(HttpMethod.POST, "/v1/undrain", handlers.orders()::undrain)
			.with(HttpMethod.POST, "/v1/move", handlers.orders()::move)
			.with(HttpMethod.POST, "/v1/declare-lost", handlers.orders()::declareLost)
			.with(HttpMethod.GET, "/metrics",
					(request) -> HttpResponse.ok200().withPlainText(handlers.metrics().text()).toPromise())
			.with(HttpMethod.GET, PeerRequestHandler.DOCUMENT_PATH, handlers.peers().document())
			.with(HttpMethod.GET, PeerRequestHandler.MEASURES_PATH, handlers.peers().measures())
			.with("/*",
					(request) -> Promise.of(JsonResponses.error(Failure.of(ErrorKind.BAD_REQUEST,
							"the operator port has no %s %s (see TROUBLESHOOTING.md#bad-operator-request)"
								.formatted(request.getMethod(), request.getPath())))))
			.build();
		return new OperatorPort(routes, secrets, events);
	}

	@Override
	public Promise<HttpResponse> serve(HttpRequest request) {
		if (!isPeerRequest(request) && !isAuthorized(request)) {
			this.events.record(EventKind.OPERATOR_REFUSED, request.getPath(),
					"from " + request.getRemoteAddress().getHostAddress());
			return Promise.of(JsonResponses.error(Failure.of(ErrorKind.UNAUTHORIZED,
					"the operators' secret is missing or wrong (see TROUBLESHOOTING.md#operator-secret)")));
		}
		try {
			return this.routes.serve(request)
				.then((response, ex) -> Promise.of((ex != null) ? errorResponse(ex) : response));
		}
		catch (Exception ex) {
			return Promise.of(errorResponse(ex));
		}
	}

	// The handlers of these two paths verify the proof of the shared key themselves.
	private static boolean isPeerRequest(HttpRequest request) {
		return request.getMethod() == HttpMethod.GET && (request.getPath().equals(PeerRequestHandler.DOCUMENT_PATH)
				|| request.getPath().equals(PeerRequestHandler.MEASURES_PATH));
	}

	private boolean isAuthorized(HttpRequest request) {
		String header = request.getHeader(HttpHeaders.AUTHORIZATION);
		return header != null && header.startsWith(BEARER) && this.secrets.accepts(header.substring(BEARER.length()));
	}

	private static HttpResponse errorResponse(Exception ex) {
		return JsonResponses.error(switch (ex) {
			case StoreException storeException -> storeException.failure();
			case IllegalArgumentException invalidRequest ->
				Failure.of(ErrorKind.BAD_REQUEST, String.valueOf(invalidRequest.getMessage()));
			default -> Failure.of(ErrorKind.INTERNAL_ERROR, "the request failed: " + ex);
		});
	}

	/**
	 * The handlers of all requests.
	 *
	 * @param documents handles requests for the configuration document
	 * @param cell handles requests for the state of this daemon and its cell
	 * @param orders handles the operators' orders
	 * @param events handles requests for the event log
	 * @param measures handles requests for the measures
	 * @param metrics writes the metrics as text
	 * @param peers handles the requests of other daemons
	 */
	record Handlers(DocumentRequestHandler documents, CellRequestHandler cell, OrderRequestHandler orders,
			EventRequestHandler events, MeasureRequestHandler measures, MetricsText metrics, PeerRequestHandler peers) {

	}

}
