package org.brasspier.core.ownership;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.brasspier.core.InstanceId;
import org.brasspier.core.placement.PlacementPolicy;
import org.brasspier.core.placement.PlacementWeights;

/**
 * Everything one process decides about ownership: it keeps its own lease, manages others'
 * where the row says so, and takes over where nobody does. Each step takes an input and
 * the time and returns what is to be done; no step waits. Times are milliseconds of one
 * monotonic clock that begins with the process. Not thread-safe; copied cheaply, so that
 * tests can follow every order of events.
 */
public final class OwnershipMachine {

	/**
	 * The number of ranges a service begins with: a few for each member of a full cell.
	 */
	private static final int INITIAL_RANGES = 64;

	private final ProcessParts parts;

	private final RowSide rows;

	private final MemberSide member;

	private final ManagerSide managing;

	/**
	 * Creates the machine of a process that has just started.
	 * @param me what the process says of itself
	 * @param timing the times
	 * @param placement decides what goes where
	 * @param now the time
	 */
	public OwnershipMachine(MemberInfo me, Timing timing, PlacementPolicy placement, long now) {
		this(me, timing, new PrimaryState.Placement(placement, PlacementWeights.EQUAL, INITIAL_RANGES),
				EnabledGuards.ALL_ON, now);
	}

	OwnershipMachine(MemberInfo me, Timing timing, PrimaryState.Placement placement, EnabledGuards guards, long now) {
		this(new ProcessParts(me, timing, placement, guards, now));
	}

	private OwnershipMachine(ProcessParts parts) {
		this.parts = parts;
		this.rows = new RowSide(parts);
		this.member = new MemberSide(parts, this.rows);
		this.managing = new ManagerSide(parts, this.rows, this.member);
	}

	OwnershipMachine copy() {
		return new OwnershipMachine(this.parts.copy());
	}

	List<Object> state() {
		return this.parts.state();
	}

	/**
	 * What this process may serve and until when, and what it knows.
	 * @return a view that is valid until the next step
	 */
	public OwnershipState view() {
		return this.parts.view();
	}

	/**
	 * The newest row that this process knows.
	 * @return the row, {@link VersionedRow#NONE} before it knows any
	 */
	public VersionedRow known() {
		return this.parts.known();
	}

	/**
	 * Does what is due. Called some ten times in each heartbeat's span.
	 * @param now the time
	 * @return what is to be done
	 */
	public List<OwnershipAction> tick(long now) {
		if (this.parts.left) {
			return List.of();
		}
		this.member.noteLapse(now);
		this.parts.access.settle(now).ifPresent(this.parts.out::add);
		this.rows.readIfDue(now);
		this.member.memberWork(now);
		if (this.parts.manager.active()) {
			this.managing.managerWork(now);
		}
		else {
			this.member.lookForManagers(now);
		}
		return finish(now);
	}

	/**
	 * A message came.
	 * @param from who sent it
	 * @param message the message
	 * @param now the time
	 * @return what is to be done
	 */
	public List<OwnershipAction> received(InstanceId from, ControlMessage message, long now) {
		if (!this.parts.left) {
			handle(from, message, now);
		}
		return finish(now);
	}

	private void handle(InstanceId from, ControlMessage message, long now) {
		switch (message) {
			case ControlMessage.Heartbeat heartbeat -> this.managing.heartbeat(from, heartbeat, now);
			case ControlMessage.Renewal renewal -> this.member.renewal(from, renewal, now);
			case ControlMessage.Beat beat -> this.managing.beat(from, beat, now);
			case ControlMessage.BeatAnswer answer -> this.managing.beatAnswer(from, answer, now);
			case ControlMessage.RowUpdate update -> this.rows.adopt(update.row(), now);
			case ControlMessage.RowDifference difference -> this.rows.change(from, difference.delta(), now);
			case ControlMessage.RowRequest request -> this.rows.whole(from, request.version());
			case ControlMessage.Announce announce -> this.managing.announce(from, announce, now);
			case ControlMessage.Release release -> this.member.release(release.ranges());
			case ControlMessage.Released released ->
				this.parts.memory.released(from, released, this.parts.lease.known().row());
			case ControlMessage.Loads loads -> this.parts.memory.loads(loads, this.parts.lease.known().row());
			case ControlMessage.Probe probe -> this.member.answerProbe(from, now);
			case ControlMessage.ProbeAnswer answer -> this.parts.takeover.answered(from, answer, now);
			case ControlMessage.OrderSent order -> this.managing.order(from, order, now);
			case ControlMessage.OrderAnswer answer ->
				this.parts.out.add(new OwnershipAction.OrderDone(answer.number(), answer.accepted(), answer.detail()));
		}
	}

	/**
	 * An operator gave an order at this daemon.
	 * @param number a number to recognise the answer by
	 * @param order the order
	 * @param now the time
	 * @return what is to be done
	 */
	public List<OwnershipAction> order(long number, ControlMessage.Order order, long now) {
		Optional<ManagerPair> pair = this.parts.lease.known().row().managers();
		if (pair.isPresent()) {
			this.parts.out.send(pair.get().primary().instance(), new ControlMessage.OrderSent(number, order));
		}
		else {
			this.parts.out.add(new OwnershipAction.OrderDone(number, false, "the cell has no lease manager yet"));
		}
		return finish(now);
	}

	/**
	 * The row was read.
	 * @param row the row, {@link VersionedRow#NONE} if there is none
	 * @param now the time
	 * @return what is to be done
	 */
	public List<OwnershipAction> rowRead(VersionedRow row, long now) {
		this.rows.rowRead(row, now);
		this.member.giveUpIfTableAnswers();
		return finish(now);
	}

	/**
	 * The row could not be read.
	 * @param now the time
	 * @return what is to be done
	 */
	public List<OwnershipAction> readFailed(long now) {
		this.parts.access.readFailed(now);
		return finish(now);
	}

	/**
	 * The write took effect.
	 * @param version the row's new version
	 * @param now the time
	 * @return what is to be done
	 */
	public List<OwnershipAction> written(long version, long now) {
		this.rows.written(version, now);
		return finish(now);
	}

	/**
	 * The row had another version.
	 * @param now the time
	 * @return what is to be done
	 */
	public List<OwnershipAction> writeConflict(long now) {
		this.rows.writeConflict(now);
		return finish(now);
	}

	/**
	 * The write's answer was lost.
	 * @param now the time
	 * @return what is to be done
	 */
	public List<OwnershipAction> writeUnknown(long now) {
		this.rows.writeUnknown(now);
		return finish(now);
	}

	/**
	 * The write certainly had no effect.
	 * @param now the time
	 * @return what is to be done
	 */
	public List<OwnershipAction> writeFailed(long now) {
		this.parts.access.writeFailed(now);
		return finish(now);
	}

	/**
	 * The backend server beside this daemon changed.
	 * @param phase what may be done with it
	 * @param backend the server, if there is one
	 * @param now the time
	 * @return what is to be done
	 */
	public List<OwnershipAction> backend(MemberPhase phase, Optional<MemberInfo.Backend> backend, long now) {
		this.parts.me = new MemberInfo(this.parts.me.key(), this.parts.me.domain(), this.parts.me.address(),
				(this.parts.leaving) ? MemberPhase.LEAVING : phase, backend.or(this.parts.me::backend));
		if (phase == MemberPhase.ACTIVE) {
			this.parts.givingUpSince = Optional.empty();
		}
		return finish(now);
	}

	/**
	 * The backend server is gone: its ranges are let go of as soon as the table answers,
	 * instead of when the primary asks for them.
	 * @param now the time
	 * @return what is to be done
	 */
	public List<OwnershipAction> backendLost(long now) {
		if (this.parts.givingUpSince.isEmpty()) {
			this.parts.givingUpSince = Optional.of(now);
			this.rows.readIfDue(now);
		}
		return finish(now);
	}

	/**
	 * Nothing of a range is in flight any more.
	 * @param held the range
	 * @param marks the marks that go with it
	 * @param now the time
	 * @return what is to be done
	 */
	public List<OwnershipAction> drained(HeldRange held, List<CrashMark> marks, long now) {
		this.parts.lease.drained(held, marks);
		this.member.sendReleased(this.parts.lease.released());
		return finish(now);
	}

	/**
	 * The load of the ranges held, for the primary.
	 * @param loads the loads
	 * @param now the time
	 * @return what is to be done
	 */
	public List<OwnershipAction> loads(ControlMessage.Loads loads, long now) {
		this.parts.lease.known()
			.row()
			.managers()
			.ifPresent((pair) -> this.parts.out.send(pair.primary().instance(), loads));
		return finish(now);
	}

	/**
	 * Begins to leave: what is owned is handed over, a manager's role first.
	 * @param now the time
	 * @return what is to be done, with {@link OwnershipAction.Left} at the end of it all
	 */
	public List<OwnershipAction> leave(long now) {
		this.parts.leaving = true;
		this.parts.me = this.parts.me.in(MemberPhase.LEAVING);
		if (!this.parts.lease.known().row().has(this.parts.me.key()) && !this.parts.manager.active()) {
			this.parts.left = true;
			this.parts.out.add(new OwnershipAction.Left());
		}
		return finish(now);
	}

	/**
	 * Sets the version of the configuration document that goes with heartbeats.
	 * @param version the version in force in this process
	 */
	public void document(long version) {
		this.parts.document = version;
	}

	/**
	 * Sets how the operators weigh the measures.
	 * @param weights the weights of the document in force
	 */
	public void weights(PlacementWeights weights) {
		this.parts.placement = this.parts.placement.weighing(weights);
	}

	private List<OwnershipAction> finish(long now) {
		List<OwnershipAction> actions = new ArrayList<>();
		for (Optional<OwnershipAction> next = this.parts.out.next(); next.isPresent(); next = this.parts.out.next()) {
			if (next.get() instanceof OwnershipAction.Send send && send.to().equals(this.parts.me.instance())) {
				handle(this.parts.me.instance(), send.message(), now);
			}
			else {
				actions.add(next.get());
			}
		}
		return actions;
	}

}
