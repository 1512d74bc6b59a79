package org.brasspier.core.ownership;

import java.util.List;

import io.vavr.collection.SortedMap;
import io.vavr.collection.SortedSet;
import io.vavr.collection.TreeMap;
import io.vavr.collection.TreeSet;

/**
 * The lease of a member, which determines what this process may serve and until when. A
 * member holds the ranges that the newest row it knows assigns to it, except those it has
 * released, while its lease is valid. A holder may be paused or disconnected without
 * noticing it, so all times are measured on its own clock from its own sending: no
 * message, however late or often it arrives, makes it hold anything longer than the lease
 * managers assume. Not thread-safe; cheap to copy, since its fields are numbers and
 * persistent collections.
 */
final class MemberLease {

	private final MemberKey self;

	private final EnabledGuards guards;

	private VersionedRow known = VersionedRow.NONE;

	private long leaseEnd = Long.MIN_VALUE;

	private SortedSet<HeldRange> draining = TreeSet.empty();

	private SortedMap<HeldRange, List<CrashMark>> released = TreeMap.empty();

	MemberLease(MemberKey self, EnabledGuards guards) {
		this.self = self;
		this.guards = guards;
	}

	MemberLease copy() {
		MemberLease copy = new MemberLease(this.self, this.guards);
		copy.known = this.known;
		copy.leaseEnd = this.leaseEnd;
		copy.draining = this.draining;
		copy.released = this.released;
		return copy;
	}

	List<Object> state() {
		return List.of(this.known, this.leaseEnd, this.draining, this.released);
	}

	VersionedRow known() {
		return this.known;
	}

	long epoch() {
		return this.known.row().epoch();
	}

	long leaseEnd() {
		return this.leaseEnd;
	}

	long leaseLeft(long now) {
		return (isValid(now)) ? this.leaseEnd - now : 0;
	}

	boolean isValid(long now) {
		return now < this.leaseEnd;
	}

	/**
	 * Applies a newer row. Versions only increase, so a late or duplicate row has no
	 * effect.
	 * @param row the row
	 * @return whether it was newer
	 */
	boolean adopt(VersionedRow row) {
		if (row.version() <= this.known.version()) {
			return false;
		}
		this.known = row;
		SortedSet<HeldRange> owned = TreeSet
			.ofAll(row.row().ownedBy(this.self.instance()).stream().map(RangeState::held).toList());
		this.draining = this.draining.filter(owned::contains);
		this.released = this.released.filterKeys(owned::contains);
		return true;
	}

	/**
	 * Applies a renewal.
	 * @param renewal the renewal
	 * @param now current time, milliseconds
	 * @return whether the lease now ends later
	 */
	boolean renew(ControlMessage.Renewal renewal, long now) {
		if (renewal.incarnation() != this.self.incarnation() && this.guards.isEnabled(Guard.INCARNATION_COUNTS)) {
			return false;
		}
		if (renewal.epoch() < epoch() && this.guards.isEnabled(Guard.OWN_EPOCH_OR_LATER)) {
			// The sender is a manager that was replaced and has not noticed it yet: once
			// this member has acknowledged its successors, they do not wait for its
			// renewals to expire.
			return false;
		}
		if (!isValid(now) && renewal.version() > this.known.version() && this.guards.isEnabled(Guard.LAPSE_DROPS_ALL)) {
			// Ranges may have moved while the lease was expired. Without the row that
			// shows it, this member would serve ranges that another member owns now.
			return false;
		}
		return extend((this.guards.isEnabled(Guard.LEASE_FROM_SENDING)) ? renewal.sentAt() : now, renewal.lease(), now);
	}

	/**
	 * Extends the lease from a time of sending.
	 * @param sentAt time of sending of the heartbeat, or of the read that confirmed a
	 * lone manager
	 * @param span duration of the lease from then, milliseconds
	 * @param now current time, milliseconds
	 * @return whether the lease now ends later
	 */
	boolean extend(long sentAt, long span, long now) {
		long end = sentAt + span;
		if (span <= 0 || end <= now || end <= this.leaseEnd) {
			return false;
		}
		this.leaseEnd = end;
		return true;
	}

	/**
	 * Ends the lease immediately, for example when this process is no longer a member.
	 */
	void end() {
		this.leaseEnd = Long.MIN_VALUE;
	}

	/**
	 * Returns the ranges that the newest known row assigns to this process, while its
	 * lease is valid.
	 * @return the ranges
	 */
	List<RangeState> held() {
		if (!this.known.row().has(this.self) && this.guards.isEnabled(Guard.INCARNATION_COUNTS)) {
			return List.of();
		}
		return this.known.row()
			.ownedBy(this.self.instance())
			.stream()
			.filter((range) -> !this.draining.contains(range.held()) && !isReleased(range.held()))
			.toList();
	}

	private boolean isReleased(HeldRange held) {
		return this.released.containsKey(held) && this.guards.isEnabled(Guard.RELEASED_FOR_GOOD);
	}

	/**
	 * Starts to release ranges.
	 * @param ranges the ranges
	 * @return those that must be drained now
	 */
	List<HeldRange> startDraining(List<HeldRange> ranges) {
		List<HeldRange> started = held().stream().map(RangeState::held).filter(ranges::contains).toList();
		this.draining = this.draining.addAll(started);
		return started;
	}

	/**
	 * Records that no request for a range is in flight any longer.
	 * @param held the range
	 * @param marks the crash marks of the range
	 */
	void onDrained(HeldRange held, List<CrashMark> marks) {
		if (this.draining.contains(held)) {
			this.draining = this.draining.remove(held);
			this.released = this.released.put(held, marks);
		}
	}

	/**
	 * Returns the released ranges that the row still assigns to this member.
	 * @return the ranges with their marks
	 */
	List<ControlMessage.ReleasedRange> released() {
		return this.released.toStream()
			.map((entry) -> new ControlMessage.ReleasedRange(entry._1(), entry._2()))
			.toJavaList();
	}

	List<HeldRange> draining() {
		return this.draining.toJavaList();
	}

}
