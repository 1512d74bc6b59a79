package org.brasspier.core.keys;

import java.util.Optional;

import org.brasspier.core.InstanceId;

/**
 * A holder's lease as the platform's store shows it. Immutable and thread-safe.
 *
 * @param version the row's version
 * @param takenBy who took the lease away; empty if its holder wrote the row
 * @param deputy who may take the keys early; empty if nobody may
 */
public record LeaseRow(long version, Optional<InstanceId> takenBy, Optional<Deputy> deputy) {

	/**
	 * A row that its holder wrote.
	 * @param version the row's version
	 * @param deputy who may take the keys early
	 * @return the row
	 */
	public static LeaseRow of(long version, Optional<Deputy> deputy) {
		return new LeaseRow(version, Optional.empty(), deputy);
	}

	/**
	 * Whether the lease was taken away and not renewed since.
	 * @return true if so
	 */
	public boolean taken() {
		return this.takenBy.isPresent();
	}

}
