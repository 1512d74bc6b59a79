package org.brasspier.core.mesh;

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

}
