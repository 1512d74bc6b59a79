package org.brasspier.core.ownership;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

import org.brasspier.core.FailureDomain;
import org.brasspier.core.InstanceId;
import org.brasspier.core.routing.PeerAddress;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class LeaseManagerTests {

	private static final MemberKey PRIMARY = new MemberKey(new InstanceId("p"), 1);

	private static final MemberKey SECONDARY = new MemberKey(new InstanceId("s"), 2);

	private static final MemberKey MEMBER = new MemberKey(new InstanceId("m"), 3);

	private static final VersionedRow ROW = new VersionedRow(9,
			new CellRow(4, Optional.of(new ManagerPair(4, PRIMARY, Optional.of(SECONDARY))), List.of(),
					Stream.of(PRIMARY, SECONDARY, MEMBER)
						.map((key) -> new MemberInfo(key, new FailureDomain("x"),
								new PeerAddress("127.0.0.1", 1, 2, 3, 4), MemberPhase.ACTIVE, Optional.empty()))
						.toList(),
					Set.of(), List.of(), Optional.empty()));

	private static LeaseManager primary(Guard... off) {
		LeaseManager manager = new LeaseManager(PRIMARY, Timing.STANDARD, TestGuards.without(off));
		manager.adopt(ROW, 1000);
		manager.tableShows(1000);
		manager.confirmed(SECONDARY, answer(1000, List.of()), 1002);
		manager.renew(MEMBER, heartbeat(), ROW.row(), false, 1010);
		return manager;
	}

	private static ControlMessage.Heartbeat heartbeat() {
		return new ControlMessage.Heartbeat(3, 50, 4, 9, 0, 0);
	}

	private static ControlMessage.BeatAnswer answer(long sentAt, List<ControlMessage.Promised> promises) {
		return new ControlMessage.BeatAnswer(1, sentAt, 4, true, 0, promises);
	}

	@Test
	void aRenewalEndsWithTheManagersAuthority() {
		assertThat(primary().renew(MEMBER, heartbeat(), ROW.row(), false, 1500)).isEqualTo(100);
		assertThat(primary().renew(MEMBER, heartbeat(), ROW.row(), false, 1600)).isEqualTo(0);
	}

	@Test
	void whoIsBeingRevokedIsNotRenewed() {
		LeaseManager manager = primary();
		long silent = 1010 + Timing.STANDARD.memberSilence() + 1;
		assertThat(manager.revokeSilent(ROW.row(), silent - 1)).isEmpty();
		assertThat(manager.revokeSilent(ROW.row(), silent)).containsExactly(MEMBER);
		assertThat(manager.renew(MEMBER, heartbeat(), ROW.row(), true, silent + 10)).isEqualTo(0);
	}

	// The secondary promises, the member is heard again and renewed by both, then goes
	// silent
	// once more. The first promise arrives only now: it says nothing of the later
	// renewals.
	@Test
	void aPromiseFromBeforeTheRevocationCountsForNothing() {
		ControlMessage.BeatAnswer late = answer(1900, List.of(new ControlMessage.Promised(MEMBER, 0)));
		LeaseManager manager = primary();
		manager.revokeSilent(ROW.row(), 2000);
		manager.confirmed(SECONDARY, late, 2010);
		assertThat(manager.lost(ROW.row(), 5000)).isEmpty();
		LeaseManager unguarded = primary(Guard.PROMISE_IS_FRESH);
		unguarded.revokeSilent(ROW.row(), 2000);
		unguarded.confirmed(SECONDARY, late, 2010);
		assertThat(unguarded.lost(ROW.row(), 5000)).containsExactly(MEMBER);
	}

	@Test
	void aSecondaryPromisesOnlyWhatItToFindsSilent() {
		LeaseManager secondary = new LeaseManager(SECONDARY, Timing.STANDARD, TestGuards.without());
		secondary.adopt(ROW, 1000);
		secondary.renew(MEMBER, heartbeat(), ROW.row(), false, 1010);
		ControlMessage.Beat beat = new ControlMessage.Beat(1, 700, 4, 9, List.of(MEMBER));
		assertThat(secondary.answer(PRIMARY, beat, 1100).orElseThrow().promises()).isEmpty();
		ControlMessage.Beat later = new ControlMessage.Beat(1, 1100, 4, 9, List.of(MEMBER));
		assertThat(
				secondary.answer(PRIMARY, later, 1010 + Timing.STANDARD.memberSilence() + 1).orElseThrow().promises())
			.hasSize(1);
	}

	// A region is cut from its table for a quarter of an hour. Somebody else may take the
	// cell
	// over then, so the pair must have ended by itself.
	@Test
	void aPairConfirmsNobodyOnceItHasNotSeenTheTableForTooLong() {
		LeaseManager secondary = new LeaseManager(SECONDARY, Timing.STANDARD, TestGuards.without());
		secondary.adopt(ROW, 1000);
		secondary.tableShows(1000);
		ControlMessage.Beat beat = new ControlMessage.Beat(1, 700, 4, 9, List.of());
		assertThat(secondary.answer(PRIMARY, beat, 900_999).orElseThrow().confirmed()).isTrue();
		assertThat(secondary.answer(PRIMARY, beat, 901_000).orElseThrow().confirmed()).isFalse();
	}

}
