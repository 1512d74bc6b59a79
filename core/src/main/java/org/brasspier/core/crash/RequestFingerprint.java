package org.brasspier.core.crash;

/**
 * Hashes of what stays the same when a caller sends a request again under another id.
 * Crashes are counted under two of them, since the query may or may not matter: a server
 * may crash whatever the query is, and a request with another query may be harmless.
 * Immutable and thread-safe.
 *
 * @param exact hash of calling service, method, host, path, query and body
 * @param resource the same without the query
 * @param untagged hash of method, host, path and body, by which earlier builds identify
 * requests
 */
public record RequestFingerprint(long exact, long resource, long untagged) {

	@Override
	public String toString() {
		return Long.toHexString(this.resource) + "/" + Long.toHexString(this.exact);
	}

}
