package org.brasspier.core.request;

import java.util.List;
import java.util.Optional;

import com.dynatrace.hash4j.hashing.HashStream64;
import com.dynatrace.hash4j.hashing.Hashing;
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
 * @param key the key; always present where the service is divided by key
 * @param sharded whether the service is divided by key
 * @param identity what tells this request from others
 * @param requestClass what the request is worth and whether it may run twice
 * @param caller under whose share the request counts
 * @param remainingMillis the time until the deadline, in milliseconds, counted from when
 * this process received the request
 * @param target the HTTP method and path for the backend server
 * @param headers header fields passed through
 * @param body the body, empty if none
 */
public record CallerRequest(ServiceName service, Optional<String> key, boolean sharded, RequestIdentity identity,
		RequestClass requestClass, CallerId caller, int remainingMillis, Target target, List<HeaderField> headers,
		byte[] body) {

	/**
	 * Copies the header fields.
	 * @throws IllegalArgumentException if a service divided by key lacks the key
	 */
	public CallerRequest {
		if (sharded && key.isEmpty()) {
			throw new IllegalArgumentException(
					"service %s is divided by key, and Brasspier-Key is missing (see TROUBLESHOOTING.md#bad-key)"
						.formatted(service));
		}
		headers = List.copyOf(headers);
	}

	/**
	 * The identity of the request.
	 * @return the id, the same on each resend
	 */
	public RequestId id() {
		return this.identity.id();
	}

	/**
	 * The point that decides who owns this request: that of the key, or of the request id
	 * where the service is not divided by key.
	 * @return the point
	 */
	public KeyHash keyHash() {
		return KeyHash.of((this.sharded) ? this.key.orElseThrow() : id().value());
	}

	/**
	 * A hash of what the backend server would see, to tell a resend from another request
	 * under the same id.
	 * @return 64 bits
	 */
	public long fingerprint() {
		HashStream64 hash = Hashing.komihash5_0().hashStream();
		hash.putString(this.service.value())
			.putString(this.key.orElse(""))
			.putString(this.target.method())
			.putString(this.target.path())
			.putByteArray(this.body);
		return hash.getAsLong();
	}

	/**
	 * Under what this request is counted when its backend server is lost: its id or,
	 * where that was made up and a resend has another, its contents.
	 * @return 64 bits
	 */
	public long crashFingerprint() {
		return (this.identity.generated()) ? fingerprint()
				: Hashing.komihash5_0().hashCharsToLong(this.service.value() + "/" + id().value());
	}

	/**
	 * The same request with less time left.
	 * @param millis the time until the deadline, in milliseconds
	 * @return the copy
	 */
	public CallerRequest withRemainingMillis(int millis) {
		return new CallerRequest(this.service, this.key, this.sharded, this.identity, this.requestClass, this.caller,
				millis, this.target, this.headers, this.body);
	}

	/**
	 * The same request after a send that may have run.
	 * @return the copy, which is no first send
	 */
	public CallerRequest asRetry() {
		RequestIdentity again = new RequestIdentity(this.identity.id(), this.identity.generated(), false,
				this.identity.ticket());
		return new CallerRequest(this.service, this.key, this.sharded, again, this.requestClass, this.caller,
				this.remainingMillis, this.target, this.headers, this.body);
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
