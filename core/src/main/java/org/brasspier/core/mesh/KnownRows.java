package org.brasspier.core.mesh;

import org.jspecify.annotations.Nullable;

/**
 * How much a daemon knows of what the platform's store keeps, as the newest versions of
 * the rows that it has. All rows have versions from one counter. Immutable and
 * thread-safe.
 *
 * @param config the version of the configuration's row; 0 if none is known
 * @param mesh the newest version among instances and maps of keys; 0 if none is known
 */
public record KnownRows(long config, long mesh) {

	/**
	 * Whether this daemon knows something that another one doesn't.
	 * @param other what that one knows
	 * @return true if one of the versions is higher
	 */
	public boolean aheadOf(KnownRows other) {
		return this.config > other.config || this.mesh > other.mesh;
	}

	// Written out: generated ones go through method handles, which take milliseconds to
	// set up in a process that has just started.
	@Override
	public boolean equals(@Nullable Object other) {
		return other instanceof KnownRows that && this.config == that.config && this.mesh == that.mesh;
	}

	@Override
	public int hashCode() {
		return 31 * Long.hashCode(this.config) + Long.hashCode(this.mesh);
	}

}
