package org.brasspier.daemon.internal.exchange;

/**
 * Why something that came on a connection to the backend server is no answer. What
 * follows it on the connection can't be trusted.
 */
public enum AnswerRefusal {

	/** It is no HTTP/1.1, or its head or framing is larger than allowed. */
	MALFORMED("is no HTTP/1.1 or too large"),
	/** It has another version of the protocol. */
	VERSION("has another version than HTTP/1.0 or HTTP/1.1"),
	/** Its status is not between 100 and 599. */
	STATUS("has a status that does not exist"),
	/** It switches protocols, which no request asks for. */
	UPGRADE("switches protocols"),
	/** It is an interim answer with an id, a stamp or a body, as only a final one has. */
	INTERIM("is an interim one with parts of a final one"),
	/** It names no request. */
	UNNAMED("names no request"),
	/** It names several requests. */
	SEVERAL_REQUESTS("names several requests"),
	/** It names a request that the connection has not carried. */
	FOREIGN("names a request that was not sent on its connection"),
	/** It is a success with no stamp of a server, or with several. */
	UNSTAMPED("is a success without one stamp of a server"),
	/** It names no request, as awaited, and is not from the server that was asked. */
	OTHER_SERVER("is not from the server that was asked");

	private final String detail;

	AnswerRefusal(String detail) {
		this.detail = detail;
	}

	/**
	 * Returns the reason as a sentence.
	 * @return the sentence
	 */
	public String sentence() {
		return "the answer " + this.detail;
	}

}
