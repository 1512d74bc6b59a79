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
 * What a cell of four does after one fault: who serves what, and how soon.
 */
class OwnershipMachineTests {

	private static final int RANGES = 8;

	/** Longer than a silence that makes a manager suspect the other one. */
	private static final long MISSED_MILLIS = 400;

	private static final long ONE_SECOND = 1000;

	private final CellModel cell = new CellModel(CellModel.Setup.standard(RANGES), 7);

	@BeforeEach
	void fourMembers() {
		List.of("a", "b", "c", "d").forEach((name) -> this.cell.start(name, "domain-" + name, 1000));
		this.cell.runUntil(10_000, () -> this.cell.allServed() && this.cell.stored.row().members().size() == 4
				&& this.cell.stored.row().managers().flatMap(ManagerPair::secondary).isPresent());
		this.cell.run(ONE_SECOND);
		this.cell.spread();
	}

	private void assertSound() {
		assertThat(this.cell.violations).isEmpty();
		assertThat(this.cell.allServed()).isTrue();
	}

	@Test
	void afterTheStartEachRangeIsServedAndBothManagersAreThere() {
		assertSound();
		assertThat(this.cell.stored.row().managers().orElseThrow().secondary()).isPresent();
	}

	// A caller's requests fail from the moment a daemon and its server vanish. The
	// managers
	// hear nothing, promise not to renew it, wait for its lease and give its ranges away.
	@Test
	void theRangesOfALostMemberAreServedAgainWithinASecond() {
		this.cell.kill(this.cell.plain());
		this.cell.run(1);
		assertThat(this.cell.runUntil(10_000, this.cell::allServed)).isLessThan(ONE_SECOND);
		assertSound();
	}

	// An instance is lost, its ranges move, and a minute later its daemon is started
	// again. It
	// joins and is renewed, but for as long as the epoch lasts it was given nothing: its
	// earlier life was still held to be silent, and what is suspected gets no ranges.
	@Test
	void aMemberThatComesBackAfterALossIsGivenRangesAgain() {
		ModelProcess lost = this.cell.plain();
		this.cell.kill(lost);
		this.cell.run(60 * ONE_SECOND);
		assertSound();
		ModelProcess back = this.cell.start(lost.instance.value(), "domain-" + lost.instance, 1000);
		this.cell.run(5 * ONE_SECOND);
		this.cell.spread();
		this.cell.run(5 * ONE_SECOND);
		assertThat(back.serves(this.cell.now)).isNotEmpty();
		assertSound();
	}

	// A daemon is lost and started again at once. Its former life is still in the row, so
	// it waits to be let in. Once it was, it counted that wait as silence of the managers
	// and, with nobody else to ask, replaced two that were well: a needless epoch.
	@Test
	void aDaemonThatWaitedForItsFormerLifeToLeaveTheRowDoesNotReplaceTheManagers() {
		this.cell.kill(this.cell.plain());
		this.cell.run(3 * ONE_SECOND);
		long epoch = this.cell.stored.row().epoch();
		for (int i = 0; i < 6; i++) {
			this.cell.run(CellModel.TICK);
			ModelProcess lost = this.cell.plain();
			this.cell.kill(lost);
			ModelProcess back = this.cell.start(lost.instance.value(), "domain-" + lost.instance, 1000);
			this.cell.run(3 * ONE_SECOND);
			assertSound();
			assertThat(this.cell.stored.row().has(back.machine.view().me().key())).isTrue();
			assertThat(this.cell.stored.row().epoch()).isEqualTo(epoch);
		}
	}

	// The same when the lost member was the primary: the secondary replaces it first.
	@Test
	void theRangesOfALostPrimaryAreServedAgainWithinASecond() {
		this.cell.kill(this.cell.primary());
		this.cell.run(1);
		assertThat(this.cell.runUntil(10_000, this.cell::allServed)).isLessThan(ONE_SECOND);
		assertSound();
	}

	@Test
	void theRangesOfALostSecondaryAreServedAgainWithinASecond() {
		this.cell.kill(this.cell.secondary());
		this.cell.run(1);
		assertThat(this.cell.runUntil(10_000, this.cell::allServed)).isLessThan(ONE_SECOND);
		assertSound();
	}

	// A member reaches only one of the managers, as half a partition does. If it waited
	// for
	// that one's turn, it'd be renewed once in two heartbeats, and a short pause would
	// cost
	// it its ranges. A heartbeat that isn't answered is followed by one to the other.
	@Test
	void aHeartbeatThatIsNotAnsweredIsFollowedByOneToTheOtherManager() {
		ModelProcess member = this.cell.plain();
		long begin = member.clock(this.cell.now);
		Timing timing = Timing.STANDARD;
		List<InstanceId> asked = LongStream.iterate(begin, (now) -> now < begin + timing.lease(), (now) -> now + 25)
			.boxed()
			.flatMap((now) -> member.machine.tick(now).stream())
			.flatMap((action) -> (action instanceof OwnershipAction.Send send
					&& send.message() instanceof ControlMessage.Heartbeat) ? Stream.of(send.to()) : Stream.empty())
			.toList();
		assertThat(asked.size()).isAtLeast((int) (2 * timing.lease() / timing.heartbeat()) - 1);
		assertThat(asked).containsAtLeast(this.cell.primary().instance, this.cell.secondary().instance);
		assertThat(IntStream.range(1, asked.size()).noneMatch((i) -> asked.get(i).equals(asked.get(i - 1)))).isTrue();
	}

	// A member's connection breaks just as a range moves, so it misses one difference.
	// The
	// next one doesn't apply to its row: it must ask for the whole row, or it would go on
	// routing callers to the former owner.
	@Test
	void aMemberThatMissedADifferenceAsksForTheWholeRow() {
		ModelProcess member = this.cell.plain();
		VersionedRow known = member.machine.view().known();
		VersionedRow missed = new VersionedRow(known.version() + 1, known.row());
		VersionedRow next = new VersionedRow(known.version() + 2, known.row().withDrained(Set.of(member.instance)));
		InstanceId primary = this.cell.primary().instance;
		long now = member.clock(this.cell.now);
		assertThat(
				member.machine.received(primary, new ControlMessage.RowDifference(RowDelta.between(missed, next)), now))
			.contains(new OwnershipAction.Send(primary, new ControlMessage.RowRequest(known.version())));
		member.machine.received(primary, new ControlMessage.RowUpdate(next), now);
		assertThat(member.machine.view().known()).isEqualTo(next);
	}

	// The table goes away for five minutes. Owners are renewed by the managers and serve
	// on.
	@Test
	void ownersServeThroughALongOutageOfTheTable() {
		this.cell.storeDown = true;
		for (int i = 0; i < 300; i++) {
			this.cell.run(ONE_SECOND);
			assertThat(this.cell.allServed()).isTrue();
		}
		this.cell.storeDown = false;
		this.cell.run(5 * ONE_SECOND);
		assertSound();
	}

	// The table is down, and the two managers miss each other for less than half a
	// second,
	// as on a busy machine. They stopped confirming each other, for good in their epoch,
	// and without the table there was no other: all callers were turned away for the rest
	// of the outage, though nothing but the table was lost.
	@Test
	void managersThatMissEachOtherForAMomentGoOnThroughAnOutageOfTheTable() {
		ModelProcess primary = this.cell.primary();
		ModelProcess secondary = this.cell.secondary();
		this.cell.storeDown = true;
		this.cell.run(ONE_SECOND);
		this.cell.cuts.add(primary.instance + ">" + secondary.instance);
		this.cell.cuts.add(secondary.instance + ">" + primary.instance);
		this.cell.run(MISSED_MILLIS);
		this.cell.cuts.clear();
		this.cell.run(ONE_SECOND);
		for (int i = 0; i < 60; i++) {
			this.cell.run(ONE_SECOND);
			assertThat(this.cell.allServed()).isTrue();
		}
		this.cell.storeDown = false;
		this.cell.run(5 * ONE_SECOND);
		assertSound();
	}

	// A server is silent for a moment while the table is down. Its ranges were given up
	// at
	// once, to nobody, and for the whole outage. They wait for the table now.
	@Test
	void theRangesOfALostServerAreGivenUpOnlyOnceTheTableAnswers() {
		ModelProcess plain = this.cell.plain();
		this.cell.storeDown = true;
		this.cell.run(plain, plain.machine.backend(MemberPhase.DRAINING, Optional.empty(), plain.clock(this.cell.now)));
		this.cell.run(plain, plain.machine.backendLost(plain.clock(this.cell.now)));
		this.cell.run(5 * ONE_SECOND);
		assertSound();
		this.cell.storeDown = false;
		this.cell.run(2 * ONE_SECOND);
		assertThat(plain.serves(this.cell.now)).isEmpty();
		assertSound();
	}

	// Both managers vanish. The members that are left take over; what the two owned waits
	// until one of them is back, since the two might only be cut off together.
	@Test
	void whenBothManagersAreLostTheOthersGoOnAndTheLostRangesWaitForOneToComeBack() {
		ModelProcess primary = this.cell.primary();
		ModelProcess secondary = this.cell.secondary();
		this.cell.kill(primary);
		this.cell.kill(secondary);
		this.cell.run(3 * ONE_SECOND);
		assertThat(this.cell.stored.row().unclosed()).hasSize(1);
		this.cell.processes.values().forEach((process) -> assertThat(process.serves(this.cell.now)).isNotEmpty());
		assertThat(this.cell.allServed()).isFalse();
		this.cell.start(primary.instance.value(), "domain-a", 1000);
		this.cell.runUntil(10 * ONE_SECOND, this.cell::allServed);
		assertSound();
		assertThat(this.cell.stored.row().unclosed()).isEmpty();
	}

	// A planned stop: the primary hands its role over, then its ranges, and only then
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
		assertSound();
	}

	// All instances stop one after another, the last one with nobody to hand over to;
	// then
	// others start. Nothing may wait for processes that have left.
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
		assertSound();
	}

	// Guards against a service without an owner in a rolling replacement: the last
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
		assertSound();
		ModelProcess next = this.cell.start("e", "domain-e", 1000);
		this.cell.runUntil(20 * ONE_SECOND, () -> last.left);
		this.cell.run(ONE_SECOND);
		assertThat(next.serves(this.cell.now)).isNotEmpty();
		assertSound();
	}

	// A holder is frozen past its lease and wakes as if nothing had happened.
	@Test
	void aFrozenHolderServesNothingAfterItWakes() {
		ModelProcess frozen = this.cell.plain();
		frozen.paused = true;
		this.cell.run(5 * ONE_SECOND);
		assertSound();
		this.cell.resume(frozen);
		this.cell.run(5 * ONE_SECOND);
		assertSound();
	}

	// All processes of the cell end at once and the same instances start again.
	@Test
	void aCellWhoseProcessesAllEndedStartsAgain() {
		List<ModelProcess> all = List.copyOf(this.cell.processes.values());
		all.forEach(this.cell::kill);
		this.cell.run(5 * ONE_SECOND);
		all.forEach((process) -> this.cell.start(process.instance.value(), "domain-" + process.instance, 1000));
		this.cell.runUntil(20 * ONE_SECOND, this.cell::allServed);
		assertSound();
	}

}
