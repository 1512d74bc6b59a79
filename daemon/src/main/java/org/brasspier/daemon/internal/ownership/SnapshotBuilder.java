package org.brasspier.daemon.internal.ownership;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import org.brasspier.core.InstanceId;
import org.brasspier.core.ServiceName;
import org.brasspier.core.ownership.CellRow;
import org.brasspier.core.ownership.HeldRange;
import org.brasspier.core.ownership.ManagerPair;
import org.brasspier.core.ownership.MarkedRange;
import org.brasspier.core.ownership.MemberInfo;
import org.brasspier.core.ownership.OwnershipState;
import org.brasspier.core.ownership.PlannedMove;
import org.brasspier.core.ownership.RangeState;
import org.brasspier.core.routing.Assignment;
import org.brasspier.core.routing.OwnershipSnapshot;
import org.brasspier.core.routing.PeerAddress;
import org.brasspier.core.routing.PeerAddresses;
import org.brasspier.core.routing.RouteTable;
import org.brasspier.daemon.internal.settings.Settings.PeerPorts;

/**
 * Builds the snapshots and views that other threads read from the ownership state. Tables
 * are rebuilt only if the version of the row or the set of held or draining ranges
 * changes; a lease renewal, several times a second, changes only one number. Not
 * thread-safe; used in the ownership thread only.
 */
final class SnapshotBuilder {

	private final Map<InstanceId, PeerPorts> peerPorts;

	private final StateMachineClock clock;

	private long version = -1;

	private RouteTable routes = RouteTable.EMPTY;

	private PeerAddresses addresses = new PeerAddresses(Map.of());

	private List<RangeState> heldRanges = List.of();

	private List<HeldRange> drainingRanges = List.of();

	private RouteTable held = RouteTable.EMPTY;

	private RouteTable draining = RouteTable.EMPTY;

	private List<MarkedRange> marked = List.of();

	/**
	 * Creates a builder.
	 * @param peerPorts overrides the advertised addresses of some peers
	 * @param clock the clock of the state machine
	 */
	SnapshotBuilder(Map<InstanceId, PeerPorts> peerPorts, StateMachineClock clock) {
		this.peerPorts = Map.copyOf(peerPorts);
		this.clock = clock;
	}

	OwnershipSnapshot snapshot(OwnershipState state) {
		CellRow row = state.known().row();
		boolean newRow = state.known().version() != this.version;
		if (newRow) {
			this.version = state.known().version();
			this.routes = table(row, (range) -> true);
			this.addresses = new PeerAddresses(
					row.members().stream().collect(Collectors.toMap(MemberInfo::instance, this::address)));
		}
		if (newRow || !state.held().equals(this.heldRanges) || !state.draining().equals(this.drainingRanges)) {
			this.heldRanges = state.held();
			this.drainingRanges = state.draining();
			this.held = table(row, this.heldRanges::contains);
			this.draining = table(row, (range) -> this.drainingRanges.contains(range.held()));
			this.marked = this.heldRanges.stream()
				.filter((range) -> !range.marks().isEmpty())
				.map((range) -> new MarkedRange(range.held(), range.marks()))
				.toList();
		}
		return new OwnershipSnapshot(state.me().instance(), this.routes, this.held, this.draining, this.marked,
				this.clock.nanosAt(state.leaseEnd()), this.addresses);
	}

	private PeerAddress address(MemberInfo member) {
		PeerAddress advertised = member.address();
		PeerPorts override = this.peerPorts.get(member.instance());
		return (override != null) ? new PeerAddress(override.host(), override.control(), override.forward(),
				advertised.callerPort(), advertised.operatorPort()) : advertised;
	}

	private RouteTable table(CellRow row, Predicate<RangeState> filter) {
		Map<ServiceName, List<Assignment>> assignments = row.ranges()
			.stream()
			.filter((range) -> range.owner().isPresent() && filter.test(range))
			.collect(Collectors.groupingBy(RangeState::service,
					Collectors.mapping(
							(range) -> new Assignment(range.range(), range.owner().orElseThrow(), range.fence()),
							Collectors.toList())));
		return RouteTable.of(this.version, assignments);
	}

	CellView view(OwnershipState state, long now) {
		CellRow row = state.known().row();
		return new CellView(state.known().version(), row.epoch(),
				row.managers().map((pair) -> pair.primary().instance()),
				row.managers().flatMap(ManagerPair::secondary).map((key) -> key.instance()),
				row.members().stream().map((member) -> member(state, member, now)).toList(),
				row.ranges()
					.stream()
					.map((range) -> new CellView.Range(range.service(), range.range(), range.owner(), range.fence()))
					.toList(),
				state.moves().stream().flatMap((move) -> move(move).stream()).toList());
	}

	private static Optional<CellView.Move> move(PlannedMove move) {
		return move.to().map((to) -> new CellView.Move(move.held().service(), move.held().range(), to, false));
	}

	private static CellView.Member member(OwnershipState state, MemberInfo member, long now) {
		String phase = (state.known().row().drained().contains(member.instance())) ? "DRAINED" : member.phase().name();
		return new CellView.Member(member.instance(), member.domain(),
				member.backend().map(MemberInfo.Backend::service), phase,
				member.backend().map(MemberInfo.Backend::slots).orElse(0),
				member.backend().map(MemberInfo.Backend::checksFences).orElse(false), member.address(),
				Optional.ofNullable(state.heardAt().get(member.instance())).map((at) -> now - at));
	}

}
