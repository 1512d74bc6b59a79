package org.brasspier.daemon.mesh;

import java.util.List;
import java.util.OptionalInt;

import com.dynatrace.hash4j.hashing.Hashing;
import org.brasspier.core.ServiceName;
import org.brasspier.core.crash.RequestFingerprint;
import org.brasspier.core.request.HeaderField;

/**
 * A decoded request of a caller. Immutable and thread-safe, as long as the body is not
 * modified.
 *
 * @param id id that the caller gave to this attempt
 * @param host host name of the request, without the port
 * @param method the method
 * @param target path and query
 * @param headers header fields that are forwarded to the backend server unchanged
 * @param body the whole body
 * @param remainingMillis time that the caller will still wait, in milliseconds
 * @param key key of the request; empty if it has none
 */
public record MeshRequest(String id, String host, String method, String target, List<HeaderField> headers, byte[] body,
		int remainingMillis, OptionalInt key) {

	/**
	 * Makes a defensive copy of the headers.
	 */
	public MeshRequest {
		headers = List.copyOf(headers);
	}

	/**
	 * Returns a copy with another remaining time.
	 * @param millis time that the caller will still wait, in milliseconds
	 * @return the copy
	 */
	public MeshRequest withRemainingMillis(int millis) {
		return new MeshRequest(this.id, this.host, this.method, this.target, this.headers, this.body, millis, this.key);
	}

	/**
	 * Returns hashes of the parts of a request that stay the same when a caller sends it
	 * again.
	 * @param caller the calling service
	 * @return the hashes
	 */
	public RequestFingerprint fingerprint(ServiceName caller) {
		return new RequestFingerprint(hash(caller.value(), this.target), hash(caller.value(), path()), untaggedHash());
	}

	private long hash(String caller, String pathOrTarget) {
		return Hashing.komihash5_0()
			.hashStream()
			.putString(caller)
			.putString(this.method)
			.putString(this.host)
			.putString(pathOrTarget)
			.putByteArray(this.body)
			.getAsLong();
	}

	private long untaggedHash() {
		return Hashing.komihash5_0()
			.hashStream()
			.putString(this.method)
			.putString(this.host)
			.putString(path())
			.putByteArray(this.body)
			.getAsLong();
	}

	/**
	 * Returns the path without the query.
	 * @return the path
	 */
	public String path() {
		int query = this.target.indexOf('?');
		return (query < 0) ? this.target : this.target.substring(0, query);
	}

}
