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
 * A request of a caller, with the properties that brasspier needs. Thread-safe and
 * immutable as long as nobody writes to the body.
 *
 * @param service the requested service
 * @param key the key; always present if the service is divided by key
 * @param sharded whether the service is divided by key
 * @param identity distinguishes this request from others
 * @param requestClass the request's priority class, and whether it may run twice
 * @param caller the caller whose share the request counts against
 * @param remainingMillis the time until the deadline, in milliseconds, measured from when
 * this process received the request
 * @param target the HTTP method and path for the backend server
 * @param headers the header fields that are passed through
 * @param body the body, empty if none
 */
public record CallerRequest(ServiceName service, Optional<String> key, boolean sharded, RequestIdentity identity,
		RequestClass requestClass, CallerId caller, int remainingMillis, Target target, List<HeaderField> headers,
		byte[] body) {

	/**
	 * Copies the header fields.
	 * @throws IllegalArgumentException if the service is divided by key and the key is
	 * missing
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
	 * Returns the request id.
	 * @return the id, the same for each retry
	 */
	public RequestId id() {
		return this.identity.id();
	}

	/**
	 * Returns the point that determines the owner of this request: that of the key, or of
	 * the request id if the service is not divided by key.
	 * @return the point
	 */
	public KeyHash keyHash() {
		return KeyHash.of((this.sharded) ? this.key.orElseThrow() : id().value());
	}

	/**
	 * Returns a hash of the contents that the backend server gets, which distinguishes a
	 * retry from another request under the same id.
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
	 * Returns the hash under which losses of backend servers are counted for this
	 * request. It is a hash of the request's id, or of its contents if the id was
	 * generated, because a retry then has another id.
	 * @return 64 bits
	 */
	public long crashFingerprint() {
		return (this.identity.generated()) ? fingerprint()
				: Hashing.komihash5_0().hashCharsToLong(this.service.value() + "/" + id().value());
	}

	/**
	 * Returns a copy with another remaining time.
	 * @param millis the time until the deadline, in milliseconds
	 * @return the copy
	 */
	public CallerRequest withRemainingMillis(int millis) {
		return new CallerRequest(this.service, this.key, this.sharded, this.identity, this.requestClass, this.caller,
				millis, this.target, this.headers, this.body);
	}

	/**
	 * Returns a copy to be sent after a send that may have run.
	 * @return the copy, which is not marked as the first attempt
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
