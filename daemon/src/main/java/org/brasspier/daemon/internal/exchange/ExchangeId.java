package org.brasspier.daemon.internal.exchange;

/**
 * Identifies a request on a connection to the backend server. Immutable and thread-safe.
 *
 * @param connection number of the connection, from 1 in each process
 * @param number number of the exchange on the connection, from 1; 0 before the first
 * @param request id of the request, or its target if it has none; empty before the first
 */
public record ExchangeId(long connection, long number, String request) {

	/**
	 * Checks the values.
	 */
	public ExchangeId {
		if (connection < 1 || number < 0) {
			throw new IllegalArgumentException("no exchange %d of a connection %d".formatted(number, connection));
		}
	}

	/**
	 * Returns the connection and no exchange of it.
	 * @param connection number of the connection
	 * @return the id
	 */
	public static ExchangeId opened(long connection) {
		return new ExchangeId(connection, 0, "");
	}

	/**
	 * Returns the exchange that follows this one on its connection.
	 * @param nextRequest id of its request
	 * @return the id
	 */
	public ExchangeId next(String nextRequest) {
		return new ExchangeId(this.connection, this.number + 1, nextRequest);
	}

}
