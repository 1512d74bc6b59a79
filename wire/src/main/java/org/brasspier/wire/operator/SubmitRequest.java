package org.brasspier.wire.operator;

import java.util.Map;

/**
 * Asks for a document to take effect. Sent again with the same submission id it's
 * answered as the first time, if that was accepted. Immutable and thread-safe.
 *
 * @param baseVersion the version that the draft began from
 * @param submission an id that no other submission has
 * @param fields the whole document, the value at each place
 */
public record SubmitRequest(long baseVersion, String submission, Map<String, String> fields) {

	/**
	 * Checks and copies.
	 */
	public SubmitRequest {
		fields = Map.copyOf(OperatorJson.present(fields, "fields"));
		if (!OperatorJson.present(submission, "submission").matches("[A-Za-z0-9-]{8,64}")) {
			throw new IllegalArgumentException("submission must have 8 to 64 letters, digits and hyphens");
		}
	}

}
