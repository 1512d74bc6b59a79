package org.brasspier.daemon.internal.exchange;

/**
 * An irregularity on a connection to the backend server. Immutable and thread-safe.
 */
public sealed interface ExchangeFinding {

	/**
	 * Returns where it was found.
	 * @return the exchange
	 */
	ExchangeId exchange();

	/**
	 * A further answer to a request that the connection carried before came while this
	 * one was in progress.
	 *
	 * @param exchange the exchange in progress
	 * @param status HTTP status of the answer
	 * @param answeredId the id in the answer
	 * @param start the first bytes of the answer
	 */
	record AnswerSkipped(ExchangeId exchange, int status, String answeredId, String start) implements ExchangeFinding {
	}

	/**
	 * Something came that is no answer, and the exchange and its connection have ended.
	 *
	 * @param exchange the exchange that was in progress
	 * @param status HTTP status; 0 if none was read
	 * @param reason why it is none
	 * @param start the first bytes received
	 */
	record AnswerRefused(ExchangeId exchange, int status, AnswerRefusal reason,
			String start) implements ExchangeFinding {
	}

	/**
	 * An interim answer came, after which the exchange goes on.
	 *
	 * @param exchange the exchange in progress
	 * @param status HTTP status of the answer
	 * @param start the first bytes of the answer
	 */
	record InterimAnswer(ExchangeId exchange, int status, String start) implements ExchangeFinding {
	}

	/**
	 * An exchange was completed by an answer that was not the first one to arrive in it.
	 *
	 * @param exchange the exchange
	 * @param status HTTP status of the answer taken
	 * @param passedOver how many answers had come before it
	 */
	record LaterAnswerTaken(ExchangeId exchange, int status, int passedOver) implements ExchangeFinding {
	}

	/**
	 * Bytes came behind an answer while no request was in progress, so the connection was
	 * closed.
	 *
	 * @param exchange the latest exchange
	 * @param bytes how many bytes came at once
	 */
	record BytesBehindAnswer(ExchangeId exchange, int bytes) implements ExchangeFinding {
	}

	/**
	 * A request is to be sent whose id an open connection has, or may have, carried
	 * before; it goes on another one.
	 *
	 * @param exchange the latest exchange of that connection
	 * @param request id of the request
	 */
	record IdRepeated(ExchangeId exchange, String request) implements ExchangeFinding {
	}

}
