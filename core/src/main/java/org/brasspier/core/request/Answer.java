package org.brasspier.core.request;

import java.util.List;

/**
 * A backend server's whole answer. Immutable as long as nobody writes to the body;
 * thread-safe.
 *
 * @param status the HTTP status
 * @param headers header fields passed through
 * @param body the whole body, empty if none
 */
public record Answer(int status, List<HeaderField> headers, byte[] body) {

	/**
	 * Copies the header fields.
	 */
	public Answer {
		headers = List.copyOf(headers);
	}

}
