package org.brasspier.core.returns;

import org.brasspier.core.ErrorKind;
import org.brasspier.core.Failure;

/**
 * Why a caller was refused for lack of capacity, as counted in the metrics.
 */
public enum RefusalCause {

	/** The backend servers of the request's own service have none. */
	OWN_CAPACITY,

	/** The backend servers that the request would call have none. */
	CALLS,

	/** The network link that would carry the answer has none. */
	LINK,

	/** The caller came back sooner than it was told. */
	EARLY_RETURN;

	/** Beginning of the detail of a refusal for lack of capacity for calls. */
	public static final String CALLS_DETAIL = "calls: ";

	/** Beginning of the detail of a refusal for lack of link capacity. */
	public static final String LINK_DETAIL = "link: ";

	/**
	 * Returns whether a failure is a refusal for lack of capacity, after which a caller
	 * may come back.
	 * @param failure the failure
	 * @return true if so
	 */
	public static boolean isForCapacity(Failure failure) {
		return failure.kind() == ErrorKind.OVERLOADED || failure.kind() == ErrorKind.NO_FREE_SLOT;
	}

	/**
	 * Determines the cause of a refusal for lack of capacity. A gate states it in the
	 * detail of the failure, because kinds of errors that a daemon of an earlier build
	 * does not know must not be sent to it.
	 * @param failure the failure
	 * @param status whether the refused request was a return
	 * @return the cause
	 */
	public static RefusalCause of(Failure failure, ReturnStatus status) {
		if (status == ReturnStatus.EARLY) {
			return EARLY_RETURN;
		}
		if (failure.detail().startsWith(CALLS_DETAIL)) {
			return CALLS;
		}
		return failure.detail().startsWith(LINK_DETAIL) ? LINK : OWN_CAPACITY;
	}

}
