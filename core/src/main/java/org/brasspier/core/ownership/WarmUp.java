package org.brasspier.core.ownership;

import io.vavr.collection.SortedMap;
import io.vavr.collection.SortedSet;
import io.vavr.collection.TreeMap;
import io.vavr.collection.TreeSet;

/**
 * Tracks the share of its capacity that each member may be given. A new member is slow at
 * first, so its share grows with time. Not thread-safe; cheap to copy.
 */
final class WarmUp {

	/**
	 * Minimum time for which a process counts as new: its daemon starts with cold code
	 * and no open connections, whatever cold start its backend server announces.
	 */
	private static final int NEW_PROCESS_MILLIS = 5000;

	/** Initial share, large enough that some requests reach the new member. */
	private static final double MIN_SHARE = 0.1;

	private SortedMap<MemberKey, Long> activeSince = TreeMap.empty();

	private SortedSet<MemberKey> warmMembers = TreeSet.empty();

	WarmUp copy() {
		WarmUp copy = new WarmUp();
		copy.activeSince = this.activeSince;
		copy.warmMembers = this.warmMembers;
		return copy;
	}

	/**
	 * Updates the members. Members that already own ranges count as warm in every row up
	 * to the first one with an active member. An epoch change has no effect: managers
	 * often change because an instance is being replaced, and the replacement started
	 * just before is still new then.
	 * @param row the newest row
	 * @param now current time, milliseconds
	 */
	void adopt(CellRow row, long now) {
		if (this.activeSince.isEmpty()) {
			this.warmMembers = TreeSet.ofAll(row.members()
				.stream()
				.filter((member) -> !row.ownedBy(member.instance()).isEmpty())
				.map(MemberInfo::key)
				.toList());
		}
		row.members()
			.stream()
			.filter((member) -> member.phase() == MemberPhase.ACTIVE && !this.activeSince.containsKey(member.key()))
			.forEach((member) -> this.activeSince = this.activeSince.put(member.key(), now));
		this.activeSince = this.activeSince.filterKeys(row::has);
		this.warmMembers = this.warmMembers.filter(row::has);
	}

	/**
	 * Returns the share of its capacity that a member may be given.
	 * @param member the member
	 * @param now current time, milliseconds
	 * @return the share, more than 0 and at most 1
	 */
	double share(MemberInfo member, long now) {
		if (this.warmMembers.contains(member.key())) {
			return 1;
		}
		int announcedMillis = member.backend().map(MemberInfo.Backend::coldStartMillis).orElse(0);
		long activeMillis = now - this.activeSince.get(member.key()).getOrElse(now);
		return Math.clamp(activeMillis / (double) Math.max(announcedMillis, NEW_PROCESS_MILLIS), MIN_SHARE, 1);
	}

}
