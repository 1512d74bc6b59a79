package org.brasspier.core.ownership;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;

import org.brasspier.core.event.EventKind;

/**
 * What a newer row changes for one process, for its time line and its request thread.
 *
 * @param self the process
 * @param before the row that it knew
 * @param after the newer row
 */
record RowChange(MemberKey self, VersionedRow before, VersionedRow after) {

	boolean isNewEpoch() {
		return this.after.row().epoch() > this.before.row().epoch();
	}

	boolean hasJoined() {
		return this.after.row().has(this.self) && !this.before.row().has(this.self);
	}

	List<OwnershipAction> events() {
		Stream<OwnershipAction> epoch = (isNewEpoch()) ? Stream.of(recordEvent(EventKind.EPOCH_CHANGED,
				this.self.instance(), "epoch %d under %s".formatted(this.after.row().epoch(), managerNames())))
				: Stream.empty();
		Stream<OwnershipAction> granted = gainedRanges()
			.map((range) -> recordEvent(EventKind.RANGE_GRANTED, subject(range), "fence " + range.fence()));
		Stream<OwnershipAction> released = lostRanges()
			.map((range) -> recordEvent(EventKind.RANGE_RELEASED, subject(range), "fence " + range.fence()));
		return Stream.of(epoch, granted, released).flatMap((events) -> events).toList();
	}

	private String managerNames() {
		return this.after.row()
			.managers()
			.map((pair) -> pair.primary().instance()
					+ pair.secondary().map((key) -> " and " + key.instance()).orElse(""))
			.orElse("nobody");
	}

	private Stream<RangeState> gainedRanges() {
		Set<RangeState> ownedBefore = new HashSet<>(this.before.row().ownedBy(this.self.instance()));
		return this.after.row()
			.ownedBy(this.self.instance())
			.stream()
			.filter((range) -> ownedBefore.stream().noneMatch((known) -> known.held().equals(range.held())));
	}

	private Stream<RangeState> lostRanges() {
		Set<RangeState> ownedAfter = new HashSet<>(this.after.row().ownedBy(this.self.instance()));
		return this.before.row()
			.ownedBy(this.self.instance())
			.stream()
			.filter((range) -> ownedAfter.stream().noneMatch((known) -> known.held().equals(range.held())));
	}

	private static String subject(RangeState range) {
		return range.service() + "/" + range.range();
	}

	private static OwnershipAction recordEvent(EventKind kind, Object subject, String detail) {
		return new OwnershipAction.RecordEvent(kind, subject.toString(), detail);
	}

}
