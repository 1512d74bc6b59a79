package org.brasspier.core.ownership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.UnaryOperator;

import org.brasspier.core.InstanceId;
import org.brasspier.core.ServiceName;

/**
 * The state of a cell that is stored in the table. The latest version is authoritative; a
 * member that has a lease and knows a version holds the ranges that this version assigns
 * to it. Immutable and thread-safe.
 *
 * @param epoch increases each time the lease managers change
 * @param managers the lease managers; empty once the last member has left
 * @param unclosed earlier lease managers that may still be renewing leases
 * @param members the members, by instance
 * @param drained instances that operators took out of service
 * @param ranges the ranges, by service and point
 * @param challenger the member that asks the lease managers to show that they reach the
 * table
 */
public record CellRow(long epoch, Optional<ManagerPair> managers, List<ManagerPair> unclosed, List<MemberInfo> members,
		Set<InstanceId> drained, List<RangeState> ranges, Optional<MemberKey> challenger) {

	/** The row before the first member has joined. */
	public static final CellRow EMPTY = new CellRow(0, Optional.empty(), List.of(), List.of(), Set.of(), List.of(),
			Optional.empty());

	/**
	 * Copies and sorts the lists.
	 */
	public CellRow {
		unclosed = List.copyOf(unclosed);
		members = members.stream().sorted(Comparator.comparing(MemberInfo::key)).toList();
		drained = Set.copyOf(drained);
		ranges = ranges.stream()
			.sorted(Comparator.comparing(RangeState::service).thenComparing(RangeState::range))
			.toList();
	}

	/**
	 * Returns the member that runs on an instance.
	 * @param instance the instance
	 * @return the member, empty if there is none
	 */
	public Optional<MemberInfo> member(InstanceId instance) {
		return this.members.stream().filter((member) -> member.instance().equals(instance)).findFirst();
	}

	/**
	 * Returns whether exactly this process is a member.
	 * @param key the process
	 * @return true if it is
	 */
	public boolean has(MemberKey key) {
		return this.members.stream().anyMatch((member) -> member.key().equals(key));
	}

	/**
	 * Returns the ranges that an instance owns.
	 * @param instance the instance
	 * @return its ranges
	 */
	public List<RangeState> ownedBy(InstanceId instance) {
		return this.ranges.stream().filter((range) -> range.owner().filter(instance::equals).isPresent()).toList();
	}

	/**
	 * Returns how long a request that a member has sent to a backend server may take
	 * effect after the member's lease has ended. The owner of a request id may send the
	 * request to any server of the service, so this is the maximum over all of them.
	 * @param member the member
	 * @return the time in milliseconds
	 */
	public long guardMillis(MemberInfo member) {
		return this.members.stream()
			.filter((other) -> other.service().equals(member.service()))
			.mapToLong(MemberInfo::guardMillis)
			.max()
			.orElse(0);
	}

	/**
	 * Returns the ranges of a service.
	 * @param service the service
	 * @return its ranges in order
	 */
	public List<RangeState> rangesOf(ServiceName service) {
		return this.ranges.stream().filter((range) -> range.service().equals(service)).toList();
	}

	/**
	 * Returns the row in the next epoch.
	 * @param primary the manager that writes the row from then on
	 * @param secondary the other manager, if there is one
	 * @param stillUnclosed earlier managers that may still be renewing leases
	 * @return the row, without a challenge
	 */
	public CellRow nextEpoch(MemberKey primary, Optional<MemberKey> secondary, List<ManagerPair> stillUnclosed) {
		long next = this.epoch + 1;
		return new CellRow(next, Optional.of(new ManagerPair(next, primary, secondary)), stillUnclosed, this.members,
				this.drained, this.ranges, Optional.empty());
	}

	/**
	 * Returns the row in the next epoch without any lease manager.
	 * @return the row
	 */
	public CellRow withoutManagers() {
		return new CellRow(this.epoch + 1, Optional.empty(), this.unclosed, this.members, this.drained, this.ranges,
				Optional.empty());
	}

	/**
	 * Returns the row with other members.
	 * @param others the members
	 * @return the row
	 */
	public CellRow withMembers(List<MemberInfo> others) {
		return new CellRow(this.epoch, this.managers, this.unclosed, others, this.drained, this.ranges,
				this.challenger);
	}

	/**
	 * Returns the row with one member added or replaced.
	 * @param member the member
	 * @return the row
	 */
	public CellRow withMember(MemberInfo member) {
		List<MemberInfo> others = new ArrayList<>(withoutMember(member.instance()).members);
		others.add(member);
		return withMembers(others);
	}

	/**
	 * Returns the row without a member; its ranges are unchanged.
	 * @param instance the member's instance
	 * @return the row
	 */
	public CellRow withoutMember(InstanceId instance) {
		return withMembers(this.members.stream().filter((member) -> !member.instance().equals(instance)).toList());
	}

	/**
	 * Returns the row with other ranges.
	 * @param others the ranges
	 * @return the row
	 */
	public CellRow withRanges(List<RangeState> others) {
		return new CellRow(this.epoch, this.managers, this.unclosed, this.members, this.drained, others,
				this.challenger);
	}

	/**
	 * Returns the row with a function applied to each range.
	 * @param change the function
	 * @return the row
	 */
	public CellRow mapRanges(UnaryOperator<RangeState> change) {
		return withRanges(this.ranges.stream().map(change).toList());
	}

	/**
	 * Returns the row with another set of drained instances.
	 * @param instances the instances
	 * @return the row
	 */
	public CellRow withDrained(Set<InstanceId> instances) {
		return new CellRow(this.epoch, this.managers, this.unclosed, this.members, instances, this.ranges,
				this.challenger);
	}

	/**
	 * Returns the row with another list of manager pairs that may still be renewing
	 * leases.
	 * @param pairs the pairs
	 * @return the row
	 */
	public CellRow withUnclosed(List<ManagerPair> pairs) {
		return new CellRow(this.epoch, this.managers, pairs, this.members, this.drained, this.ranges, this.challenger);
	}

	/**
	 * Returns the row with or without a challenge.
	 * @param key the challenger, empty to answer a challenge
	 * @return the row
	 */
	public CellRow withChallenger(Optional<MemberKey> key) {
		return new CellRow(this.epoch, this.managers, this.unclosed, this.members, this.drained, this.ranges, key);
	}

}
