package org.brasspier.core.ownership;

import org.brasspier.core.Fence;
import org.brasspier.core.KeyRange;
import org.brasspier.core.ServiceName;

/**
 * A range of a service as its owner holds it. Immutable and thread-safe.
 *
 * @param service the service
 * @param range the points
 * @param fence the fence under which the owner holds it
 */
public record HeldRange(ServiceName service, KeyRange range, Fence fence) implements Comparable<HeldRange> {

	@Override
	public int compareTo(HeldRange other) {
		int byService = this.service.compareTo(other.service);
		int byRange = (byService != 0) ? byService : this.range.compareTo(other.range);
		return (byRange != 0) ? byRange : this.fence.compareTo(other.fence);
	}

}
