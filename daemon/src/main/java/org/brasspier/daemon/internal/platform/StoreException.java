package org.brasspier.daemon.internal.platform;

import org.brasspier.core.Failure;

/**
 * The platform's store did not do what was asked, certainly without effect.
 */
public class StoreException extends Exception {

	private static final long serialVersionUID = 1;

	private final transient Failure failure;

	/**
	 * Wraps a failure.
	 * @param failure what went wrong
	 */
	public StoreException(Failure failure) {
		super(failure.detail());
		this.failure = failure;
	}

	/**
	 * What went wrong.
	 * @return the failure
	 */
	public Failure failure() {
		return this.failure;
	}

}
