package org.brasspier.core.keys;

import java.util.Map;
import java.util.Optional;
import java.util.stream.LongStream;

import org.brasspier.core.InstanceId;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class LeaseTests extends KeyFixtures {

	private static final long LEASE = TIMING.lease().toNanos();

	private static final Deputy SELF = new Deputy(C, 17);

	private final PromiseTracker promises = new PromiseTracker(TIMING);

	private final OwnLease lease = new OwnLease(TIMING);

	private final LeaseMonitor watch = new LeaseMonitor(TIMING, SELF, this.promises);

	private void look(Map<InstanceId, LeaseRow> rows, long now) {
		this.watch.onRowsRead(rows, now);
	}

	private static LeaseRow row(long version) {
		return LeaseRow.of(version, Optional.empty());
	}

	private static LeaseRow taken(long version) {
		return new LeaseRow(version, Optional.of(B), Optional.empty());
	}

	private void lookEachSecond(long version, long fromMillis, long toMillis) {
		LongStream.iterate(fromMillis, (at) -> at <= toMillis, (at) -> at + 1000)
			.forEach((at) -> look(Map.of(A, row(version)), millis(at)));
	}

	@Test
	void aLeaseCountsFromWhenItsRenewalWasSent() {
		this.lease.onRenewed(millis(100), 7, Optional.empty());
		assertThat(this.lease.remainingNanos(millis(100))).isEqualTo(LEASE);
		assertThat(this.lease.remainingNanos(millis(100) + LEASE)).isEqualTo(0);
	}

	/**
	 * Another instance took the keys and wrote this one's lease row. The renewal that
	 * fails on that must end the lease, whatever time was left by this one's own count.
	 */
	@Test
	void aLeaseThatWasTakenAwayIsNotHeldThoughTimeIsLeft() {
		this.lease.onRenewed(0, 7, Optional.empty());
		this.lease.onRowChanged(9);
		assertThat(this.lease.remainingNanos(millis(1))).isEqualTo(0);
		assertThat(this.lease.rowVersion()).isEqualTo(9);
	}

	@Test
	void aLeaseThatIsRenewedIsNeverTakenForEnded() {
		LongStream.range(0, 30).forEach((at) -> look(Map.of(A, row(at / 2)), millis(at * 1000)));
		assertThat(this.watch.endedRowVersion(A, millis(30_000))).isEmpty();
		assertThat(this.watch.isRenewing(A, true, millis(30_000))).isTrue();
	}

	/**
	 * One instance alone can't reach the store for ten seconds. It has not seen the
	 * others renew, since it has not looked; as its own lease returned, it tried four
	 * times a second to take all their keys.
	 */
	@Test
	void aLeaseHasNotEndedBecauseNobodyLooked() {
		lookEachSecond(5, 0, 3000);
		assertThat(this.watch.endedRowVersion(A, millis(15_000))).isEmpty();
	}

	@Test
	void aLeaseHasEndedOnceItsRowStoodStillForLongerThanItLastsByAnyClock() {
		lookEachSecond(5, 0, 10_000);
		assertThat(this.watch.endedRowVersion(A, LEASE)).isEmpty();
		lookEachSecond(5, 11_000, 11_000);
		assertThat(this.watch.endedRowVersion(A, millis(11_000))).hasValue(5L);
	}

	/**
	 * The store is away for half a minute; nobody can renew. The first instance that
	 * reads it again must not take everyone's keys before they had time to renew.
	 */
	@Test
	void nobodyIsTakenForLostAsTheStoreReturns() {
		lookEachSecond(5, 0, 3000);
		look(Map.of(A, row(5L)), millis(33_000));
		assertThat(this.watch.endedRowVersion(A, millis(33_100))).isEmpty();
		look(Map.of(A, row(6L)), millis(34_000));
		look(Map.of(A, row(6L)), millis(36_500));
		assertThat(this.watch.endedRowVersion(A, millis(36_500))).isEmpty();
	}

	/**
	 * An instance is lost for good and its keys are taken, which writes its lease's row.
	 * Ten seconds later another instance leaves, and gives its keys to the lost one,
	 * since its row had changed: a third of all keys were unserved once more.
	 */
	@Test
	void anInstanceWhoseLeaseWasTakenIsNotTakenForOneThatRenewed() {
		lookEachSecond(5, 0, 11_000);
		assertThat(this.watch.endedRowVersion(A, millis(11_000))).hasValue(5L);
		look(Map.of(A, taken(6L)), millis(12_000));
		assertThat(this.watch.isRenewing(A, true, millis(12_000))).isFalse();
		assertThat(this.watch.endedRowVersion(A, millis(12_000))).hasValue(6L);
		look(Map.of(A, row(7L)), millis(13_000));
		assertThat(this.watch.isRenewing(A, true, millis(13_000))).isTrue();
	}

	/**
	 * The same, but the store is away in between: as it returns nobody is taken for lost
	 * for a while, and a holder that leaves just then gave its keys to the lost one.
	 */
	@Test
	void anInstanceWhoseLeaseWasTakenIsNoHolderAsTheStoreReturnsEither() {
		lookEachSecond(5, 0, 11_000);
		look(Map.of(A, taken(6L), B, row(3L)), millis(12_000));
		look(Map.of(A, taken(6L), B, row(3L)), millis(20_000));
		assertThat(this.watch.isRenewing(B, true, millis(20_000))).isTrue();
		assertThat(this.watch.isRenewing(A, true, millis(20_000))).isFalse();
	}

	@Test
	void anInstanceWithoutALeaseIsLostOnlyAfterTheFirstLooks() {
		look(Map.of(), 0);
		assertThat(this.watch.endedRowVersion(B, millis(1000))).isEmpty();
		look(Map.of(), millis(2000));
		look(Map.of(), millis(4000));
		assertThat(this.watch.endedRowVersion(B, millis(4000))).hasValue(0L);
	}

	/**
	 * The store turns one instance away for twelve seconds. Its lease goes on for ten,
	 * but it was the one that plans, and keys were given to it that it never heard of.
	 */
	@Test
	void anInstanceThatCannotRenewIsGivenNothingLongBeforeItsLeaseEnds() {
		lookEachSecond(5, 0, 4000);
		assertThat(this.watch.isRenewing(A, true, millis(4000))).isTrue();
		lookEachSecond(5, 5000, 5000);
		assertThat(this.watch.isRenewing(A, true, millis(5000))).isFalse();
		assertThat(this.watch.endedRowVersion(A, millis(5000))).isEmpty();
	}

	@Test
	void nobodyIsTakenForTurnedAwayAsTheStoreReturns() {
		lookEachSecond(5, 0, 2000);
		look(Map.of(A, row(5)), millis(12_000));
		assertThat(this.watch.isRenewing(A, true, millis(12_100))).isTrue();
	}

	/**
	 * A server leaves while the store is away, and so does the daemon beside it. As the
	 * store returns its row still says that it is ready; another server that leaves just
	 * then handed it all its keys.
	 */
	@Test
	void whoIsNotHeardIsGivenNothingAsTheStoreReturns() {
		lookEachSecond(5, 0, 2000);
		look(Map.of(A, row(5)), millis(12_000));
		assertThat(this.watch.isRenewing(A, false, millis(12_100))).isFalse();
	}

}
