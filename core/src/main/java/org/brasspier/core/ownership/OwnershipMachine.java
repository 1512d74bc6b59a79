package org.brasspier.core.ownership;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.brasspier.core.InstanceId;
import org.brasspier.core.placement.PlacementPolicy;
import org.brasspier.core.placement.PlacementWeights;

/**
 * The ownership state machine of one process: it maintains the process's own lease,
 * manages the leases of others if the row says so, and takes over if no manager is left.
 * Each step takes an input and the current time and returns the actions to execute; no
 * step blocks. Times are milliseconds of one monotonic clock that starts with the
 * process. Not thread-safe; cheap to copy, so that tests can explore every order of
 * events.
 */
public final class OwnershipMachine {

	/**
	 * Initial number of ranges of a service: a few for each member of a full cell.
	 */
	private static final int INITIAL_RANGES = 64;

	private final ProcessParts parts;

	private final RowHandler rowHandler;

	private final MemberRole memberRole;

	private final ManagerRole managerRole;

	/**
	 * Creates the state machine of a process that has just started.
	 * @param me the member information that the process announces
	 * @param timing the time limits
	 * @param placement the placement policy
	 * @param now current time, milliseconds
	 */
	public OwnershipMachine(MemberInfo me, Timing timing, PlacementPolicy placement, long now) {
		this(me, timing, new PrimaryState.Placement(placement, PlacementWeights.EQUAL, INITIAL_RANGES),
				EnabledGuards.ALL, now);
	}

	OwnershipMachine(MemberInfo me, Timing timing, PrimaryState.Placement placement, EnabledGuards guards, long now) {
		this(new ProcessParts(me, timing, placement, guards, now));
	}

	private OwnershipMachine(ProcessParts parts) {
		this.parts = parts;
		this.rowHandler = new RowHandler(parts);
		this.memberRole = new MemberRole(parts, this.rowHandler);
		this.managerRole = new ManagerRole(parts, this.rowHandler, this.memberRole);
	}

	OwnershipMachine copy() {
		return new OwnershipMachine(this.parts.copy());
	}

	List<Object> state() {
		return this.parts.state();
	}

	/**
	 * Returns what this process may serve and until when, and what it knows.
	 * @return a view that is valid until the next step
	 */
	public OwnershipState view() {
		return this.parts.view();
	}

	/**
	 * Returns the newest row that this process knows.
	 * @return the row, {@link VersionedRow#NONE} before it knows any
	 */
	public VersionedRow known() {
		return this.parts.known();
	}

	/**
	 * Performs periodic work. Called about ten times per heartbeat interval.
	 * @param now current time, milliseconds
	 * @return the actions to execute
	 */
	public List<OwnershipAction> tick(long now) {
		if (this.parts.left) {
			return List.of();
		}
		this.memberRole.recordLapse(now);
		this.parts.rowAccess.readIfUnresolved(now).ifPresent(this.parts.outbox::add);
		this.rowHandler.readIfDue(now);
		this.memberRole.doPeriodicWork(now);
		if (this.parts.manager.isActive()) {
			this.managerRole.doPeriodicWork(now);
		}
		else {
			this.memberRole.searchForManagers(now);
		}
		return takeActions(now);
	}

	/**
	 * Handles a message.
	 * @param from the sender
	 * @param message the message
	 * @param now current time, milliseconds
	 * @return the actions to execute
	 */
	public List<OwnershipAction> onMessage(InstanceId from, ControlMessage message, long now) {
		if (!this.parts.left) {
			handle(from, message, now);
		}
		return takeActions(now);
	}

	private void handle(InstanceId from, ControlMessage message, long now) {
		switch (message) {
			case ControlMessage.Heartbeat heartbeat -> this.managerRole.onHeartbeat(from, heartbeat, now);
			case ControlMessage.Renewal renewal -> this.memberRole.onRenewal(from, renewal, now);
			case ControlMessage.Beat beat -> this.managerRole.onBeat(from, beat, now);
			case ControlMessage.BeatAnswer answer -> this.managerRole.onBeatAnswer(from, answer, now);
			case ControlMessage.RowUpdate update -> this.rowHandler.adopt(update.row(), now);
			case ControlMessage.RowDifference difference -> this.rowHandler.onDelta(from, difference.delta(), now);
			case ControlMessage.RowRequest request -> this.rowHandler.sendWholeRow(from, request.version());
			case ControlMessage.Announce announce -> this.managerRole.onAnnouncement(from, announce, now);
			case ControlMessage.Release release -> this.memberRole.release(release.ranges());
			case ControlMessage.Released released ->
				this.parts.primaryState.onReleased(from, released, this.parts.lease.known().row());
			case ControlMessage.Loads loads -> this.parts.primaryState.onLoads(loads, this.parts.lease.known().row());
			case ControlMessage.Probe probe -> this.memberRole.onProbe(from, now);
			case ControlMessage.ProbeAnswer answer -> this.parts.takeover.onProbeAnswer(from, answer, now);
			case ControlMessage.OrderSent order -> this.managerRole.onOrder(from, order, now);
			case ControlMessage.OrderAnswer answer -> this.parts.outbox
				.add(new OwnershipAction.OrderDone(answer.number(), answer.accepted(), answer.detail()));
		}
	}

	/**
	 * Handles an operator's order that was given at this daemon.
	 * @param number a number that identifies the answer
	 * @param order the order
	 * @param now current time, milliseconds
	 * @return the actions to execute
	 */
	public List<OwnershipAction> order(long number, ControlMessage.Order order, long now) {
		Optional<ManagerPair> pair = this.parts.lease.known().row().managers();
		if (pair.isPresent()) {
			this.parts.outbox.send(pair.get().primary().instance(), new ControlMessage.OrderSent(number, order));
		}
		else {
			this.parts.outbox.add(new OwnershipAction.OrderDone(number, false, "the cell has no lease manager yet"));
		}
		return takeActions(now);
	}

	/**
	 * Handles a completed read of the row.
	 * @param row the row, {@link VersionedRow#NONE} if there is none
	 * @param now current time, milliseconds
	 * @return the actions to execute
	 */
	public List<OwnershipAction> onRowRead(VersionedRow row, long now) {
		this.rowHandler.onRowRead(row, now);
		this.memberRole.releaseIfTableAnswers();
		return takeActions(now);
	}

	/**
	 * Handles a failed read of the row.
	 * @param now current time, milliseconds
	 * @return the actions to execute
	 */
	public List<OwnershipAction> onReadFailed(long now) {
		this.parts.rowAccess.onReadFailed(now);
		return takeActions(now);
	}

	/**
	 * Handles a write that took effect.
	 * @param version the row's new version
	 * @param now current time, milliseconds
	 * @return the actions to execute
	 */
	public List<OwnershipAction> onWritten(long version, long now) {
		this.rowHandler.onWritten(version, now);
		return takeActions(now);
	}

	/**
	 * Handles a write that was rejected because the row had another version.
	 * @param now current time, milliseconds
	 * @return the actions to execute
	 */
	public List<OwnershipAction> onWriteConflict(long now) {
		this.rowHandler.onWriteConflict(now);
		return takeActions(now);
	}

	/**
	 * Handles a write whose outcome is unknown because its answer was lost.
	 * @param now current time, milliseconds
	 * @return the actions to execute
	 */
	public List<OwnershipAction> onWriteUnknown(long now) {
		this.rowHandler.onWriteUnknown(now);
		return takeActions(now);
	}

	/**
	 * Handles a write that certainly had no effect.
	 * @param now current time, milliseconds
	 * @return the actions to execute
	 */
	public List<OwnershipAction> onWriteFailed(long now) {
		this.parts.rowAccess.onWriteFailed(now);
		return takeActions(now);
	}

	/**
	 * Handles a change of the backend server that belongs to this daemon.
	 * @param phase the new phase of this member
	 * @param backend the server, if there is one
	 * @param now current time, milliseconds
	 * @return the actions to execute
	 */
	public List<OwnershipAction> onBackendChanged(MemberPhase phase, Optional<MemberInfo.Backend> backend, long now) {
		this.parts.me = new MemberInfo(this.parts.me.key(), this.parts.me.domain(), this.parts.me.address(),
				(this.parts.leaving) ? MemberPhase.LEAVING : phase, backend.or(this.parts.me::backend));
		if (phase == MemberPhase.ACTIVE) {
			this.parts.backendLostAt = Optional.empty();
		}
		return takeActions(now);
	}

	/**
	 * Handles the loss of the backend server: its ranges are released as soon as the
	 * table answers, without waiting for the primary's request.
	 * @param now current time, milliseconds
	 * @return the actions to execute
	 */
	public List<OwnershipAction> onBackendLost(long now) {
		if (this.parts.backendLostAt.isEmpty()) {
			this.parts.backendLostAt = Optional.of(now);
			this.rowHandler.readIfDue(now);
		}
		return takeActions(now);
	}

	/**
	 * Reports that no request for a range is in flight any longer.
	 * @param held the range
	 * @param marks the crash marks of the range
	 * @param now current time, milliseconds
	 * @return the actions to execute
	 */
	public List<OwnershipAction> onDrained(HeldRange held, List<CrashMark> marks, long now) {
		this.parts.lease.onDrained(held, marks);
		this.memberRole.sendReleased(this.parts.lease.released());
		return takeActions(now);
	}

	/**
	 * Reports the load of the held ranges to the primary.
	 * @param loads the loads
	 * @param now current time, milliseconds
	 * @return the actions to execute
	 */
	public List<OwnershipAction> reportLoads(ControlMessage.Loads loads, long now) {
		this.parts.lease.known()
			.row()
			.managers()
			.ifPresent((pair) -> this.parts.outbox.send(pair.primary().instance(), loads));
		return takeActions(now);
	}

	/**
	 * Starts to leave the cell: hands over the role of a manager first, then the owned
	 * ranges.
	 * @param now current time, milliseconds
	 * @return the actions to execute, ending with {@link OwnershipAction.Left} in a later
	 * step when everything has been handed over
	 */
	public List<OwnershipAction> leave(long now) {
		this.parts.leaving = true;
		this.parts.me = this.parts.me.withPhase(MemberPhase.LEAVING);
		if (!this.parts.lease.known().row().has(this.parts.me.key()) && !this.parts.manager.isActive()) {
			this.parts.left = true;
			this.parts.outbox.add(new OwnershipAction.Left());
		}
		return takeActions(now);
	}

	/**
	 * Sets the version of the configuration document that heartbeats report.
	 * @param version the version in force in this process
	 */
	public void setDocumentVersion(long version) {
		this.parts.documentVersion = version;
	}

	/**
	 * Sets the operators' weights of the measures.
	 * @param weights the weights of the document in force
	 */
	public void setWeights(PlacementWeights weights) {
		this.parts.placement = this.parts.placement.withWeights(weights);
	}

	private List<OwnershipAction> takeActions(long now) {
		List<OwnershipAction> actions = new ArrayList<>();
		for (Optional<OwnershipAction> next = this.parts.outbox.next(); next
			.isPresent(); next = this.parts.outbox.next()) {
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
