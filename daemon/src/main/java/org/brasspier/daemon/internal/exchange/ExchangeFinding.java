package org.brasspier.daemon.internal.exchange;

import java.util.Optional;

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
	 * An answer to another request came while this one was in progress.
	 *
	 * @param exchange the exchange in progress
	 * @param status HTTP status of the answer
	 * @param answeredId the id in the answer; empty if it has none
	 * @param start the first bytes of the answer
	 */
	record AnswerSkipped(ExchangeId exchange, int status, Optional<String> answeredId,
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
