package org.brasspier.daemon.internal.exchange;

/**
 * What a message of the backend server is for the exchange in progress. The awaited
 * answer may only follow an interim one or a late copy. Immutable and thread-safe.
 */
public sealed interface ReceivedAnswer {

	/** The awaited answer. */
	record Final() implements ReceivedAnswer {
	}

	/** An answer that announces the awaited one. */
	record Interim() implements ReceivedAnswer {
	}

	/**
	 * A further answer to a request that the connection carried before.
	 *
	 * @param id the id of that request
	 */
	record LateCopy(String id) implements ReceivedAnswer {
	}

	/**
	 * None of these, so that nothing behind it on the connection can be trusted.
	 *
	 * @param reason why
	 */
	record Refused(AnswerRefusal reason) implements ReceivedAnswer {
	}

}
