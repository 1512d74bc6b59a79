package org.brasspier.daemon.internal.document;

import org.brasspier.core.document.Document;

/**
 * A document that an operator submits to put it into force. Immutable and thread-safe.
 *
 * @param id the unique id of the submission; a submission with a known id is a retry
 * @param baseVersion the version that the draft is based on; 0 for none
 * @param document the complete document
 */
public record Submission(String id, long baseVersion, Document document) {

}
