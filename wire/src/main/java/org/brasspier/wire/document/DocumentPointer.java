package org.brasspier.wire.document;

import java.util.List;
import java.util.Optional;

/**
 * The row that names the version of the document in force. Each write raises its version
 * by exactly one. Immutable and thread-safe.
 *
 * @param version the version in force
 * @param hash the hash under which the version is stored in the object store
 * @param recent the latest accepted submissions, newest first
 */
public record DocumentPointer(long version, String hash, List<Accepted> recent) {

	/**
	 * The number of recent submissions stored. A submitter whose answer was lost finds
	 * the outcome among them. At the planned size changes are about 15 s apart, and a
	 * submitter looks for at most a minute, so four would suffice; sixteen leave room for
	 * bursts.
	 */
	public static final int MAX_RECENT = 16;

	/**
	 * Checks the version and copies the list.
	 * @throws IllegalArgumentException if the version is below 1
	 */
	public DocumentPointer {
		if (version < 1) {
			throw new IllegalArgumentException("version %d must be at least 1".formatted(version));
		}
		recent = List.copyOf(recent);
	}

	/**
	 * Returns the version created by a submission.
	 * @param submission the submission's id
	 * @return the version, or empty if the submission is not among the recent ones
	 */
	public Optional<Accepted> find(String submission) {
		return this.recent.stream().filter((accepted) -> accepted.submission().equals(submission)).findFirst();
	}

	/**
	 * An accepted submission.
	 *
	 * @param submission the submission's id
	 * @param version the version it created
	 * @param hash the hash of that version
	 */
	public record Accepted(String submission, long version, String hash) {

	}

}
