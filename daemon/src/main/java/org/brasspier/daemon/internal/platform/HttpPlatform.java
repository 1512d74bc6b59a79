package org.brasspier.daemon.internal.platform;

import java.net.ConnectException;
import java.util.Optional;

import io.activej.http.HttpClient;
import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import org.brasspier.core.ErrorKind;
import org.brasspier.core.Failure;
import org.brasspier.daemon.internal.settings.CurrentSecrets;

/**
 * Client for the platform's table service and object store over HTTP, as described in
 * docs/API.md. Not thread-safe; confined to the thread of its HTTP client.
 */
public final class HttpPlatform implements TableService, ObjectStore {

	private static final HttpHeader VERSION = HttpHeaders.of("Version");

	private static final HttpHeader IF_VERSION = HttpHeaders.of("If-Version");

	private static final HttpHeader UNLESS_VERSION = HttpHeaders.of("Unless-Version");

	private static final int NOT_MODIFIED = 304;

	private static final int UNAUTHORIZED = 401;

	private static final int MAX_VALUE_BYTES = 4 << 20;

	private final HttpClient http;

	private final String tableUrl;

	private final String objectUrl;

	private final CurrentSecrets secrets;

	/**
	 * Creates a client.
	 * @param http the HTTP client, whose timeouts limit each request
	 * @param tableAddress the address of the table service, as IP:PORT
	 * @param objectStoreAddress the address of the object store, as IP:PORT
	 * @param secrets supplies the current bearer token for the platform
	 */
	public HttpPlatform(HttpClient http, String tableAddress, String objectStoreAddress, CurrentSecrets secrets) {
		this.http = http;
		this.tableUrl = "http://" + tableAddress + "/table/";
		this.objectUrl = "http://" + objectStoreAddress + "/objects/";
		this.secrets = secrets;
	}

	@Override
	public Promise<Optional<Row>> read(String key) {
		return call(request(HttpMethod.GET, this.tableUrl + key)).then(HttpPlatform::toRow);
	}

	@Override
	public Promise<ReadResult> readUnless(String key, long knownVersion) {
		return call(
				request(HttpMethod.GET, this.tableUrl + key).withHeader(UNLESS_VERSION, Long.toString(knownVersion)))
			.then((reply) -> (reply.code() == NOT_MODIFIED) ? Promise.of(new ReadResult.Unchanged())
					: toRow(reply).map(ReadResult.Found::new));
	}

	private static Promise<Optional<Row>> toRow(Reply reply) {
		return (reply.code() == 200) ? Promise.of(Optional.of(new Row(reply.version(), reply.body())))
				: absentOrRefused(reply);
	}

	@Override
	public Promise<WriteResult> write(String key, long expectedVersion, byte[] value) {
		HttpRequest.Builder request = request(HttpMethod.PUT, this.tableUrl + key)
			.withHeader(IF_VERSION, Long.toString(expectedVersion))
			.withBody(value);
		return send(request).then((reply, ex) -> (ex != null) ? failedWrite(ex) : toWriteResult(reply));
	}

	private static Promise<WriteResult> failedWrite(Exception ex) {
		// Only a refused connection rules out that the service received the write.
		return (ex instanceof ConnectException) ? Promise.ofException(unavailable(ex.toString()))
				: Promise.of(new WriteResult.Unknown(ex.toString()));
	}

	private static Promise<WriteResult> toWriteResult(Reply reply) {
		return switch (reply.code()) {
			case 200 -> Promise.of(new WriteResult.Written(reply.version()));
			case 412 -> Promise.of(new WriteResult.Conflict(reply.version()));
			// Throttled or unavailable: the service sends these status codes only
			// before it starts a write.
			case 429, 503 -> Promise.ofException(refusal(reply));
			default -> Promise.of(new WriteResult.Unknown("status " + reply.code()));
		};
	}

	@Override
	public Promise<Void> put(String name, byte[] body) {
		return call(request(HttpMethod.PUT, this.objectUrl + name).withBody(body))
			.then((reply) -> (reply.code() == 200) ? Promise.complete() : Promise.ofException(refusal(reply)));
	}

	@Override
	public Promise<Optional<byte[]>> get(String name) {
		return call(request(HttpMethod.GET, this.objectUrl + name))
			.then((reply) -> (reply.code() == 200) ? Promise.of(Optional.of(reply.body())) : absentOrRefused(reply));
	}

	private static <T> Promise<Optional<T>> absentOrRefused(Reply reply) {
		return (reply.code() == 404) ? Promise.of(Optional.empty()) : Promise.ofException(refusal(reply));
	}

	private HttpRequest.Builder request(HttpMethod method, String url) {
		return HttpRequest.builder(method, url);
	}

	private Promise<Reply> send(HttpRequest.Builder request) {
		String token = this.secrets.platformToken();
		return this.http.request(request.withHeader(HttpHeaders.AUTHORIZATION, "Bearer " + token).build())
			.then((response) -> readReply(response))
			.whenResult((reply) -> {
				if (reply.code() == UNAUTHORIZED) {
					this.secrets.onPlatformTokenRefused(token);
				}
			});
	}

	// Reports each failure to connect or to read a response as an unavailable store.
	// Writes of a row use send(): their outcome is unknown if the response is lost.
	private Promise<Reply> call(HttpRequest.Builder request) {
		return send(request).mapException((ex) -> (ex instanceof StoreException) ? ex : unavailable(ex.toString()));
	}

	private static Promise<Reply> readReply(HttpResponse response) {
		String version = response.getHeader(VERSION);
		return response.loadBody(MAX_VALUE_BYTES)
			.map((body) -> new Reply(response.getCode(), (version != null) ? Long.parseLong(version) : 0,
					body.getArray()));
	}

	private static StoreException refusal(Reply reply) {
		return unavailable((reply.code() == UNAUTHORIZED)
				? "it refused the token (see TROUBLESHOOTING.md#platform-token)" : "status " + reply.code());
	}

	private static StoreException unavailable(String detail) {
		return new StoreException(Failure.of(ErrorKind.STORE_UNAVAILABLE, "the platform's store failed: " + detail));
	}

	/**
	 * A complete HTTP response.
	 *
	 * @param code the status code
	 * @param version the row's version, 0 if none
	 * @param body the body
	 */
	private record Reply(int code, long version, byte[] body) {

	}

}
