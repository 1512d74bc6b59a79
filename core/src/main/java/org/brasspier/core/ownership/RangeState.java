package org.brasspier.core.ownership;

import java.util.List;
import java.util.Optional;

import org.brasspier.core.Fence;
import org.brasspier.core.InstanceId;
import org.brasspier.core.KeyRange;
import org.brasspier.core.ServiceName;

/**
 * One range in the row of a cell. Immutable and thread-safe.
 *
 * @param service the service
 * @param range the points
 * @param owner who owns it, if anybody does
 * @param fence the version of the row at which it got its present owner
 * @param marks crashed requests that the present owner must know of
 */
public record RangeState(ServiceName service, KeyRange range, Optional<InstanceId> owner, Fence fence,
		List<CrashMark> marks) {

	/**
	 * Copies the list.
	 */
	public RangeState {
		marks = List.copyOf(marks);
	}

	/**
	 * The range as its owner holds it.
	 * @return the range with its fence
	 */
	public HeldRange held() {
		return new HeldRange(this.service, this.range, this.fence);
	}

	/**
	 * The range without an owner.
	 * @param kept the marks for the next owner
	 * @return the range; its fence stays until somebody gets it
	 */
	public RangeState unowned(List<CrashMark> kept) {
		return new RangeState(this.service, this.range, Optional.empty(), this.fence, kept);
	}

	/**
	 * The range with a new owner.
	 * @param next the new owner
	 * @param version the version of the row that gives it away
	 * @return the range
	 */
	public RangeState ownedBy(InstanceId next, long version) {
		return new RangeState(this.service, this.range, Optional.of(next), new Fence(version), this.marks);
	}

	/**
	 * The same owner and fence over other points, for splits.
	 * @param part the points
	 * @return the range
	 */
	public RangeState over(KeyRange part) {
		return new RangeState(this.service, part, this.owner, this.fence, this.marks);
	}

}
