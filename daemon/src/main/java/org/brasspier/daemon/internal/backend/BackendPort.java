package org.brasspier.daemon.internal.backend;

import java.nio.charset.StandardCharsets;

import com.google.gson.Gson;
import com.google.gson.JsonParseException;
import io.activej.bytebuf.ByteBuf;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import org.brasspier.core.event.EventKind;
import org.brasspier.daemon.internal.event.EventLog;

/**
 * The port on which the backend server beside this daemon announces itself. Belongs to
 * the thread of requests.
 */
public final class BackendPort implements AsyncServlet {

	private static final int MAX_BODY_BYTES = 4096;

	private static final Gson GSON = new Gson();

	private final BackendClient client;

	private final EventLog events;

	/**
	 * Creates the port's servlet.
	 * @param client told of each announcement
	 * @param events the time line
	 */
	public BackendPort(BackendClient client, EventLog events) {
		this.client = client;
		this.events = events;
	}

	@Override
	public Promise<HttpResponse> serve(HttpRequest request) {
		return request.loadBody(MAX_BODY_BYTES).then((body) -> announce(body));
	}

	private Promise<HttpResponse> announce(ByteBuf body) {
		try {
			BackendAnnouncement announcement = GSON.fromJson(body.getString(StandardCharsets.UTF_8),
					BackendAnnouncement.class);
			this.client.announce(announcement);
			this.events.record(EventKind.BACKEND_ANNOUNCED, announcement.service(), announcement.address());
			return HttpResponse.ok200().withJson("{}").toPromise();
		}
		catch (JsonParseException | IllegalArgumentException ex) {
			this.events.record(EventKind.BAD_BACKEND_INPUT, "announcement", String.valueOf(ex.getMessage()));
			return HttpResponse.ofCode(400).withPlainText(String.valueOf(ex.getMessage())).toPromise();
		}
	}

}
