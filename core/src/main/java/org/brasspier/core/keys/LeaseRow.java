package org.brasspier.core.keys;

import java.util.Optional;

import org.brasspier.core.InstanceId;

/**
 * A holder's lease as stored in the platform's store. Immutable and thread-safe.
 *
 * @param version the row's version
 * @param takenBy the instance that took the lease; empty if the holder wrote the row
 * @param deputy the process that may take the keys before the lease ends; empty if none
 */
public record LeaseRow(long version, Optional<InstanceId> takenBy, Optional<Deputy> deputy) {

	/**
	 * Returns a row written by its holder.
	 * @param version the row's version
	 * @param deputy the process that may take the keys before the lease ends
	 * @return the row
	 */
	public static LeaseRow of(long version, Optional<Deputy> deputy) {
		return new LeaseRow(version, Optional.empty(), deputy);
	}

	/**
	 * Returns whether the lease was taken and not renewed since.
	 * @return true if so
	 */
	public boolean taken() {
		return this.takenBy.isPresent();
	}

}
