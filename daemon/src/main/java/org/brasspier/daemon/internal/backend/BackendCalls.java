package org.brasspier.daemon.internal.backend;

import java.net.ConnectException;
import java.time.Duration;

import com.google.gson.FieldNamingPolicy;
import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import io.activej.http.HttpRequest;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import io.activej.reactor.nio.NioReactor;
import org.brasspier.core.RequestId;

/**
 * The daemon's own calls to the backend server, beside orders: grants, cancellations and
 * health. They never wait long and never hold an order's connection. Belongs to the
 * thread of requests.
 */
public final class BackendCalls {

	/**
	 * Shorter than an order waits for its grant, so that the call after it is in time.
	 */
	private static final Duration TIMEOUT = Duration.ofMillis(400);

	/** A starved server may answer this late; taken for lost, its ranges would move. */
	private static final Duration PROBE_TIMEOUT = Duration.ofMillis(800);

	private static final int MAX_BODY_BYTES = 4096;

	private static final Gson GSON = new GsonBuilder()
		.setFieldNamingPolicy(FieldNamingPolicy.LOWER_CASE_WITH_UNDERSCORES)
		.create();

	private final NioReactor reactor;

	private String address = "";

	/**
	 * Creates the calls for a backend server that is not known yet.
	 * @param reactor the reactor of the thread of requests
	 */
	public BackendCalls(NioReactor reactor) {
		this.reactor = reactor;
	}

	/**
	 * Calls this address from now on.
	 * @param newAddress the IP number and port
	 */
	public void setAddress(String newAddress) {
		this.address = newAddress;
	}

	/**
	 * Asks how it is.
	 * @return how that ended; never an exception
	 */
	Promise<Health> health() {
		return call(HttpRequest.get(url("/brasspier/health")).build(), PROBE_TIMEOUT).map((status) -> Health.ANSWERED,
				(ex) -> refused(ex) ? Health.REFUSED : Health.SILENT);
	}

	// Each call has a connection of its own, which ends with it: a kept one that went
	// silent would make a server look frozen that is well, or leave it without its
	// grants. The HTTP client looks for overdue calls only once a second, so the time
	// limit is kept here.
	private Promise<Integer> call(HttpRequest request, Duration timeout) {
		BackendConnection connection = new BackendConnection(this.reactor);
		Promise<Integer> status = connection.request(request)
			.then((response) -> response.loadBody(MAX_BODY_BYTES).map((body) -> response.getCode()));
		return Promises.timeout(timeout, status).whenComplete(connection::close);
	}

	// A refused connection: nobody listens, so the process is gone. A port that is not a
	// backend server's may answer with something else, which still shows life.
	private static boolean refused(Exception ex) {
		return ex instanceof ConnectException || ex.getCause() instanceof ConnectException;
	}

	/**
	 * Sends all grants.
	 * @param grants the grants
	 * @return whether they were acknowledged; never an exception
	 */
	Promise<Boolean> grants(GrantList grants) {
		return call(HttpRequest.put(url("/brasspier/grants")).withBody(GSON.toJson(grants)).build(), TIMEOUT)
			.map((status) -> status / 100 == 2, (ex) -> false);
	}

	/**
	 * Tells the server that an order need not go on. Nothing depends on its answer.
	 * @param id the order's request id
	 */
	public void cancel(RequestId id) {
		call(HttpRequest.post(url("/brasspier/cancel")).withBody(GSON.toJson(new Cancel(id.value()))).build(), TIMEOUT)
			.whenException(() -> {
				// The order's own deadline ends it.
			});
	}

	private String url(String path) {
		return "http://" + this.address + path;
	}

	/**
	 * How a question after its health ended.
	 */
	enum Health {

		/** It answered. */
		ANSWERED,

		/** Nothing came in time. */
		SILENT,

		/** Nobody listens. */
		REFUSED

	}

	private record Cancel(String requestId) {

	}

}
