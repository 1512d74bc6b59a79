package org.brasspier.core.keys;

import org.brasspier.core.InstanceId;
import org.jspecify.annotations.Nullable;

/**
 * One process of an instance that may take the keys of a holder which names it, without
 * waiting for the end of that holder's whole lease. A process that starts anew has
 * forgotten what its predecessor promised, so it is another deputy. Immutable and
 * thread-safe.
 *
 * @param instance the instance
 * @param process the number that the process drew when it started
 */
public record Deputy(InstanceId instance, long process) {

	// Written out: generated ones go through method handles, which take milliseconds to
	// set up in a process that has just started.
	@Override
	public boolean equals(@Nullable Object other) {
		return other instanceof Deputy that && this.process == that.process && this.instance.equals(that.instance);
	}

	@Override
	public int hashCode() {
		return 31 * this.instance.hashCode() + Long.hashCode(this.process);
	}

}
