package org.brasspier.core.ownership;

import java.util.List;

import io.vavr.collection.SortedMap;
import io.vavr.collection.TreeMap;

/**
 * Tracks which manager pairs of earlier epochs are known to have ended. If a third member
 * took over from a pair, the pair may merely be disconnected, and it continues as long as
 * its two managers confirm each other. Evidence that one of them has stopped is
 * sufficient, since the other's authority ends with its last confirmation. Not
 * thread-safe.
 */
final class FormerPairs {

	private final MemberKey self;

	private final Timing timing;

	private SortedMap<Long, Long> stoppedAt = TreeMap.empty();

	FormerPairs(MemberKey self, Timing timing) {
		this.self = self;
		this.timing = timing;
	}

	void copyFrom(FormerPairs other) {
		this.stoppedAt = other.stoppedAt;
	}

	Object state() {
		return this.stoppedAt;
	}

	void reset() {
		this.stoppedAt = TreeMap.empty();
	}

	// A member that has acknowledged a later epoch, or whose process was restarted, no
	// longer confirms managers of a former pair.
	void onHeartbeat(MemberKey key, long epoch, CellRow row, long now) {
		row.unclosed()
			.stream()
			.filter((formerPair) -> formerPair.find(key.instance())
				.filter((member) -> !member.equals(key) || epoch > formerPair.epoch())
				.isPresent())
			.forEach((formerPair) -> onManagerStopped(formerPair, now));
	}

	void onManagerStopped(ManagerPair formerPair, long now) {
		if (!this.stoppedAt.containsKey(formerPair.epoch())) {
			this.stoppedAt = this.stoppedAt.put(formerPair.epoch(), now);
		}
	}

	List<ManagerPair> closed(CellRow row, long epochStartedAt, long now) {
		// If this member was in a former pair, it has acknowledged a later epoch since.
		onHeartbeat(this.self, row.epoch(), row, epochStartedAt);
		long allEndedAt = epochStartedAt + this.timing.withDrift(this.timing.withoutTable() + this.timing.authority());
		return row.unclosed()
			.stream()
			.filter((formerPair) -> now >= allEndedAt || this.stoppedAt.get(formerPair.epoch())
				.filter((stopTime) -> now >= stopTime + this.timing.withDrift(this.timing.authority()))
				.isDefined())
			.toList();
	}

}
