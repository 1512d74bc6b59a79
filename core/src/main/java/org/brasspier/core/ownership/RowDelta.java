package org.brasspier.core.ownership;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.brasspier.core.InstanceId;
import org.brasspier.core.KeyRange;
import org.brasspier.core.ServiceName;

/**
 * The difference between two versions of the row. A move changes one range of hundreds,
 * so sending the whole row to each member would be most of a primary's traffic. A
 * receiver that has another base, or whose result does not match the sender's row, gets
 * the whole row. Immutable and thread-safe.
 *
 * @param base the version to which it applies
 * @param version the resulting version
 * @param digest the {@link RowDigest} of the resulting row
 * @param changed the new row with only those members and ranges that are new or different
 * @param goneMembers members of the base that are no longer members
 * @param goneRanges ranges of the base that no longer exist, as after a split
 */
public record RowDelta(long base, long version, long digest, CellRow changed, List<InstanceId> goneMembers,
		List<Place> goneRanges) {

	/**
	 * Copies the lists.
	 */
	public RowDelta {
		goneMembers = List.copyOf(goneMembers);
		goneRanges = List.copyOf(goneRanges);
	}

	/**
	 * Computes the difference between two rows.
	 * @param from the base
	 * @param to the resulting row
	 * @return the difference
	 */
	public static RowDelta between(VersionedRow from, VersionedRow to) {
		CellRow before = from.row();
		CellRow after = to.row();
		Set<InstanceId> remainingMembers = instances(after).collect(Collectors.toSet());
		Set<Place> remainingRanges = places(after).collect(Collectors.toSet());
		CellRow changed = after.withMembers(newOrChanged(after.members(), before.members()))
			.withRanges(newOrChanged(after.ranges(), before.ranges()));
		return new RowDelta(from.version(), to.version(), RowDigest.of(after), changed,
				instances(before).filter((instance) -> !remainingMembers.contains(instance)).toList(),
				places(before).filter((place) -> !remainingRanges.contains(place)).toList());
	}

	private static <T> List<T> newOrChanged(List<T> entries, List<T> previous) {
		Set<T> unchanged = new HashSet<>(previous);
		return entries.stream().filter((entry) -> !unchanged.contains(entry)).toList();
	}

	private static Stream<InstanceId> instances(CellRow row) {
		return row.members().stream().map(MemberInfo::instance);
	}

	private static Stream<Place> places(CellRow row) {
		return row.ranges().stream().map(Place::of);
	}

	/**
	 * Returns whether the difference is smaller than the whole row.
	 * @return false if most of the row is new
	 */
	boolean isSmallerThan(CellRow row) {
		int changeCount = this.changed.ranges().size() + this.goneRanges.size();
		return changeCount < row.ranges().size();
	}

	/**
	 * Applies the difference to its base.
	 * @param known the row that the receiver knows
	 * @return the resulting row, empty if the base differs or the result does not match
	 * the sender's row
	 */
	public Optional<VersionedRow> applyTo(VersionedRow known) {
		if (known.version() != this.base) {
			return Optional.empty();
		}
		CellRow row = this.changed.withMembers(members(known.row())).withRanges(ranges(known.row()));
		return (RowDigest.of(row) == this.digest) ? Optional.of(new VersionedRow(this.version, row)) : Optional.empty();
	}

	private List<MemberInfo> members(CellRow before) {
		Set<InstanceId> replaced = new HashSet<>(this.goneMembers);
		instances(this.changed).forEach(replaced::add);
		List<MemberInfo> members = new ArrayList<>(this.changed.members());
		before.members().stream().filter((member) -> !replaced.contains(member.instance())).forEach(members::add);
		return members;
	}

	private List<RangeState> ranges(CellRow before) {
		Set<Place> replaced = new HashSet<>(this.goneRanges);
		places(this.changed).forEach(replaced::add);
		List<RangeState> ranges = new ArrayList<>(this.changed.ranges());
		before.ranges().stream().filter((range) -> !replaced.contains(Place.of(range))).forEach(ranges::add);
		return ranges;
	}

	/**
	 * Position of a range, independent of its owner.
	 *
	 * @param service the service
	 * @param range the points
	 */
	public record Place(ServiceName service, KeyRange range) {

		static Place of(RangeState state) {
			return new Place(state.service(), state.range());
		}

	}

}
