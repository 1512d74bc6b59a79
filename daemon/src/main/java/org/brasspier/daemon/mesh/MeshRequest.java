package org.brasspier.daemon.mesh;

import java.util.List;
import java.util.OptionalInt;

import com.dynatrace.hash4j.hashing.Hashing;
import org.brasspier.core.request.HeaderField;

/**
 * A caller's request, read. Immutable and thread-safe, if nobody changes the body.
 *
 * @param id the id that the caller gave to this attempt
 * @param host the host that it names, without a port
 * @param method the method
 * @param target the path and query
 * @param headers the header fields that go to the backend server as they are
 * @param body the whole body
 * @param remainingMillis how long the caller will wait from now
 * @param key the key that it is about; empty if it names none
 */
public record MeshRequest(String id, String host, String method, String target, List<HeaderField> headers, byte[] body,
		int remainingMillis, OptionalInt key) {

	/**
	 * Copies the list.
	 */
	public MeshRequest {
		headers = List.copyOf(headers);
	}

	/**
	 * The same request with another time left.
	 * @param millis how long the caller will wait from now
	 * @return the request
	 */
	public MeshRequest withRemainingMillis(int millis) {
		return new MeshRequest(this.id, this.host, this.method, this.target, this.headers, this.body, millis, this.key);
	}

	/**
	 * A hash of what stays the same when a caller sends a request again.
	 * @return 64 bits
	 */
	public long fingerprint() {
		return Hashing.komihash5_0()
			.hashStream()
			.putString(this.method)
			.putString(this.host)
			.putString(path())
			.putByteArray(this.body)
			.getAsLong();
	}

	/**
	 * The path without the query.
	 * @return the path
	 */
	public String path() {
		int query = this.target.indexOf('?');
		return (query < 0) ? this.target : this.target.substring(0, query);
	}

}
