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
 * The platform over HTTP, as docs/API.md describes it. Belongs to the thread of its HTTP
 * client.
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
	 * @param http the HTTP client, whose timeouts bound each call
	 * @param tableAddress where the table service is, as IP:PORT
	 * @param storeAddress where the object store is, as IP:PORT
	 * @param secrets the platform's bearer token as it is now
	 */
	public HttpPlatform(HttpClient http, String tableAddress, String storeAddress, CurrentSecrets secrets) {
		this.http = http;
		this.tableUrl = "http://" + tableAddress + "/table/";
		this.objectUrl = "http://" + storeAddress + "/objects/";
		this.secrets = secrets;
	}

	@Override
	public Promise<Optional<Row>> read(String key) {
		return call(request(HttpMethod.GET, this.tableUrl + key)).then(HttpPlatform::row);
	}

	@Override
	public Promise<ReadResult> readUnless(String key, long known) {
		return call(request(HttpMethod.GET, this.tableUrl + key).withHeader(UNLESS_VERSION, Long.toString(known)))
			.then((answer) -> (answer.code() == NOT_MODIFIED) ? Promise.of(new ReadResult.Unchanged())
					: row(answer).map(ReadResult.Found::new));
	}

	private static Promise<Optional<Row>> row(Reply answer) {
		return (answer.code() == 200) ? Promise.of(Optional.of(new Row(answer.version(), answer.body())))
				: absent(answer);
	}

	@Override
	public Promise<WriteResult> write(String key, long expectedVersion, byte[] value) {
		HttpRequest.Builder request = request(HttpMethod.PUT, this.tableUrl + key)
			.withHeader(IF_VERSION, Long.toString(expectedVersion))
			.withBody(value);
		return send(request).then((answer, ex) -> (ex != null) ? lost(ex) : written(answer));
	}

	private static Promise<WriteResult> lost(Exception ex) {
		// A refused connection cannot have carried the write; anything else may have.
		return (ex instanceof ConnectException) ? Promise.ofException(unavailable(ex.toString()))
				: Promise.of(new WriteResult.Unknown(ex.toString()));
	}

	private static Promise<WriteResult> written(Reply answer) {
		return switch (answer.code()) {
			case 200 -> Promise.of(new WriteResult.Written(answer.version()));
			case 412 -> Promise.of(new WriteResult.Conflict(answer.version()));
			// Throttled or down: the service answers so only before it begins a write.
			case 429, 503 -> Promise.ofException(refused(answer));
			default -> Promise.of(new WriteResult.Unknown("status " + answer.code()));
		};
	}

	@Override
	public Promise<Void> put(String name, byte[] body) {
		return call(request(HttpMethod.PUT, this.objectUrl + name).withBody(body))
			.then((answer) -> (answer.code() == 200) ? Promise.complete() : Promise.ofException(refused(answer)));
	}

	@Override
	public Promise<Optional<byte[]>> get(String name) {
		return call(request(HttpMethod.GET, this.objectUrl + name))
			.then((answer) -> (answer.code() == 200) ? Promise.of(Optional.of(answer.body())) : absent(answer));
	}

	private static <T> Promise<Optional<T>> absent(Reply answer) {
		return (answer.code() == 404) ? Promise.of(Optional.empty()) : Promise.ofException(refused(answer));
	}

	private HttpRequest.Builder request(HttpMethod method, String url) {
		return HttpRequest.builder(method, url);
	}

	private Promise<Reply> send(HttpRequest.Builder request) {
		String token = this.secrets.platformToken();
		return this.http.request(request.withHeader(HttpHeaders.AUTHORIZATION, "Bearer " + token).build())
			.then((response) -> whole(response))
			.whenResult((answer) -> {
				if (answer.code() == UNAUTHORIZED) {
					this.secrets.onPlatformTokenRefused(token);
				}
			});
	}

	private Promise<Reply> call(HttpRequest.Builder request) {
		return send(request).mapException((ex) -> (ex instanceof StoreException) ? ex : unavailable(ex.toString()));
	}

	private static Promise<Reply> whole(HttpResponse response) {
		String version = response.getHeader(VERSION);
		return response.loadBody(MAX_VALUE_BYTES)
			.map((body) -> new Reply(response.getCode(), (version != null) ? Long.parseLong(version) : 0,
					body.getArray()));
	}

	private static StoreException refused(Reply answer) {
		return unavailable((answer.code() == UNAUTHORIZED)
				? "it refuses the token (see TROUBLESHOOTING.md#platform-token)" : "status " + answer.code());
	}

	private static StoreException unavailable(String detail) {
		return new StoreException(Failure.of(ErrorKind.STORE_UNAVAILABLE, "the platform's store failed: " + detail));
	}

	/**
	 * One whole HTTP answer.
	 *
	 * @param code the status
	 * @param version the row's version, 0 if none
	 * @param body the body
	 */
	private record Reply(int code, long version, byte[] body) {

	}

}
