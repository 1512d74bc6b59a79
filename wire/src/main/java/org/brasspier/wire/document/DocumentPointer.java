package org.brasspier.wire.document;

import java.util.List;
import java.util.Optional;

/**
 * The row that says which version of the document is in force. It's only ever replaced by
 * one whose version is one higher. Immutable and thread-safe.
 *
 * @param version the version in force
 * @param hash the hash that names its body in the object store
 * @param recent the latest accepted submissions, newest first
 */
public record DocumentPointer(long version, String hash, List<Accepted> recent) {

	/**
	 * A submission whose answer was lost is settled by finding it here. Changes come
	 * about 15 s apart at the size to come and settling gives up after a minute, so four
	 * would do; sixteen leave room for bursts.
	 */
	public static final int MAX_RECENT = 16;

	/**
	 * Checks and copies.
	 * @throws IllegalArgumentException if the version is below 1
	 */
	public DocumentPointer {
		if (version < 1) {
			throw new IllegalArgumentException("version %d must be at least 1".formatted(version));
		}
		recent = List.copyOf(recent);
	}

	/**
	 * The version that a submission brought.
	 * @param submission the submission's id
	 * @return empty if it's not among the latest accepted ones
	 */
	public Optional<Accepted> find(String submission) {
		return this.recent.stream().filter((accepted) -> accepted.submission().equals(submission)).findFirst();
	}

	/**
	 * An accepted submission.
	 *
	 * @param submission the submission's id
	 * @param version the version it brought
	 * @param hash the hash of that version
	 */
	public record Accepted(String submission, long version, String hash) {

	}

}
