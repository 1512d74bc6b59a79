package org.brasspier.daemon.mesh;

import java.util.List;
import java.util.Optional;

import org.brasspier.core.request.HeaderField;

/**
 * An uninterpreted HTTP request. Immutable and thread-safe, as long as the body is not
 * modified.
 *
 * @param method the method
 * @param target path and query
 * @param headers header fields, in their order on the wire
 * @param body the body; empty if there is none
 */
public record RawRequest(String method, String target, List<HeaderField> headers, byte[] body) {

	/**
	 * Makes a defensive copy of the headers.
	 */
	public RawRequest {
		headers = List.copyOf(headers);
	}

	/**
	 * Returns the value of the first header field of a name.
	 * @param name the name; case is ignored
	 * @return the value; empty if there is no such field
	 */
	public Optional<String> header(String name) {
		for (HeaderField field : this.headers) {
			if (field.name().equalsIgnoreCase(name)) {
				return Optional.of(field.value());
			}
		}
		return Optional.empty();
	}

}
