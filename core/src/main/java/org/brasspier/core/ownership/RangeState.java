package org.brasspier.core.ownership;

import java.util.List;
import java.util.Optional;

import org.brasspier.core.Fence;
import org.brasspier.core.InstanceId;
import org.brasspier.core.KeyRange;
import org.brasspier.core.ServiceName;

/**
 * One range in a cell's row. Immutable and thread-safe.
 *
 * @param service the service
 * @param range the points
 * @param owner its owner, if it has one
 * @param fence the version of the row that assigned it to its current owner
 * @param marks marks of requests that were in flight when a backend server was lost, for
 * the current owner
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
	 * Returns the range as its owner holds it.
	 * @return the range with its fence
	 */
	public HeldRange held() {
		return new HeldRange(this.service, this.range, this.fence);
	}

	/**
	 * Returns the range without an owner.
	 * @param nextMarks the marks for the next owner
	 * @return the range; the fence stays until it has a new owner
	 */
	public RangeState withoutOwner(List<CrashMark> nextMarks) {
		return new RangeState(this.service, this.range, Optional.empty(), this.fence, nextMarks);
	}

	/**
	 * Returns the range with a new owner.
	 * @param next the new owner
	 * @param version the version of the row that assigns it
	 * @return the range
	 */
	public RangeState ownedBy(InstanceId next, long version) {
		return new RangeState(this.service, this.range, Optional.of(next), new Fence(version), this.marks);
	}

	/**
	 * Returns a range with the same owner and fence over other points, for splits.
	 * @param part the points
	 * @return the range
	 */
	public RangeState withRange(KeyRange part) {
		return new RangeState(this.service, part, this.owner, this.fence, this.marks);
	}

}
