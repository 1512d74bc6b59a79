package org.brasspier.core.keys;

import org.brasspier.core.InstanceId;
import org.jspecify.annotations.Nullable;

/**
 * A backend server that can hold keys now. Immutable and thread-safe.
 *
 * @param instance its instance
 * @param incarnation its incarnation
 */
public record KeyHolder(InstanceId instance, BackendIncarnation incarnation) {

	// Written by hand: the generated methods use method handles, whose setup takes
	// milliseconds in a process that has just started.
	@Override
	public boolean equals(@Nullable Object other) {
		return other instanceof KeyHolder that && this.instance.equals(that.instance)
				&& this.incarnation.equals(that.incarnation);
	}

	@Override
	public int hashCode() {
		return 31 * this.instance.hashCode() + this.incarnation.hashCode();
	}

}
