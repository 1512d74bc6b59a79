package org.brasspier.core.ownership;

import org.brasspier.core.InstanceId;

/**
 * Identifies one process of an instance. A restarted process has lost its renewals,
 * promises and requests, so it counts as a different member. Immutable and thread-safe.
 *
 * @param instance the instance
 * @param incarnation a random number generated when the process started
 */
public record MemberKey(InstanceId instance, int incarnation) implements Comparable<MemberKey> {

	@Override
	public int compareTo(MemberKey other) {
		int byInstance = this.instance.compareTo(other.instance);
		return (byInstance != 0) ? byInstance : Integer.compare(this.incarnation, other.incarnation);
	}

}
