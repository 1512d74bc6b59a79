package org.brasspier.core.request;

import java.util.List;

/**
 * A complete answer of a backend server. Thread-safe and immutable as long as nobody
 * writes to the body.
 *
 * @param status the HTTP status
 * @param headers the header fields that are passed through
 * @param body the complete body, empty if none
 */
public record Answer(int status, List<HeaderField> headers, byte[] body) {

	/**
	 * Copies the header fields.
	 */
	public Answer {
		headers = List.copyOf(headers);
	}

}
