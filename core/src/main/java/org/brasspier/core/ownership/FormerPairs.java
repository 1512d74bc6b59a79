package org.brasspier.core.ownership;

import java.util.List;

import io.vavr.collection.SortedMap;
import io.vavr.collection.TreeMap;

/**
 * Which lease managers of earlier epochs are known to have ended. A pair that a third
 * member took over from may only be cut off, and goes on as long as its two managers
 * confirm each other. One sign that either has stopped is enough: the other's authority
 * ends with its last confirmation. Not thread-safe.
 */
final class FormerPairs {

	private final MemberKey self;

	private final Timing timing;

	private SortedMap<Long, Long> stoppedAt = TreeMap.empty();

	FormerPairs(MemberKey self, Timing timing) {
		this.self = self;
		this.timing = timing;
	}

	void take(FormerPairs other) {
		this.stoppedAt = other.stoppedAt;
	}

	Object state() {
		return this.stoppedAt;
	}

	void begin() {
		this.stoppedAt = TreeMap.empty();
	}

	// Whoever has acknowledged a later epoch, or is another process by now, confirms
	// nobody
	// of an old pair any more.
	void heard(MemberKey key, long epoch, CellRow row, long now) {
		row.unclosed()
			.stream()
			.filter((old) -> old.find(key.instance())
				.filter((member) -> !member.equals(key) || epoch > old.epoch())
				.isPresent())
			.forEach((old) -> stopped(old, now));
	}

	void stopped(ManagerPair old, long now) {
		if (!this.stoppedAt.containsKey(old.epoch())) {
			this.stoppedAt = this.stoppedAt.put(old.epoch(), now);
		}
	}

	List<ManagerPair> closed(CellRow row, long since, long now) {
		heard(this.self, row.epoch(), row, since);
		long lastResort = since + this.timing.withDrift(this.timing.withoutTable() + this.timing.authority());
		return row.unclosed()
			.stream()
			.filter((old) -> now >= lastResort || this.stoppedAt.get(old.epoch())
				.filter((at) -> now >= at + this.timing.withDrift(this.timing.authority()))
				.isDefined())
			.toList();
	}

}
