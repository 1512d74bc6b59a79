package org.brasspier.wire;

/**
 * Bytes that a peer sent make no sense. The connection they came over must be closed.
 */
public class WireException extends Exception {

	private static final long serialVersionUID = 1;

	/**
	 * Says what is wrong.
	 * @param message one sentence without secrets
	 */
	public WireException(String message) {
		super(message);
	}

	/**
	 * Says what is wrong and why.
	 * @param message one sentence without secrets
	 * @param cause what the codec reported
	 */
	public WireException(String message, Throwable cause) {
		super(message, cause);
	}

}
