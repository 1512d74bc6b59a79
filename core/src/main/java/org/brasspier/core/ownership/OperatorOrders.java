package org.brasspier.core.ownership;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.brasspier.core.InstanceId;
import org.brasspier.core.placement.PlacementStep.MoveCause;

/**
 * Handles operators' orders at the primary. An accepted order has been started but is not
 * complete; the row shows when it is.
 *
 * @param known the newest known row
 * @param manager the lease manager of this process
 * @param primaryState the primary's state
 * @param access the access to the row
 */
record OperatorOrders(VersionedRow known, LeaseManager manager, PrimaryState primaryState, RowAccess access) {

	Answer handle(ControlMessage.Order order, long now) {
		if (!this.manager.isPrimary()) {
			return refused("this instance is not the primary lease manager; try again");
		}
		if (!this.access.isReachable()) {
			return refused("the table can't be reached, so nothing can be moved now");
		}
		return switch (order) {
			case ControlMessage.Order.Drain drain -> drain(drain);
			case ControlMessage.Order.Move move -> move(move);
			case ControlMessage.Order.DeclareLost lost -> declareLost(lost.instance(), now);
		};
	}

	private Answer drain(ControlMessage.Order.Drain order) {
		Set<InstanceId> drained = new HashSet<>(this.primaryState.drained(this.known.row()));
		if (order.drained() && this.known.row().member(order.instance()).isEmpty()) {
			return refused("%s is no member of this cell".formatted(order.instance()));
		}
		boolean changed = (order.drained()) ? drained.add(order.instance()) : drained.remove(order.instance());
		this.primaryState.setDrained(drained);
		return accepted(
				(changed) ? "%s is being %s".formatted(order.instance(), (order.drained()) ? "drained" : "undrained")
						: "%s already was".formatted(order.instance()));
	}

	private Answer move(ControlMessage.Order.Move order) {
		Optional<RangeState> range = this.known.row()
			.rangesOf(order.service())
			.stream()
			.filter((state) -> state.range().equals(order.range()))
			.findFirst();
		if (range.isEmpty() || range.get().owner().isEmpty()) {
			return refused("%s has no owned range %s".formatted(order.service(), order.range()));
		}
		boolean eligible = this.known.row()
			.member(order.to())
			.filter((member) -> member.phase() == MemberPhase.ACTIVE)
			.flatMap(MemberInfo::backend)
			.filter((backend) -> backend.service().equals(order.service()))
			.isPresent();
		if (!eligible || this.known.row().drained().contains(order.to())) {
			return refused("%s can't own ranges of %s now".formatted(order.to(), order.service()));
		}
		HeldRange held = range.get().held();
		List<PlannedMove> moves = new ArrayList<>(this.primaryState.moves());
		moves.removeIf((move) -> move.held().equals(held));
		moves.add(new PlannedMove(held, Optional.of(order.to()), MoveCause.ORDER));
		this.primaryState.setMoves(List.copyOf(moves));
		return accepted("%s %s is moving to %s".formatted(order.service(), order.range(), order.to()));
	}

	private Answer declareLost(InstanceId instance, long now) {
		Optional<MemberInfo> member = this.known.row().member(instance);
		if (member.filter((present) -> !this.manager.isSilent(present.key(), now)).isPresent()) {
			return refused("%s is heard, so it can't be declared lost".formatted(instance));
		}
		List<ManagerPair> pairs = this.known.row()
			.unclosed()
			.stream()
			.filter((pair) -> pair.find(instance).isPresent())
			.toList();
		pairs.forEach((pair) -> this.manager.formerPairs().onManagerStopped(pair, now));
		return accepted((pairs.isEmpty()) ? "nothing waits for %s".formatted(instance)
				: "%d ended pairs of managers no longer wait for %s".formatted(pairs.size(), instance));
	}

	private static Answer accepted(String detail) {
		return new Answer(true, detail);
	}

	private static Answer refused(String detail) {
		return new Answer(false, detail);
	}

	/**
	 * The answer to an order.
	 *
	 * @param accepted whether it was accepted
	 * @param detail a sentence for the operator
	 */
	record Answer(boolean accepted, String detail) {

	}

}
