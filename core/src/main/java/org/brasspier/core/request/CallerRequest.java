package org.brasspier.core.request;

import java.util.List;
import java.util.Optional;

import org.brasspier.core.CallerId;
import org.brasspier.core.KeyHash;
import org.brasspier.core.RequestClass;
import org.brasspier.core.RequestId;
import org.brasspier.core.ServiceName;

/**
 * One request as a caller sent it, with what brasspier needs to know of it. Immutable as
 * long as nobody writes to the body; thread-safe.
 *
 * @param service the service asked for
 * @param key the key, for services divided by key
 * @param id the identity of the request, the same on each resend
 * @param requestClass what the request is worth and whether it may run twice
 * @param caller under whose share the request counts
 * @param ticket the ticket that binds a posting to the fence it was first admitted under
 * @param remainingMillis the time until the deadline, in milliseconds, counted from when
 * this process received the request
 * @param target the HTTP method and path for the backend server
 * @param headers header fields passed through
 * @param body the body, empty if none
 */
public record CallerRequest(ServiceName service, Optional<String> key, RequestId id, RequestClass requestClass,
		CallerId caller, Optional<String> ticket, int remainingMillis, Target target, List<HeaderField> headers,
		byte[] body) {

	/**
	 * Copies the header fields.
	 */
	public CallerRequest {
		headers = List.copyOf(headers);
	}

	/**
	 * The point that decides who owns this request: that of the key, or of the request id
	 * where the service is not divided by key.
	 * @return the point
	 */
	public KeyHash hash() {
		return KeyHash.of(this.key.orElseGet(this.id::value));
	}

	/**
	 * The HTTP method and path for the backend server.
	 *
	 * @param method the method's name
	 * @param path the path with its query
	 */
	public record Target(String method, String path) {

	}

}
