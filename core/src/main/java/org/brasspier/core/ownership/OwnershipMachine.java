package org.brasspier.core.ownership;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.brasspier.core.InstanceId;
import org.brasspier.core.event.EventKind;
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

	private static final long READ_MANAGER_MILLIS = 1000;

	private static final long READ_MEMBER_MILLIS = 500;

	private static final long REPEAT_MILLIS = 200;

	private static final long EPOCH_TRY_MILLIS = 500;

	private static final long PUSH_MILLIS = 100;

	private static final long TAKEOVER_TRY_MILLIS = 300;

	private final Timing timing;

	private final Guards guards;

	private PrimaryMemory.Placement placement;

	private final MemberLease lease;

	private final LeaseManager manager;

	private final RowAccess access;

	private final PrimaryMemory memory;

	private final Takeover takeover;

	private final Timers timers;

	private final Outbox out;

	private MemberInfo me;

	private long managerHeardAt;

	private long document;

	private boolean leaving;

	private boolean left;

	/**
	 * Creates the machine of a process that has just started.
	 * @param me what the process says of itself
	 * @param timing the times
	 * @param placement decides what goes where
	 * @param now the time
	 */
	public OwnershipMachine(MemberInfo me, Timing timing, PlacementPolicy placement, long now) {
		this(me, timing, new PrimaryMemory.Placement(placement, PlacementWeights.EQUAL, INITIAL_RANGES), Guards.ALL_ON,
				now);
	}

	OwnershipMachine(MemberInfo me, Timing timing, PrimaryMemory.Placement placement, Guards guards, long now) {
		this.me = me;
		this.timing = timing;
		this.guards = guards;
		this.placement = placement;
		this.lease = new MemberLease(me.key(), guards);
		this.manager = new LeaseManager(me.key(), timing, guards);
		this.access = new RowAccess();
		this.memory = new PrimaryMemory();
		this.takeover = new Takeover(me.key(), timing);
		this.timers = new Timers();
		this.out = new Outbox();
		this.managerHeardAt = now;
	}

	private OwnershipMachine(OwnershipMachine other) {
		this.me = other.me;
		this.timing = other.timing;
		this.guards = other.guards;
		this.placement = other.placement;
		this.lease = other.lease.copy();
		this.manager = other.manager.copy();
		this.access = other.access.copy();
		this.memory = other.memory.copy();
		this.takeover = other.takeover.copy();
		this.timers = other.timers.copy();
		this.out = new Outbox();
		this.managerHeardAt = other.managerHeardAt;
		this.document = other.document;
		this.leaving = other.leaving;
		this.left = other.left;
	}

	OwnershipMachine copy() {
		return new OwnershipMachine(this);
	}

	List<Object> state() {
		return List.of(this.lease.state(), this.manager.state(), this.access.state(), this.memory.state(),
				this.takeover.state(), this.timers.state(), this.me, this.managerHeardAt, this.leaving, this.left);
	}

	/**
	 * What this process may serve and until when, and what it knows.
	 * @return a view that is valid until the next step
	 */
	public OwnershipState view() {
		return new OwnershipState(this.me, this.lease.known(), this.lease.held(), this.lease.draining(),
				this.lease.leaseEnd(), this.memory.moves(), this.manager.heardAt(), this.access.reachable());
	}

	/**
	 * Does what is due. Called some ten times in each heartbeat's span.
	 * @param now the time
	 * @return what is to be done
	 */
	public List<OwnershipAction> tick(long now) {
		if (this.left) {
			return List.of();
		}
		noteLapse(now);
		this.access.settle(now).ifPresent(this.out::add);
		readIfDue(now);
		memberWork(now);
		if (this.manager.active()) {
			managerWork(now);
		}
		else {
			lookForManagers(now);
		}
		return finish(now);
	}

	private void noteLapse(long now) {
		if (this.timers.leaseRan() && !this.lease.valid(now)) {
			this.out.tell(EventKind.LEASE_LAPSED, this.me.instance(), "epoch " + this.lease.epoch());
		}
		this.timers.leaseRuns(this.lease.valid(now));
	}

	private void readIfDue(long now) {
		boolean silent = now - this.managerHeardAt > this.takeover.patience();
		long every = (this.manager.lone()) ? this.timing.authority() / 3
				: (this.manager.active()) ? READ_MANAGER_MILLIS : READ_MEMBER_MILLIS;
		boolean wanted = this.manager.active() || silent || this.lease.known().version() == 0
				|| !this.lease.known().row().has(this.me.key());
		if (wanted && this.timers.readDue(now, every)) {
			this.access.read(now).ifPresent(this.out::add);
		}
	}

	private void memberWork(long now) {
		CellRow row = this.lease.known().row();
		boolean shown = row.member(this.me.instance()).filter(this.me::equals).isPresent();
		if (!shown && row.managers().isPresent() && this.timers.announceDue(now, REPEAT_MILLIS)) {
			toManagers(row, new ControlMessage.Announce(this.me));
		}
		if (row.has(this.me.key()) && this.timers.heartbeatDue(now, this.timing.heartbeat())) {
			heartbeat(row, now);
		}
		List<ControlMessage.ReleasedRange> released = this.lease.released();
		if (!released.isEmpty() && this.timers.releasedDue(now, REPEAT_MILLIS)) {
			sendReleased(released);
		}
	}

	private void heartbeat(CellRow row, long now) {
		ControlMessage heartbeat = new ControlMessage.Heartbeat(this.me.key().incarnation(), now, row.epoch(),
				this.lease.known().version(), this.lease.leaseLeft(now), this.document);
		List<MemberKey> renewers = row.managers()
			.stream()
			.flatMap(ManagerPair::managers)
			.filter((key) -> !key.equals(this.me.key()) || !this.guards.on(Guard.MANAGER_RENEWED_BY_PEER))
			.toList();
		this.timers.heartbeatTurn(renewers).forEach((key) -> this.out.send(key.instance(), heartbeat));
	}

	private void toManagers(CellRow row, ControlMessage message) {
		row.managers().stream().flatMap(ManagerPair::managers).forEach((key) -> this.out.send(key.instance(), message));
	}

	private void sendReleased(List<ControlMessage.ReleasedRange> released) {
		ControlMessage message = new ControlMessage.Released(this.me.key().incarnation(), released);
		this.lease.known().row().managers().ifPresent((pair) -> this.out.send(pair.primary().instance(), message));
	}

	private void managerWork(long now) {
		CellRow row = this.lease.known().row();
		if (this.manager.peer().isPresent() && this.timers.beatDue(now, this.timing.beat())) {
			beat(now);
		}
		// Two managers that suspected each other while the table was down confirm nobody
		// any
		// more in this epoch, even once they hear each other: only another epoch helps.
		boolean stopped = this.manager.peer().isPresent() && this.manager.stopped();
		if (stopped || this.manager.peerSilent(row, now)) {
			replacePeer(row, now);
		}
		else if (this.manager.primary()) {
			primaryWork(row, now);
		}
		else if (row.challenger().isPresent() && this.access.idle(now)) {
			propose(row.challengedBy(Optional.empty()), now);
		}
	}

	private void beat(long now) {
		this.out.send(this.manager.peer().orElseThrow().instance(),
				this.manager.beat(this.lease.known().version(), now));
	}

	private void replacePeer(CellRow row, long now) {
		if (!this.manager.stopped()) {
			this.out.tell(EventKind.MANAGER_SUSPECTED, this.manager.peer().orElseThrow().instance(),
					"epoch " + this.manager.epoch());
		}
		this.manager.stopConfirming();
		if (this.access.idle(now)) {
			propose(row.nextEpoch(this.me.key(), this.manager.candidate(row, now).map(MemberInfo::key), row.unclosed()),
					now);
		}
	}

	private void primaryWork(CellRow row, long now) {
		List<MemberKey> silent = this.manager.revokeSilent(row, now);
		if (!silent.isEmpty()) {
			silent.forEach((key) -> this.out.tell(EventKind.MEMBER_SUSPECTED, key.instance(), "silent"));
			this.manager.peer().ifPresent((peer) -> beat(now));
		}
		if (!this.access.idle(now)) {
			return;
		}
		Optional<CellRow> epoch = epochChange(row, now);
		if (epoch.isPresent()) {
			this.manager.stopConfirming();
			propose(epoch.get(), now);
			return;
		}
		plan(now);
		askToRelease(now);
	}

	// A planned change of managers: this one leaves, the other one leaves, or there is
	// none yet.
	private Optional<CellRow> epochChange(CellRow row, long now) {
		Optional<MemberInfo> peer = this.manager.peer().flatMap((key) -> row.member(key.instance()));
		if (!this.access.quick()) {
			// A planned change costs both managers their confirmation while it's written,
			// so
			// it waits while the table is slow.
			return Optional.empty();
		}
		boolean peerStays = peer.filter((member) -> member.phase() != MemberPhase.LEAVING).isPresent();
		Optional<MemberInfo> candidate = this.manager.candidate(row, now);
		if (this.leaving) {
			Optional<MemberInfo> successor = (peerStays) ? peer : candidate;
			return successor
				.map((next) -> row.nextEpoch(next.key(),
						candidate.map(MemberInfo::key).filter((key) -> !key.equals(next.key())), row.unclosed()))
				.or(() -> lastOneLeaves(row));
		}
		boolean wanted = (this.manager.lone()) ? candidate.isPresent() : peer.isPresent() && !peerStays;
		return (wanted && this.timers.epochDue(now, EPOCH_TRY_MILLIS))
				? Optional.of(row.nextEpoch(this.me.key(), candidate.map(MemberInfo::key), row.unclosed()))
				: Optional.empty();
	}

	private Optional<CellRow> lastOneLeaves(CellRow row) {
		boolean alone = row.members().stream().allMatch((member) -> member.key().equals(this.me.key()));
		return (alone && row.ownedBy(this.me.instance()).isEmpty())
				? Optional.of(row.withoutMember(this.me.instance()).abandoned()) : Optional.empty();
	}

	private void plan(long now) {
		this.memory.announced(this.me, now);
		boolean balance = this.timers.balanceDue(now);
		VersionedRow known = this.lease.known();
		PlanFacts facts = this.memory.facts(known, this.manager, this.placement, balance, now);
		RowPlanner.Plan plan = new RowPlanner(facts).plan();
		this.memory.moves(plan.moves());
		if (!plan.row().equals(known.row())) {
			facts.lost()
				.forEach((key) -> this.out.tell(EventKind.MEMBER_LOST, key.instance(),
						"%d ranges".formatted(known.row().ownedBy(key.instance()).size())));
			this.memory.forget(facts.lost());
			propose(plan.row(), now);
		}
	}

	private void askToRelease(long now) {
		// While the table is down a range that was let go of would be served by nobody.
		if (this.memory.moves().isEmpty() || !this.access.reachable() || !this.timers.releaseDue(now, PUSH_MILLIS)) {
			return;
		}
		for (MemberInfo member : this.lease.known().row().members()) {
			List<HeldRange> wanted = this.lease.known()
				.row()
				.ownedBy(member.instance())
				.stream()
				.map(RangeState::held)
				.filter((held) -> this.memory.moves().stream().anyMatch((move) -> move.held().equals(held)))
				.filter((held) -> !this.memory.isReleased(held))
				.toList();
			if (!wanted.isEmpty()) {
				this.out.send(member.instance(), new ControlMessage.Release(wanted));
			}
		}
	}

	private void lookForManagers(long now) {
		CellRow row = this.lease.known().row();
		long silentFor = now - this.managerHeardAt;
		if (this.lease.known().version() == 0 || this.leaving) {
			return;
		}
		if (silentFor > this.takeover.patience() && this.timers.probeDue(now, Takeover.PROBE_MILLIS)) {
			row.members()
				.stream()
				.map(MemberInfo::instance)
				.filter((instance) -> !instance.equals(this.me.instance()))
				.forEach((instance) -> this.out.send(instance, new ControlMessage.Probe()));
		}
		Optional<CellRow> attempt = this.takeover.attempt(row, silentFor, now);
		if (attempt.isPresent() && this.access.idle(now) && this.timers.takeoverDue(now, TAKEOVER_TRY_MILLIS)) {
			this.out.tell(EventKind.TAKEOVER_TRIED, this.me.instance(), "silent for %d ms".formatted(silentFor));
			propose(attempt.get(), now);
		}
	}

	private void propose(CellRow row, long now) {
		long version = this.lease.known().version();
		this.out.add(this.access.propose(version, row, now));
		if (!this.guards.on(Guard.TOLD_AFTER_WRITTEN)) {
			adopt(new VersionedRow(version + 1, row), now);
		}
	}

	/**
	 * A message came.
	 * @param from who sent it
	 * @param message the message
	 * @param now the time
	 * @return what is to be done
	 */
	public List<OwnershipAction> received(InstanceId from, ControlMessage message, long now) {
		if (!this.left) {
			handle(from, message, now);
		}
		return finish(now);
	}

	private void handle(InstanceId from, ControlMessage message, long now) {
		switch (message) {
			case ControlMessage.Heartbeat heartbeat -> heartbeat(from, heartbeat, now);
			case ControlMessage.Renewal renewal -> renewal(from, renewal, now);
			case ControlMessage.Beat beat -> beat(from, beat, now);
			case ControlMessage.BeatAnswer answer -> beatAnswer(from, answer, now);
			case ControlMessage.RowUpdate update -> adopt(update.row(), now);
			case ControlMessage.Announce announce -> announce(from, announce, now);
			case ControlMessage.Release release -> release(release.ranges());
			case ControlMessage.Released released -> this.memory.released(from, released, this.lease.known().row());
			case ControlMessage.Loads loads -> this.memory.loads(loads, this.lease.known().row());
			case ControlMessage.Probe probe -> answerProbe(from, now);
			case ControlMessage.ProbeAnswer answer -> this.takeover.answered(from, answer, now);
			case ControlMessage.OrderSent order -> order(from, order, now);
			case ControlMessage.OrderAnswer answer ->
				this.out.add(new OwnershipAction.OrderDone(answer.number(), answer.accepted(), answer.detail()));
		}
	}

	private void heartbeat(InstanceId from, ControlMessage.Heartbeat heartbeat, long now) {
		MemberKey key = new MemberKey(from, heartbeat.incarnation());
		VersionedRow known = this.lease.known();
		if (this.manager.active()) {
			long span = this.manager.renew(key, heartbeat, known.row(), this.access.unsettled(), now);
			this.out.send(from, new ControlMessage.Renewal(heartbeat.incarnation(), heartbeat.sentAt(),
					this.manager.epoch(), this.manager.minVersion(), span, this.document));
		}
		if (heartbeat.version() > known.version()) {
			this.access.read(now).ifPresent(this.out::add);
		}
		pushIfBehind(from, heartbeat.version(), now);
	}

	private void pushIfBehind(InstanceId to, long version, long now) {
		if (version < this.lease.known().version() && this.timers.pushDue(to, now, PUSH_MILLIS)) {
			this.out.send(to, new ControlMessage.RowUpdate(this.lease.known()));
		}
	}

	private void renewal(InstanceId from, ControlMessage.Renewal renewal, long now) {
		boolean before = this.lease.valid(now);
		if (renewal.epoch() >= this.lease.epoch()) {
			this.managerHeardAt = now;
		}
		if (this.lease.renew(renewal, now)) {
			this.timers.leaseRuns(true);
			this.out.publish();
			if (!before) {
				this.out.tell(EventKind.LEASE_GRANTED, this.me.instance(),
						"epoch %d by %s".formatted(renewal.epoch(), from));
			}
		}
	}

	private void beat(InstanceId from, ControlMessage.Beat beat, long now) {
		this.manager.answer(new MemberKey(from, beat.incarnation()), beat, now)
			.ifPresent((answer) -> this.out.send(from, answer));
		if (beat.version() > this.lease.known().version()) {
			this.access.read(now).ifPresent(this.out::add);
		}
		pushIfBehind(from, beat.version(), now);
	}

	private void beatAnswer(InstanceId from, ControlMessage.BeatAnswer answer, long now) {
		boolean mine = answer.incarnation() == this.me.key().incarnation();
		this.manager.peer()
			.filter((peer) -> mine && peer.instance().equals(from))
			.ifPresent((peer) -> this.manager.confirmed(peer, answer, now));
	}

	private void announce(InstanceId from, ControlMessage.Announce announce, long now) {
		if (!this.manager.active() || !announce.member().instance().equals(from)) {
			return;
		}
		this.memory.announced(announce.member(), now);
		CellRow row = this.lease.known().row();
		row.unclosed()
			.stream()
			.filter((old) -> old.find(from).filter((key) -> !key.equals(announce.member().key())).isPresent())
			.forEach((old) -> this.manager.closes(old, now));
		if (row.member(from).filter(announce.member()::equals).isPresent()) {
			pushIfBehind(from, 0, now);
		}
	}

	private void release(List<HeldRange> ranges) {
		List<HeldRange> begun = this.lease.drain(ranges);
		if (!begun.isEmpty()) {
			this.out.publish();
			begun.forEach((held) -> this.out.add(new OwnershipAction.Drain(held)));
		}
		List<ControlMessage.ReleasedRange> again = this.lease.released()
			.stream()
			.filter((range) -> ranges.contains(range.held()))
			.toList();
		if (!again.isEmpty()) {
			sendReleased(again);
		}
	}

	private void answerProbe(InstanceId from, long now) {
		long heardAgo = (this.manager.active()) ? 0 : now - this.managerHeardAt;
		this.out.send(from, new ControlMessage.ProbeAnswer(this.me.key().incarnation(), this.lease.epoch(), heardAgo));
	}

	private void order(InstanceId from, ControlMessage.OrderSent sent, long now) {
		OrderDesk desk = new OrderDesk(this.lease.known(), this.manager, this.memory, this.access);
		OrderDesk.Answer answer = desk.take(sent.order(), now);
		this.out.send(from, new ControlMessage.OrderAnswer(sent.number(), answer.accepted(), answer.detail()));
	}

	/**
	 * An operator gave an order at this daemon.
	 * @param number a number to recognise the answer by
	 * @param order the order
	 * @param now the time
	 * @return what is to be done
	 */
	public List<OwnershipAction> order(long number, ControlMessage.Order order, long now) {
		Optional<ManagerPair> pair = this.lease.known().row().managers();
		if (pair.isPresent()) {
			this.out.send(pair.get().primary().instance(), new ControlMessage.OrderSent(number, order));
		}
		else {
			this.out.add(new OwnershipAction.OrderDone(number, false, "the cell has no lease manager yet"));
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
		Optional<OwnershipAction> again = this.access.readDone(row.version(), now);
		again.ifPresent(this.out::add);
		adopt(row, now);
		confirmedByTable(row.row(), this.access.readSentAt(), now);
		if (row.version() == 0 && again.isEmpty() && this.access.idle(now) && !this.leaving) {
			propose(CellRow.EMPTY.nextEpoch(this.me.key(), Optional.empty(), List.of()), now);
		}
		return finish(now);
	}

	private void confirmedByTable(CellRow row, long sentAt, long now) {
		if (!this.manager.active() || row.epoch() != this.manager.epoch()) {
			return;
		}
		this.manager.tableShows(sentAt);
		boolean alone = this.manager.lone() && row.has(this.me.key());
		if (alone && this.lease.extend(sentAt, Math.min(this.timing.lease(), this.timing.authority()), now)) {
			this.managerHeardAt = now;
			this.timers.leaseRuns(true);
			this.out.publish();
		}
	}

	/**
	 * The row could not be read.
	 * @param now the time
	 * @return what is to be done
	 */
	public List<OwnershipAction> readFailed(long now) {
		this.access.readFailed(now);
		return finish(now);
	}

	/**
	 * The write took effect.
	 * @param version the row's new version
	 * @param now the time
	 * @return what is to be done
	 */
	public List<OwnershipAction> written(long version, long now) {
		CellRow row = this.access.written();
		adopt(new VersionedRow(version, row), now);
		confirmedByTable(row, this.access.writeSentAt(), now);
		return finish(now);
	}

	/**
	 * The row had another version.
	 * @param now the time
	 * @return what is to be done
	 */
	public List<OwnershipAction> writeConflict(long now) {
		this.access.conflict();
		this.access.settle(now).ifPresent(this.out::add);
		return finish(now);
	}

	/**
	 * The write's answer was lost.
	 * @param now the time
	 * @return what is to be done
	 */
	public List<OwnershipAction> writeUnknown(long now) {
		this.access.writeUnknown(now);
		this.out.tell(EventKind.WRITE_UNKNOWN, this.me.instance(), "reading the row back");
		return finish(now);
	}

	/**
	 * The write certainly had no effect.
	 * @param now the time
	 * @return what is to be done
	 */
	public List<OwnershipAction> writeFailed(long now) {
		this.access.writeFailed(now);
		return finish(now);
	}

	private void adopt(VersionedRow row, long now) {
		RowChange change = new RowChange(this.me.key(), this.lease.known(), row);
		if (!this.lease.adopt(row)) {
			return;
		}
		change.marks().forEach(this.out::add);
		this.out.publish();
		change.events().forEach(this.out::add);
		this.takeover.adopt(row.row(), now);
		if (change.newEpoch()) {
			this.managerHeardAt = now;
		}
		boolean newPair = this.manager.adopt(row, now);
		if (newPair) {
			this.memory.begin(row.row(), now);
		}
		this.memory.adopt(row, now);
		this.timers.rowChanged();
		if (this.manager.primary()) {
			pushToAll(row);
		}
		if (newPair && this.manager.peer().isPresent()) {
			beat(now);
		}
		this.left = this.leaving && !row.row().has(this.me.key()) && !this.manager.active();
		if (this.left) {
			this.out.add(new OwnershipAction.Left());
		}
	}

	private void pushToAll(VersionedRow row) {
		row.row()
			.members()
			.stream()
			.map(MemberInfo::instance)
			.filter((instance) -> !instance.equals(this.me.instance()))
			.forEach((instance) -> this.out.send(instance, new ControlMessage.RowUpdate(row)));
	}

	/**
	 * The backend server beside this daemon changed.
	 * @param phase what may be done with it
	 * @param backend the server, if there is one
	 * @param now the time
	 * @return what is to be done
	 */
	public List<OwnershipAction> backend(MemberPhase phase, Optional<MemberInfo.Backend> backend, long now) {
		this.me = new MemberInfo(this.me.key(), this.me.domain(), this.me.address(),
				(this.leaving) ? MemberPhase.LEAVING : phase, backend.or(this.me::backend));
		return finish(now);
	}

	/**
	 * The backend server is gone for certain: its ranges are let go of at once instead of
	 * when the primary asks for them.
	 * @param now the time
	 * @return what is to be done
	 */
	public List<OwnershipAction> backendLost(long now) {
		release(this.lease.held().stream().map(RangeState::held).toList());
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
		this.lease.drained(held, marks);
		sendReleased(this.lease.released());
		return finish(now);
	}

	/**
	 * The load of the ranges held, for the primary.
	 * @param loads the loads
	 * @param now the time
	 * @return what is to be done
	 */
	public List<OwnershipAction> loads(ControlMessage.Loads loads, long now) {
		this.lease.known().row().managers().ifPresent((pair) -> this.out.send(pair.primary().instance(), loads));
		return finish(now);
	}

	/**
	 * Begins to leave: what is owned is handed over, a manager's role first.
	 * @param now the time
	 * @return what is to be done, with {@link OwnershipAction.Left} at the end of it all
	 */
	public List<OwnershipAction> leave(long now) {
		this.leaving = true;
		this.me = this.me.in(MemberPhase.LEAVING);
		if (!this.lease.known().row().has(this.me.key()) && !this.manager.active()) {
			this.left = true;
			this.out.add(new OwnershipAction.Left());
		}
		return finish(now);
	}

	/**
	 * Sets the version of the configuration document that goes with heartbeats.
	 * @param version the version in force in this process
	 */
	public void document(long version) {
		this.document = version;
	}

	/**
	 * Sets how the operators weigh the measures.
	 * @param weights the weights of the document in force
	 */
	public void weights(PlacementWeights weights) {
		this.placement = this.placement.weighing(weights);
	}

	private List<OwnershipAction> finish(long now) {
		List<OwnershipAction> actions = new ArrayList<>();
		for (Optional<OwnershipAction> next = this.out.next(); next.isPresent(); next = this.out.next()) {
			if (next.get() instanceof OwnershipAction.Send send && send.to().equals(this.me.instance())) {
				handle(this.me.instance(), send.message(), now);
			}
			else {
				actions.add(next.get());
			}
		}
		return actions;
	}

}
