package org.brasspier.standins;

import com.google.gson.Gson;
import com.google.gson.JsonParseException;

/**
 * The body of a stand-in server's answer. It lets a caller check that the answer is
 * complete and belongs to its request. Immutable and thread-safe.
 *
 * @param id the request's id
 * @param key the request's key, empty if none
 * @param service the service
 * @param server the server that ran the request
 * @param fence the fence it ran under
 * @param padding as many characters as the caller requested
 * @param end {@link #END}, the last field
 */
record EchoedAnswer(String id, String key, String service, String server, long fence, String padding, String end) {

	static final String END = "whole";

	private static final Gson GSON = new Gson();

	/**
	 * Whether a body is the complete answer to one request.
	 * @param body the body
	 * @param id the request's id
	 * @param key its key, empty if none
	 * @param padding number of padding characters that the caller requested
	 * @return true if it is
	 */
	static boolean isCompleteAnswer(String body, String id, String key, int padding) {
		try {
			EchoedAnswer answer = GSON.fromJson(body, EchoedAnswer.class);
			return answer != null && id.equals(answer.id) && key.equals(answer.key) && END.equals(answer.end)
					&& answer.padding.length() == padding;
		}
		catch (JsonParseException ex) {
			return false;
		}
	}

}
