package org.brasspier.core.keys;

import org.jspecify.annotations.Nullable;

/**
 * One incarnation of a backend server, from its start to its end. A server may restart
 * under the same id without any state of the previous run, so the id alone doesn't
 * identify an incarnation. Immutable and thread-safe.
 *
 * @param id the backend server's id
 * @param startedMillis the start time, in milliseconds by the server's own wall clock; 0
 * if it is not reported
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

	// Written by hand: the generated methods use method handles, whose setup takes
	// milliseconds in a process that has just started.
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
