package org.brasspier.core.mesh;

import org.jspecify.annotations.Nullable;

/**
 * The newest versions that a daemon has of the rows in the platform's store. All rows
 * take their versions from one counter. Immutable and thread-safe.
 *
 * @param config the newest version among the configuration's row and the changes of the
 * evacuated failure domains; 0 if none is known
 * @param mesh the newest version among the rows of instances and key maps; 0 if none is
 * known
 */
public record KnownRows(long config, long mesh) {

	/**
	 * Returns whether this daemon has a row that another daemon lacks.
	 * @param other the versions that the other daemon has
	 * @return true if one of this daemon's versions is higher
	 */
	public boolean aheadOf(KnownRows other) {
		return this.config > other.config || this.mesh > other.mesh;
	}

	// Written by hand: the generated methods use method handles, which take milliseconds
	// to set up in a process that has just started.
	@Override
	public boolean equals(@Nullable Object other) {
		return other instanceof KnownRows that && this.config == that.config && this.mesh == that.mesh;
	}

	@Override
	public int hashCode() {
		return 31 * Long.hashCode(this.config) + Long.hashCode(this.mesh);
	}

	@Override
	public String toString() {
		return "KnownRows[config=" + this.config + ", mesh=" + this.mesh + "]";
	}

}
