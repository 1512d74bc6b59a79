package org.brasspier.daemon.internal.document;

import org.brasspier.core.document.Document;

/**
 * A document that an operator wants in force. Immutable and thread-safe.
 *
 * @param id an id that no other submission has; a repeated one is the same submission
 * @param baseVersion the version that its draft began from; 0 for none
 * @param document the whole document
 */
public record Submission(String id, long baseVersion, Document document) {

}
