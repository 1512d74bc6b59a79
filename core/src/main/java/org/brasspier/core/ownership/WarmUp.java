package org.brasspier.core.ownership;

import io.vavr.collection.SortedMap;
import io.vavr.collection.SortedSet;
import io.vavr.collection.TreeMap;
import io.vavr.collection.TreeSet;

/**
 * The share of its capacity that each member may be given. Whoever has just come runs
 * slowly at first, so its share grows with the time since. Not thread-safe; copied
 * cheaply.
 */
final class WarmUp {

	/**
	 * How long a process counts as new at least: its daemon begins with cold code and no
	 * open connection, whatever its backend server announces of itself.
	 */
	private static final int NEW_PROCESS_MILLIS = 5000;

	/** Enough for a newcomer to be tried with. */
	private static final double LEAST_SHARE = 0.1;

	private SortedMap<MemberKey, Long> activeSince = TreeMap.empty();

	private SortedSet<MemberKey> warm = TreeSet.empty();

	WarmUp copy() {
		WarmUp copy = new WarmUp();
		copy.activeSince = this.activeSince;
		copy.warm = this.warm;
		return copy;
	}

	/**
	 * Takes who is there. Whoever serves already in the first row that this process sees
	 * is taken as warm. An epoch changes nothing: managers often change because an
	 * instance is being replaced, and the one replaced before it is still new then.
	 * @param row the newest row
	 * @param now the time
	 */
	void adopt(CellRow row, long now) {
		if (this.activeSince.isEmpty()) {
			this.warm = TreeSet.ofAll(row.members()
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
		this.warm = this.warm.filter(row::has);
	}

	/**
	 * What a member may be given.
	 * @param member the member
	 * @param now the time
	 * @return a share of its capacity, above 0 to 1
	 */
	double share(MemberInfo member, long now) {
		if (this.warm.contains(member.key())) {
			return 1;
		}
		int announced = member.backend().map(MemberInfo.Backend::coldStartMillis).orElse(0);
		long served = now - this.activeSince.get(member.key()).getOrElse(now);
		return Math.clamp(served / (double) Math.max(announced, NEW_PROCESS_MILLIS), LEAST_SHARE, 1);
	}

}
