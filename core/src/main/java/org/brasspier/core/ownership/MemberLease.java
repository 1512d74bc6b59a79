package org.brasspier.core.ownership;

import java.util.List;

import io.vavr.collection.SortedMap;
import io.vavr.collection.SortedSet;
import io.vavr.collection.TreeMap;
import io.vavr.collection.TreeSet;

/**
 * The holder's side: what this process may serve and until when. It holds what the newest
 * row it knows gives it, less what it has let go of, as long as its lease runs. Made for
 * a holder that is paused or cut off without knowing it: everything is measured on its
 * own clock from its own sending, so no message, however late or often it comes, makes it
 * hold anything longer than the lease managers assume. Not thread-safe; copied cheaply,
 * since its fields are numbers and persistent collections.
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
		return (valid(now)) ? this.leaseEnd - now : 0;
	}

	boolean valid(long now) {
		return now < this.leaseEnd;
	}

	/**
	 * Takes a newer row. Versions only grow, so a late or doubled one changes nothing.
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
	 * Takes a renewal.
	 * @param renewal the renewal
	 * @param now the time
	 * @return whether the lease now ends later
	 */
	boolean renew(ControlMessage.Renewal renewal, long now) {
		if (renewal.incarnation() != this.self.incarnation() && this.guards.on(Guard.INCARNATION_COUNTS)) {
			return false;
		}
		if (renewal.epoch() < epoch() && this.guards.on(Guard.OWN_EPOCH_OR_LATER)) {
			// A manager that was replaced but doesn't know it yet: its successors don't
			// wait for what it renews after this member has acknowledged them.
			return false;
		}
		if (!valid(now) && renewal.version() > this.known.version() && this.guards.on(Guard.LAPSE_DROPS_ALL)) {
			// While the lease had run out, ranges may have moved; without the row that
			// says so this member would serve what another one owns by now.
			return false;
		}
		return extend((this.guards.on(Guard.LEASE_FROM_SENDING)) ? renewal.sentAt() : now, renewal.lease(), now);
	}

	/**
	 * Extends the lease from a time of sending.
	 * @param sentAt when the heartbeat, or the read that confirmed a lone manager, left
	 * @param span how long the lease runs from then
	 * @param now the time
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
	 * Ends the lease at once, as when this process is no member any more.
	 */
	void drop() {
		this.leaseEnd = Long.MIN_VALUE;
	}

	/**
	 * What the newest known row gives this process, as long as its lease runs.
	 * @return the ranges
	 */
	List<RangeState> held() {
		if (!this.known.row().has(this.self) && this.guards.on(Guard.INCARNATION_COUNTS)) {
			return List.of();
		}
		return this.known.row()
			.ownedBy(this.self.instance())
			.stream()
			.filter((range) -> !this.draining.contains(range.held()) && !letGo(range.held()))
			.toList();
	}

	private boolean letGo(HeldRange held) {
		return this.released.containsKey(held) && this.guards.on(Guard.RELEASED_FOR_GOOD);
	}

	/**
	 * Begins to let go of ranges.
	 * @param ranges the ranges
	 * @return those that must be drained now
	 */
	List<HeldRange> drain(List<HeldRange> ranges) {
		List<HeldRange> begun = held().stream().map(RangeState::held).filter(ranges::contains).toList();
		this.draining = this.draining.addAll(begun);
		return begun;
	}

	/**
	 * Notes that nothing of a range is in flight any more.
	 * @param held the range
	 * @param marks the marks that go with it
	 */
	void drained(HeldRange held, List<CrashMark> marks) {
		if (this.draining.contains(held)) {
			this.draining = this.draining.remove(held);
			this.released = this.released.put(held, marks);
		}
	}

	/**
	 * What was let go of and is still this member's in the row.
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
