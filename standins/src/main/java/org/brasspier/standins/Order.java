package org.brasspier.standins;

import java.util.Optional;

import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import org.brasspier.core.KeyHash;

/**
 * An order as received from the daemon, read from its header fields. Immutable and
 * thread-safe.
 *
 * @param id the request's id
 * @param key the request's key, empty if none
 * @param requestClass the class, in lower case
 * @param fence the fence, 0 if none was given
 * @param range the range, as {@code LOW-HIGH}
 * @param deadlineMillis milliseconds since 1970 after which it must not begin or take
 * effect; 0 if none was given
 */
record Order(String id, String key, String requestClass, long fence, String range, long deadlineMillis) {

	static final Order NONE = new Order("", "", "", 0, "", 0);

	static Order of(HttpRequest request) {
		return new Order(header(request, "Brasspier-Request-Id"), header(request, "Brasspier-Key"),
				header(request, "Brasspier-Class"), parseNumber(header(request, "Brasspier-Fence")),
				header(request, "Brasspier-Range"), parseNumber(header(request, "Brasspier-Deadline-At")));
	}

	private static String header(HttpRequest request, String name) {
		return Optional.ofNullable(request.getHeader(HttpHeaders.of(name))).orElse("");
	}

	private static long parseNumber(String text) {
		return (text.matches("[0-9]{1,18}")) ? Long.parseLong(text) : 0;
	}

	KeyHash point() {
		return KeyHash.of((this.key.isEmpty()) ? this.id : this.key);
	}

	boolean isPastDeadline(long millis) {
		return this.deadlineMillis != 0 && millis > this.deadlineMillis;
	}

}
