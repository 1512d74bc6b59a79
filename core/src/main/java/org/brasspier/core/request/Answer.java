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

	/** The lowest status of a final answer. */
	public static final int FIRST_FINAL_STATUS = 200;

	/** The lowest number that is no status any more. */
	public static final int STATUS_END = 600;

	/**
	 * Copies the header fields.
	 */
	public Answer {
		headers = List.copyOf(headers);
	}

	/**
	 * Returns whether a status is that of a final answer.
	 * @param status the status
	 * @return true from 200 to 599
	 */
	public static boolean isFinal(int status) {
		return status >= FIRST_FINAL_STATUS && status < STATUS_END;
	}

}
