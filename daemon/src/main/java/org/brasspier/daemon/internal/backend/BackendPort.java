package org.brasspier.daemon.internal.backend;

import java.nio.charset.StandardCharsets;
import java.util.function.BooleanSupplier;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.google.gson.Gson;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import org.brasspier.core.ErrorKind;
import org.brasspier.core.event.EventKind;
import org.brasspier.daemon.internal.event.EventLog;
import org.brasspier.daemon.internal.loop.WholeBody;
import org.brasspier.daemon.internal.ownership.RequestsReport.BackendState;

/**
 * The port on which the backend server of this daemon announces itself. Not thread-safe;
 * confined to the request thread.
 */
public final class BackendPort implements AsyncServlet {

	private static final int MAX_BODY_BYTES = 4096;

	private static final Gson GSON = new Gson();

	private final BackendWatch watch;

	private final BooleanSupplier drained;

	private final EventLog events;

	private final Counter malformed;

	/**
	 * Creates the port's servlet.
	 * @param watch receives each announcement
	 * @param drained whether no range is owned and no request is in flight any more
	 * @param events the event log
	 * @param metrics counts malformed announcements
	 */
	public BackendPort(BackendWatch watch, BooleanSupplier drained, EventLog events, MetricRegistry metrics) {
		this.watch = watch;
		this.drained = drained;
		this.events = events;
		this.malformed = metrics.counter("backend.malformed");
	}

	@Override
	public Promise<HttpResponse> serve(HttpRequest request) {
		if (request.getMethod() != HttpMethod.POST || !request.getPath().equals("/v1/announce")) {
			return refuse("this port takes POST /v1/announce only");
		}
		return WholeBody.read(request, MAX_BODY_BYTES)
			.then((body) -> announce(new String(body, StandardCharsets.UTF_8)),
					(ex) -> refuse(String.valueOf(ex.getMessage())));
	}

	private Promise<HttpResponse> announce(String body) {
		try {
			BackendAnnouncement announcement = BackendAnnouncement.parse(body);
			this.watch.onAnnouncement(announcement);
			boolean mayStop = announcement.state() == BackendState.DRAINING && this.drained.getAsBoolean();
			return HttpResponse.ok200().withJson(GSON.toJson(new Accepted(true, mayStop))).toPromise();
		}
		catch (IllegalArgumentException ex) {
			return refuse(String.valueOf(ex.getMessage()));
		}
	}

	private Promise<HttpResponse> refuse(String why) {
		this.malformed.inc();
		this.events.record(EventKind.BAD_BACKEND_INPUT, "announcement", why);
		ErrorKind kind = ErrorKind.BAD_REQUEST;
		return HttpResponse.ofCode(kind.status())
			.withJson(GSON.toJson(new Refused(kind.name(), "not_run", why)))
			.toPromise();
	}

	private record Accepted(boolean accepted, boolean drained) {

	}

	private record Refused(String error, String ran, String detail) {

	}

}
