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
 * Sends the daemon's own calls to the backend server: grants, cancellations and health
 * checks. Each call has a short timeout and never uses the connection of a request. Not
 * thread-safe; confined to the request thread.
 */
public final class BackendCalls {

	/**
	 * Shorter than the time a request waits for its grant, so that a repeated call is
	 * still in time.
	 */
	private static final Duration TIMEOUT = Duration.ofMillis(400);

	/**
	 * A server that is short of processor time may answer this late. If it were taken for
	 * lost, its ranges would move.
	 */
	private static final Duration PROBE_TIMEOUT = Duration.ofMillis(800);

	private static final int MAX_BODY_BYTES = 4096;

	private static final Gson GSON = new GsonBuilder()
		.setFieldNamingPolicy(FieldNamingPolicy.LOWER_CASE_WITH_UNDERSCORES)
		.create();

	private final NioReactor reactor;

	private String address = "";

	/**
	 * Creates the calls with no address yet.
	 * @param reactor the reactor of the request thread
	 */
	public BackendCalls(NioReactor reactor) {
		this.reactor = reactor;
	}

	/**
	 * Sets the address that later calls use.
	 * @param newAddress the IP number and port
	 */
	public void setAddress(String newAddress) {
		this.address = newAddress;
	}

	/**
	 * Checks the health of the backend server.
	 * @return the result of the check; never an exception
	 */
	Promise<Health> health() {
		return call(HttpRequest.get(url("/brasspier/health")).build(), PROBE_TIMEOUT).map((status) -> Health.ANSWERED,
				(ex) -> refused(ex) ? Health.REFUSED : Health.SILENT);
	}

	// Each call opens a connection of its own and closes it: a reused connection that
	// has gone silent would make a healthy server look frozen, or leave it without its
	// grants. The HTTP client checks for timeouts only once a second, so the timeout is
	// enforced here.
	private Promise<Integer> call(HttpRequest request, Duration timeout) {
		BackendConnection connection = new BackendConnection(this.reactor);
		Promise<Integer> status = connection.request(request)
			.then((response) -> response.loadBody(MAX_BODY_BYTES).map((body) -> response.getCode()));
		return Promises.timeout(timeout, status).whenComplete(connection::close);
	}

	// A refused connection means that nothing listens, so the process has ended. Any
	// other answer, even one that isn't a backend server's, shows that a process is
	// alive.
	private static boolean refused(Exception ex) {
		return ex instanceof ConnectException || ex.getCause() instanceof ConnectException;
	}

	/**
	 * Sends the complete list of grants.
	 * @param grants the grants
	 * @return whether they were acknowledged; never an exception
	 */
	Promise<Boolean> grants(GrantList grants) {
		return call(HttpRequest.put(url("/brasspier/grants")).withBody(GSON.toJson(grants)).build(), TIMEOUT)
			.map((status) -> status / 100 == 2, (ex) -> false);
	}

	/**
	 * Cancels a request on the server. The answer is ignored.
	 * @param id the id of the request
	 */
	public void cancel(RequestId id) {
		call(HttpRequest.post(url("/brasspier/cancel")).withBody(GSON.toJson(new Cancel(id.value()))).build(), TIMEOUT)
			.whenException(() -> {
				// The request ends at its own deadline.
			});
	}

	private String url(String path) {
		return "http://" + this.address + path;
	}

	/**
	 * The result of a health check.
	 */
	enum Health {

		/** The server answered. */
		ANSWERED,

		/** No answer came within the timeout. */
		SILENT,

		/** The connection was refused: nothing listens. */
		REFUSED

	}

	private record Cancel(String requestId) {

	}

}
