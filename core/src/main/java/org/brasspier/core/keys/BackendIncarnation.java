package org.brasspier.core.keys;

import org.jspecify.annotations.Nullable;

/**
 * One life of a backend server, from a start to its end. A server may start again under
 * the id it had and then knows nothing of before, so the id alone doesn't tell two lives
 * apart. Immutable and thread-safe.
 *
 * @param id the backend server's id
 * @param startedMillis when it started, in milliseconds of its own time of day; 0 if it
 * doesn't say
 */
public record BackendIncarnation(String id, long startedMillis) {

	/**
	 * Checks the id.
	 * @throws IllegalArgumentException if it is empty
	 */
	public BackendIncarnation {
		if (id.isEmpty()) {
			throw new IllegalArgumentException("the id of a backend server must not be empty");
		}
	}

	@Override
	public String toString() {
		return this.id + "@" + this.startedMillis;
	}

	// Written out: generated ones go through method handles, which take milliseconds to
	// set up in a process that has just started.
	@Override
	public boolean equals(@Nullable Object other) {
		return other instanceof BackendIncarnation that && this.startedMillis == that.startedMillis
				&& this.id.equals(that.id);
	}

	@Override
	public int hashCode() {
		return 31 * this.id.hashCode() + Long.hashCode(this.startedMillis);
	}

}
