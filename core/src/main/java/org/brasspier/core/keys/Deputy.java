package org.brasspier.core.keys;

import org.brasspier.core.InstanceId;
import org.jspecify.annotations.Nullable;

/**
 * A process that may take over the keys of a holder that names it, before that holder's
 * whole lease ends. A restarted process has lost its predecessor's promises, so it is a
 * different deputy. Immutable and thread-safe.
 *
 * @param instance the instance of the process
 * @param process random number that the process chose at startup
 */
public record Deputy(InstanceId instance, long process) {

	// Written by hand: the generated methods use method handles, whose setup takes
	// milliseconds in a process that has just started.
	@Override
	public boolean equals(@Nullable Object other) {
		return other instanceof Deputy that && this.process == that.process && this.instance.equals(that.instance);
	}

	@Override
	public int hashCode() {
		return 31 * this.instance.hashCode() + Long.hashCode(this.process);
	}

}
