package org.brasspier.core.ownership;

import java.util.List;
import java.util.Optional;

/**
 * The components and state of one process, shared by the classes that handle its steps.
 * Not thread-safe; cheap to copy.
 */
final class ProcessParts {

	final Timing timing;

	final EnabledGuards guards;

	final MemberLease lease;

	final LeaseManager manager;

	final RowAccess rowAccess;

	final PrimaryState primaryState;

	final Takeover takeover;

	final Timers timers;

	final Outbox outbox = new Outbox();

	PrimaryState.Placement placement;

	MemberInfo me;

	long managerHeardAt;

	long documentVersion;

	/**
	 * Time at which the backend server was lost, while its ranges are still to be
	 * released.
	 */
	Optional<Long> backendLostAt = Optional.empty();

	/**
	 * Time from which this manager has not heard the other one and intends to replace it.
	 */
	Optional<Long> peerSilentSince = Optional.empty();

	boolean leaving;

	boolean left;

	ProcessParts(MemberInfo me, Timing timing, PrimaryState.Placement placement, EnabledGuards guards, long now) {
		this.me = me;
		this.timing = timing;
		this.guards = guards;
		this.placement = placement;
		this.lease = new MemberLease(me.key(), guards);
		this.manager = new LeaseManager(me.key(), timing, guards);
		this.rowAccess = new RowAccess();
		this.primaryState = new PrimaryState();
		this.takeover = new Takeover(me.key(), timing);
		this.timers = new Timers();
		this.managerHeardAt = now;
	}

	private ProcessParts(ProcessParts other) {
		this.me = other.me;
		this.timing = other.timing;
		this.guards = other.guards;
		this.placement = other.placement;
		this.lease = other.lease.copy();
		this.manager = other.manager.copy();
		this.rowAccess = other.rowAccess.copy();
		this.primaryState = other.primaryState.copy();
		this.takeover = other.takeover.copy();
		this.timers = other.timers.copy();
		this.managerHeardAt = other.managerHeardAt;
		this.documentVersion = other.documentVersion;
		this.backendLostAt = other.backendLostAt;
		this.peerSilentSince = other.peerSilentSince;
		this.leaving = other.leaving;
		this.left = other.left;
	}

	ProcessParts copy() {
		return new ProcessParts(this);
	}

	List<Object> state() {
		return List.of(this.lease.state(), this.manager.state(), this.rowAccess.state(), this.primaryState.state(),
				this.takeover.state(), this.timers.state(), this.me, this.managerHeardAt, this.backendLostAt,
				this.peerSilentSince, this.leaving, this.left);
	}

	OwnershipState view() {
		return new OwnershipState(this.me, this.lease.known(), this.lease.held(), this.lease.draining(),
				this.lease.leaseEnd(), this.primaryState.moves(), this.manager.lastHeartbeats(),
				this.rowAccess.isReachable());
	}

	VersionedRow known() {
		return this.lease.known();
	}

	CellRow row() {
		return this.lease.known().row();
	}

	void sendBeat(long now) {
		this.outbox.send(this.manager.peer().orElseThrow().instance(),
				this.manager.beat(this.lease.known().version(), now));
	}

}
