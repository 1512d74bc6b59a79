package org.brasspier.daemon.internal.exchange;

import java.util.List;

import org.brasspier.core.request.Answer;
import org.brasspier.core.request.HeaderField;
import org.eclipse.jetty.http.HttpVersion;

/**
 * The head of an answer of the backend server. Immutable and thread-safe.
 *
 * @param version its version of the protocol
 * @param status its HTTP status
 * @param headers its header fields
 * @param statesBody whether it states the length or the encoding of a body
 */
public record AnswerHead(HttpVersion version, int status, List<HeaderField> headers, boolean statesBody) {

	/**
	 * Copies the header fields.
	 */
	public AnswerHead {
		headers = List.copyOf(headers);
	}

	/**
	 * Returns the answer as far as its head tells.
	 * @return the answer with an empty body
	 */
	public Answer withoutBody() {
		return new Answer(this.status, this.headers, new byte[0]);
	}

}
