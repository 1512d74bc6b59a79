package org.brasspier.standins;

import java.util.Optional;

import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import org.brasspier.core.KeyHash;

/**
 * An order as the daemon gave it, by its header fields. Immutable and thread-safe.
 *
 * @param id the request's id
 * @param key the request's key, empty if none
 * @param requestClass the class, in lower case
 * @param fence the fence, 0 if none was given
 * @param range the range, as {@code LOW-HIGH}
 * @param deadlineAt milliseconds since 1970 after which it must not begin or take effect;
 * 0 if none was given
 */
record Order(String id, String key, String requestClass, long fence, String range, long deadlineAt) {

	static final Order NONE = new Order("", "", "", 0, "", 0);

	static Order of(HttpRequest request) {
		return new Order(field(request, "Brasspier-Request-Id"), field(request, "Brasspier-Key"),
				field(request, "Brasspier-Class"), number(field(request, "Brasspier-Fence")),
				field(request, "Brasspier-Range"), number(field(request, "Brasspier-Deadline-At")));
	}

	private static String field(HttpRequest request, String name) {
		return Optional.ofNullable(request.getHeader(HttpHeaders.of(name))).orElse("");
	}

	private static long number(String text) {
		return (text.matches("[0-9]{1,18}")) ? Long.parseLong(text) : 0;
	}

	KeyHash point() {
		return KeyHash.of((this.key.isEmpty()) ? this.id : this.key);
	}

	boolean overdueAt(long millis) {
		return this.deadlineAt != 0 && millis > this.deadlineAt;
	}

}
