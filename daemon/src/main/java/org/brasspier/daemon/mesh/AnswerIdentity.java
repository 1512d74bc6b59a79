package org.brasspier.daemon.mesh;

import java.util.List;

/**
 * What the head of an answer says of the request that it belongs to. Immutable and
 * thread-safe.
 *
 * @param requestIds the different ids of requests that it names, without empty ones
 * @param stamps the different stamps of servers that it bears, without empty ones
 */
public record AnswerIdentity(List<String> requestIds, List<String> stamps) {

	/**
	 * Copies the lists without repetitions and empty texts.
	 */
	public AnswerIdentity {
		requestIds = stated(requestIds);
		stamps = stated(stamps);
	}

	private static List<String> stated(List<String> texts) {
		return texts.stream().filter((text) -> !text.isBlank()).distinct().toList();
	}

	/**
	 * Returns whether the answer names nothing.
	 * @return true if it has neither an id nor a stamp
	 */
	public boolean isEmpty() {
		return this.requestIds.isEmpty() && this.stamps.isEmpty();
	}

}
