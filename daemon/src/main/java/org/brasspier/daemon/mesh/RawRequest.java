package org.brasspier.daemon.mesh;

import java.util.List;
import java.util.Optional;

import org.brasspier.core.request.HeaderField;

/**
 * A request as it is on the wire: HTTP, with no meaning read into it. Immutable and
 * thread-safe, if nobody changes the body.
 *
 * @param method the method
 * @param target the path and query
 * @param headers the header fields, in order
 * @param body the whole body, empty if there is none
 */
public record RawRequest(String method, String target, List<HeaderField> headers, byte[] body) {

	/**
	 * Copies the list.
	 */
	public RawRequest {
		headers = List.copyOf(headers);
	}

	/**
	 * The first field of a name.
	 * @param name the name, in any case
	 * @return its value
	 */
	public Optional<String> header(String name) {
		return this.headers.stream()
			.filter((field) -> field.name().equalsIgnoreCase(name))
			.map(HeaderField::value)
			.findFirst();
	}

}
