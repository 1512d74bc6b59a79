package org.brasspier.core.ownership;

import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.brasspier.core.FailureDomain;
import org.brasspier.core.Fence;
import org.brasspier.core.InstanceId;
import org.brasspier.core.KeyRange;
import org.brasspier.core.ServiceName;
import org.brasspier.core.routing.PeerAddress;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class MemberLeaseTests {

	private static final MemberKey SELF = new MemberKey(new InstanceId("a"), 1);

	private static final ServiceName SERVICE = new ServiceName("hullbook");

	private static VersionedRow row(long version, long epoch, int incarnation) {
		MemberInfo member = new MemberInfo(new MemberKey(SELF.instance(), incarnation), new FailureDomain("x"),
				new PeerAddress("127.0.0.1", 1, 2, 3, 4), MemberPhase.ACTIVE, Optional.empty());
		RangeState range = new RangeState(SERVICE, KeyRange.ALL, Optional.of(SELF.instance()), new Fence(1), List.of());
		return new VersionedRow(version, new CellRow(epoch, Optional.empty(), List.of(), List.of(member), Set.of(),
				List.of(range), Optional.empty()));
	}

	private static MemberLease lease(Guard... disabled) {
		MemberLease lease = new MemberLease(SELF, TestGuards.without(disabled));
		lease.adopt(row(5, 2, 1));
		lease.renew(renewal(100, 2, 5, 600), 110);
		return lease;
	}

	private static ControlMessage.Renewal renewal(long sentAt, long epoch, long version, long span) {
		return new ControlMessage.Renewal(1, sentAt, epoch, version, span, 0);
	}

	@Test
	void aLeaseRunsFromWhenTheHeartbeatWasSent() {
		assertThat(lease().leaseEnd()).isEqualTo(700);
	}

	// Guards against a lease that is extended by an answer that is half a second late or
	// a duplicate: the managers assume that the lease runs at most from the sending of
	// the heartbeat.
	@Test
	void lateAndDuplicateAnswersDoNotExtendTheLease() {
		MemberLease lease = lease();
		lease.renew(renewal(100, 2, 5, 600), 600);
		assertThat(lease.leaseEnd()).isEqualTo(700);
		lease.renew(renewal(100, 2, 5, 600), 800);
		assertThat(lease.isValid(800)).isFalse();
	}

	// Guards against serving ranges from an outdated row. A member was disconnected until
	// its lease had expired, its ranges moved, and it is renewed again before the row
	// that shows this reaches it.
	@Test
	void afterTheLeaseHasExpiredAnOlderRowAssignsNothing() {
		MemberLease lease = lease();
		lease.renew(renewal(900, 2, 6, 600), 910);
		assertThat(lease.isValid(910)).isFalse();
		MemberLease unguarded = lease(Guard.LAPSE_DROPS_ALL);
		unguarded.renew(renewal(900, 2, 6, 600), 910);
		assertThat(unguarded.isValid(910)).isTrue();
	}

	// Guards against renewals by a manager that was replaced and continues for the rest
	// of its authority. Its successors do not wait for them once the member has
	// acknowledged the new epoch.
	@Test
	void renewalsOfAnOlderEpochAreRefused() {
		MemberLease lease = lease();
		lease.renew(renewal(500, 1, 5, 600), 510);
		assertThat(lease.leaseEnd()).isEqualTo(700);
		MemberLease unguarded = lease(Guard.OWN_EPOCH_OR_LATER);
		unguarded.renew(renewal(500, 1, 5, 600), 510);
		assertThat(unguarded.leaseEnd()).isEqualTo(1100);
	}

	// Guards against a process that is restarted within its lease and serves the ranges
	// that the row assigns to its previous incarnation, although it no longer knows which
	// requests ran.
	@Test
	void theRowOfAnotherIncarnationAssignsNothing() {
		MemberLease lease = lease();
		lease.adopt(row(6, 2, 9));
		assertThat(lease.held()).isEmpty();
		MemberLease unguarded = lease(Guard.INCARNATION_COUNTS);
		unguarded.adopt(row(6, 2, 9));
		assertThat(unguarded.held()).hasSize(1);
	}

	@Test
	void aReleasedRangeIsNotHeldAgainUnderTheSameFence() {
		MemberLease lease = lease();
		HeldRange held = new HeldRange(SERVICE, KeyRange.ALL, new Fence(1));
		assertThat(lease.startDraining(List.of(held))).containsExactly(held);
		lease.onDrained(held, List.of());
		lease.adopt(row(7, 2, 1));
		assertThat(lease.held()).isEmpty();
		assertThat(lease.released()).hasSize(1);
	}

}
