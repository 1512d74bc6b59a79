package org.brasspier.wire;

/**
 * Thrown when data received from a peer is malformed or not permitted. The connection
 * must be closed.
 */
public class WireException extends Exception {

	private static final long serialVersionUID = 1;

	/**
	 * Creates an exception.
	 * @param message one sentence without secrets
	 */
	public WireException(String message) {
		super(message);
	}

	/**
	 * Creates an exception with a cause.
	 * @param message one sentence without secrets
	 * @param cause the exception of the underlying codec
	 */
	public WireException(String message, Throwable cause) {
		super(message, cause);
	}

}
