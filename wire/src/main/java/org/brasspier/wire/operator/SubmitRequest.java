package org.brasspier.wire.operator;

import java.util.Map;

/**
 * Requests that a document takes effect. Idempotent: a repeated request with the id of an
 * accepted submission gets the same answer as the first one. Immutable and thread-safe.
 *
 * @param baseVersion the version that the draft is based on
 * @param submission a unique id of the submission
 * @param fields all values of the document by field path
 */
public record SubmitRequest(long baseVersion, String submission, Map<String, String> fields) {

	/**
	 * Checks the fields and copies collections.
	 */
	public SubmitRequest {
		fields = Map.copyOf(OperatorJson.present(fields, "fields"));
		if (!OperatorJson.present(submission, "submission").matches("[A-Za-z0-9-]{8,64}")) {
			throw new IllegalArgumentException("submission must have 8 to 64 letters, digits and hyphens");
		}
	}

}
