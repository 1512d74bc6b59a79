package org.brasspier.core.ownership;

import org.brasspier.core.InstanceId;

/**
 * One process of an instance. A restarted process has forgotten what it renewed, promised
 * and ran, so it is another member. Immutable and thread-safe.
 *
 * @param instance the instance
 * @param incarnation a random number drawn when the process started
 */
public record MemberKey(InstanceId instance, int incarnation) implements Comparable<MemberKey> {

	@Override
	public int compareTo(MemberKey other) {
		int byInstance = this.instance.compareTo(other.instance);
		return (byInstance != 0) ? byInstance : Integer.compare(this.incarnation, other.incarnation);
	}

}
