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

	private static LeaseManager primary(Guard... disabled) {
		LeaseManager manager = new LeaseManager(PRIMARY, Timing.STANDARD, TestGuards.without(disabled));
		manager.adopt(ROW, 1000);
		manager.onEpochSeen(1000);
		manager.onBeatAnswer(SECONDARY, answer(1000, List.of()), 1002);
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
	void aMemberBeingRevokedIsNotRenewed() {
		LeaseManager manager = primary();
		long silentAt = 1010 + Timing.STANDARD.memberSilence() + 1;
		assertThat(manager.revokeSilent(ROW.row(), silentAt - 1)).isEmpty();
		assertThat(manager.revokeSilent(ROW.row(), silentAt)).containsExactly(MEMBER);
		assertThat(manager.renew(MEMBER, heartbeat(), ROW.row(), true, silentAt + 10)).isEqualTo(0);
	}

	// Guards against counting a promise from before the revocation. The secondary
	// promises, the member is heard again and renewed by both managers, then it is silent
	// once more. The first promise arrives only now and says nothing about the later
	// renewals.
	@Test
	void aPromiseFromBeforeTheRevocationIsIgnored() {
		ControlMessage.BeatAnswer latePromise = answer(1900, List.of(new ControlMessage.Promised(MEMBER, 0)));
		LeaseManager manager = primary();
		manager.revokeSilent(ROW.row(), 2000);
		manager.onBeatAnswer(SECONDARY, latePromise, 2010);
		assertThat(manager.lostMembers(ROW.row(), 5000)).isEmpty();
		LeaseManager unguarded = primary(Guard.PROMISE_IS_FRESH);
		unguarded.revokeSilent(ROW.row(), 2000);
		unguarded.onBeatAnswer(SECONDARY, latePromise, 2010);
		assertThat(unguarded.lostMembers(ROW.row(), 5000)).containsExactly(MEMBER);
	}

	@Test
	void aSecondaryPromisesOnlyForMembersThatItFindsSilentToo() {
		LeaseManager secondary = new LeaseManager(SECONDARY, Timing.STANDARD, TestGuards.without());
		secondary.adopt(ROW, 1000);
		secondary.renew(MEMBER, heartbeat(), ROW.row(), false, 1010);
		ControlMessage.Beat beat = new ControlMessage.Beat(1, 700, 4, 9, List.of(MEMBER));
		assertThat(secondary.answerBeat(PRIMARY, beat, 1100).orElseThrow().promises()).isEmpty();
		ControlMessage.Beat later = new ControlMessage.Beat(1, 1100, 4, 9, List.of(MEMBER));
		assertThat(secondary.answerBeat(PRIMARY, later, 1010 + Timing.STANDARD.memberSilence() + 1)
			.orElseThrow()
			.promises()).hasSize(1);
	}

	// Guards against a pair that continues after another member may have taken over the
	// cell. A region is disconnected from its table for a quarter of an hour, so the pair
	// must end by itself.
	@Test
	void aPairStopsConfirmingAfterTooLongWithoutTheTable() {
		LeaseManager secondary = new LeaseManager(SECONDARY, Timing.STANDARD, TestGuards.without());
		secondary.adopt(ROW, 1000);
		secondary.onEpochSeen(1000);
		ControlMessage.Beat beat = new ControlMessage.Beat(1, 700, 4, 9, List.of());
		assertThat(secondary.answerBeat(PRIMARY, beat, 900_999).orElseThrow().confirmed()).isTrue();
		assertThat(secondary.answerBeat(PRIMARY, beat, 901_000).orElseThrow().confirmed()).isFalse();
	}

}
