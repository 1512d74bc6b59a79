package org.brasspier.core.ownership;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import java.util.stream.Stream;

import org.brasspier.core.InstanceId;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests which member serves each range in a cell of four after one fault, and how soon.
 */
class OwnershipMachineTests {

	private static final int RANGES = 8;

	/** Longer than the silence after which a lease manager suspects the other one. */
	private static final long PARTITION_MILLIS = 400;

	private static final long ONE_SECOND = 1000;

	private final CellModel cell = new CellModel(CellModel.Setup.standard(RANGES), 7);

	@BeforeEach
	void fourMembers() {
		List.of("a", "b", "c", "d").forEach((name) -> this.cell.start(name, "domain-" + name, 1000));
		this.cell.runUntil(10_000, () -> this.cell.allServed() && this.cell.storedRow.row().members().size() == 4
				&& this.cell.storedRow.row().managers().flatMap(ManagerPair::secondary).isPresent());
		this.cell.run(ONE_SECOND);
		this.cell.spreadRanges();
	}

	private void assertConsistentAndServed() {
		assertThat(this.cell.violations).isEmpty();
		assertThat(this.cell.allServed()).isTrue();
	}

	@Test
	void afterTheStartEachRangeIsServedAndThereAreTwoManagers() {
		assertConsistentAndServed();
		assertThat(this.cell.storedRow.row().managers().orElseThrow().secondary()).isPresent();
	}

	// Guards against requests that fail for more than a second after a daemon and its
	// server are lost. The managers stop hearing the member, promise not to renew it,
	// wait for its lease to expire and reassign its ranges.
	@Test
	void theRangesOfALostMemberAreServedAgainWithinASecond() {
		this.cell.kill(this.cell.nonManager());
		this.cell.run(1);
		assertThat(this.cell.runUntil(10_000, this.cell::allServed)).isLessThan(ONE_SECOND);
		assertConsistentAndServed();
	}

	// Guards against a restarted instance that gets no ranges for the rest of the epoch:
	// its previous incarnation was still suspected of being silent, and a suspected
	// member gets no ranges. Here the daemon is restarted one minute after its loss.
	@Test
	void aMemberThatIsRestartedAfterALossGetsRangesAgain() {
		ModelProcess lost = this.cell.nonManager();
		this.cell.kill(lost);
		this.cell.run(60 * ONE_SECOND);
		assertConsistentAndServed();
		ModelProcess restarted = this.cell.start(lost.instance.value(), "domain-" + lost.instance, 1000);
		this.cell.run(5 * ONE_SECOND);
		this.cell.spreadRanges();
		this.cell.run(5 * ONE_SECOND);
		assertThat(restarted.serves(this.cell.now)).isNotEmpty();
		assertConsistentAndServed();
	}

	// Guards against a needless epoch after a daemon was lost and restarted at once.
	// While its previous incarnation is in the row, it waits to become a member; it
	// counted this wait as silence of the managers and, with no other member to ask,
	// replaced two healthy ones.
	@Test
	void aDaemonThatWaitedForItsPreviousIncarnationToLeaveTheRowDoesNotReplaceTheManagers() {
		this.cell.kill(this.cell.nonManager());
		this.cell.run(3 * ONE_SECOND);
		long epoch = this.cell.storedRow.row().epoch();
		for (int i = 0; i < 6; i++) {
			this.cell.run(CellModel.TICK_MILLIS);
			ModelProcess lost = this.cell.nonManager();
			this.cell.kill(lost);
			ModelProcess restarted = this.cell.start(lost.instance.value(), "domain-" + lost.instance, 1000);
			this.cell.run(3 * ONE_SECOND);
			assertConsistentAndServed();
			assertThat(this.cell.storedRow.row().has(restarted.machine.view().me().key())).isTrue();
			assertThat(this.cell.storedRow.row().epoch()).isEqualTo(epoch);
		}
	}

	// Guards against requests that fail for more than a second after the primary is lost.
	// The secondary first has to replace it.
	@Test
	void theRangesOfALostPrimaryAreServedAgainWithinASecond() {
		this.cell.kill(this.cell.primary());
		this.cell.run(1);
		assertThat(this.cell.runUntil(10_000, this.cell::allServed)).isLessThan(ONE_SECOND);
		assertConsistentAndServed();
	}

	@Test
	void theRangesOfALostSecondaryAreServedAgainWithinASecond() {
		this.cell.kill(this.cell.secondary());
		this.cell.run(1);
		assertThat(this.cell.runUntil(10_000, this.cell::allServed)).isLessThan(ONE_SECOND);
		assertConsistentAndServed();
	}

	// Guards against a member that loses its ranges in a short pause because it reaches
	// only one of the managers, as in a partial partition. If it waited for that
	// manager's turn, it would be renewed only every second heartbeat. An unanswered
	// heartbeat is followed by one to the other manager.
	@Test
	void aHeartbeatThatIsNotAnsweredIsFollowedByOneToTheOtherManager() {
		ModelProcess member = this.cell.nonManager();
		long startedAt = member.clock(this.cell.now);
		Timing timing = Timing.STANDARD;
		List<InstanceId> receivers = LongStream
			.iterate(startedAt, (now) -> now < startedAt + timing.lease(), (now) -> now + 25)
			.boxed()
			.flatMap((now) -> member.machine.tick(now).stream())
			.flatMap((action) -> (action instanceof OwnershipAction.Send send
					&& send.message() instanceof ControlMessage.Heartbeat) ? Stream.of(send.to()) : Stream.empty())
			.toList();
		assertThat(receivers.size()).isAtLeast((int) (2 * timing.lease() / timing.heartbeat()) - 1);
		assertThat(receivers).containsAtLeast(this.cell.primary().instance, this.cell.secondary().instance);
		assertThat(IntStream.range(1, receivers.size()).noneMatch((i) -> receivers.get(i).equals(receivers.get(i - 1))))
			.isTrue();
	}

	// Guards against a member that routes callers to a former owner because its
	// connection broke during a move and it missed one difference. The next difference
	// does not apply to its row, so it must request the whole row.
	@Test
	void aMemberThatMissedADifferenceRequestsTheWholeRow() {
		ModelProcess member = this.cell.nonManager();
		VersionedRow known = member.machine.view().known();
		VersionedRow missed = new VersionedRow(known.version() + 1, known.row());
		VersionedRow next = new VersionedRow(known.version() + 2, known.row().withDrained(Set.of(member.instance)));
		InstanceId primary = this.cell.primary().instance;
		long now = member.clock(this.cell.now);
		assertThat(member.machine.onMessage(primary, new ControlMessage.RowDifference(RowDelta.between(missed, next)),
				now))
			.contains(new OwnershipAction.Send(primary, new ControlMessage.RowRequest(known.version())));
		member.machine.onMessage(primary, new ControlMessage.RowUpdate(next), now);
		assertThat(member.machine.view().known()).isEqualTo(next);
	}

	// The table is unavailable for five minutes. The managers keep renewing the owners'
	// leases, and the owners keep serving.
	@Test
	void ownersServeThroughALongOutageOfTheTable() {
		this.cell.storeDown = true;
		for (int i = 0; i < 300; i++) {
			this.cell.run(ONE_SECOND);
			assertThat(this.cell.allServed()).isTrue();
		}
		this.cell.storeDown = false;
		this.cell.run(5 * ONE_SECOND);
		assertConsistentAndServed();
	}

	// Guards against rejecting all callers for the rest of a table outage because the two
	// managers did not hear each other for less than half a second, as on a busy machine.
	// They stopped confirming each other for the rest of the epoch, and without the table
	// there was no new epoch.
	@Test
	void managersThatMissEachOtherForAMomentContinueThroughATableOutage() {
		ModelProcess primary = this.cell.primary();
		ModelProcess secondary = this.cell.secondary();
		this.cell.storeDown = true;
		this.cell.run(ONE_SECOND);
		this.cell.brokenLinks.add(primary.instance + ">" + secondary.instance);
		this.cell.brokenLinks.add(secondary.instance + ">" + primary.instance);
		this.cell.run(PARTITION_MILLIS);
		this.cell.brokenLinks.clear();
		this.cell.run(ONE_SECOND);
		for (int i = 0; i < 60; i++) {
			this.cell.run(ONE_SECOND);
			assertThat(this.cell.allServed()).isTrue();
		}
		this.cell.storeDown = false;
		this.cell.run(5 * ONE_SECOND);
		assertConsistentAndServed();
	}

	// Guards against ranges without an owner for a whole table outage after a server was
	// silent for a moment: its ranges were released at once, although no member could get
	// them. They are now released only once the table answers.
	@Test
	void theRangesOfALostServerAreReleasedOnlyOnceTheTableAnswers() {
		ModelProcess member = this.cell.nonManager();
		this.cell.storeDown = true;
		this.cell.run(member,
				member.machine.onBackendChanged(MemberPhase.DRAINING, Optional.empty(), member.clock(this.cell.now)));
		this.cell.run(member, member.machine.onBackendLost(member.clock(this.cell.now)));
		this.cell.run(5 * ONE_SECOND);
		assertConsistentAndServed();
		this.cell.storeDown = false;
		this.cell.run(2 * ONE_SECOND);
		assertThat(member.serves(this.cell.now)).isEmpty();
		assertConsistentAndServed();
	}

	// Both managers are lost. The remaining members take over; the ranges of the two
	// managers wait until one of them is back, since the two might only be disconnected
	// together.
	@Test
	void whenBothManagersAreLostTheOthersContinueAndTheLostRangesWaitForOneToComeBack() {
		ModelProcess primary = this.cell.primary();
		ModelProcess secondary = this.cell.secondary();
		this.cell.kill(primary);
		this.cell.kill(secondary);
		this.cell.run(3 * ONE_SECOND);
		assertThat(this.cell.storedRow.row().unclosed()).hasSize(1);
		this.cell.processes.values().forEach((process) -> assertThat(process.serves(this.cell.now)).isNotEmpty());
		assertThat(this.cell.allServed()).isFalse();
		this.cell.start(primary.instance.value(), "domain-a", 1000);
		this.cell.runUntil(10 * ONE_SECOND, this.cell::allServed);
		assertConsistentAndServed();
		assertThat(this.cell.storedRow.row().unclosed()).isEmpty();
	}

	// A planned stop: the primary hands over its role, then its ranges, and only then
	// ends.
	@Test
	void aLeavingPrimaryHandsOverItsRoleAndItsRanges() {
		ModelProcess primary = this.cell.primary();
		this.cell.run(primary, primary.machine.leave(primary.clock(this.cell.now)));
		this.cell.runUntil(10 * ONE_SECOND, () -> primary.left);
		assertThat(primary.left).isTrue();
		assertThat(this.cell.primary()).isNotEqualTo(primary);
		this.cell.kill(primary);
		this.cell.run(1);
		assertConsistentAndServed();
	}

	// Guards against waiting for processes that have left: all instances stop one after
	// another, the last one with no member to hand over to, and then others start.
	@Test
	void afterAllHaveLeftAnotherMayStartAtOnce() {
		for (ModelProcess process : List.copyOf(this.cell.processes.values())) {
			this.cell.run(process, process.machine.leave(process.clock(this.cell.now)));
			this.cell.runUntil(20 * ONE_SECOND, () -> process.left);
			assertThat(process.left).isTrue();
			this.cell.kill(process);
		}
		this.cell.start("e", "domain-e", 1000);
		assertThat(this.cell.runUntil(20 * ONE_SECOND, this.cell::allServed)).isLessThan(3 * ONE_SECOND);
		assertConsistentAndServed();
	}

	// Guards against a service without an owner in a rolling replacement, when the last
	// instance is told to stop while the next one is still starting.
	@Test
	void theLastInstanceThatLeavesServesUntilTheNextOneHasCome() {
		List<ModelProcess> all = List.copyOf(this.cell.processes.values());
		ModelProcess last = this.cell.primary();
		all.stream().filter((process) -> process != last).forEach((process) -> {
			this.cell.run(process, process.machine.leave(process.clock(this.cell.now)));
			this.cell.runUntil(20 * ONE_SECOND, () -> process.left);
			this.cell.kill(process);
		});
		this.cell.run(last, last.machine.leave(last.clock(this.cell.now)));
		this.cell.run(2 * ONE_SECOND);
		assertConsistentAndServed();
		ModelProcess next = this.cell.start("e", "domain-e", 1000);
		this.cell.runUntil(20 * ONE_SECOND, () -> last.left);
		this.cell.run(ONE_SECOND);
		assertThat(next.serves(this.cell.now)).isNotEmpty();
		assertConsistentAndServed();
	}

	// Guards against a holder that is paused until its lease has expired and continues to
	// serve when it resumes.
	@Test
	void aFrozenHolderServesNothingAfterItWakes() {
		ModelProcess frozen = this.cell.nonManager();
		frozen.paused = true;
		this.cell.run(5 * ONE_SECOND);
		assertConsistentAndServed();
		this.cell.resume(frozen);
		this.cell.run(5 * ONE_SECOND);
		assertConsistentAndServed();
	}

	// All processes of the cell end at once, and the same instances are restarted.
	@Test
	void aCellWhoseProcessesAllEndedStartsAgain() {
		List<ModelProcess> all = List.copyOf(this.cell.processes.values());
		all.forEach(this.cell::kill);
		this.cell.run(5 * ONE_SECOND);
		all.forEach((process) -> this.cell.start(process.instance.value(), "domain-" + process.instance, 1000));
		this.cell.runUntil(20 * ONE_SECOND, this.cell::allServed);
		assertConsistentAndServed();
	}

}
