package org.brasspier.core.keys;

import java.util.Map;
import java.util.Optional;
import java.util.stream.LongStream;

import org.brasspier.core.InstanceId;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class LeaseTests extends KeyFixtures {

	private static final long LEASE_NANOS = TIMING.lease().toNanos();

	private static final Deputy SELF = new Deputy(C, 17);

	private final PromiseTracker promises = new PromiseTracker(TIMING);

	private final OwnLease lease = new OwnLease(TIMING);

	private final LeaseMonitor monitor = new LeaseMonitor(TIMING, SELF, this.promises);

	private void readRows(Map<InstanceId, LeaseRow> rows, long now) {
		this.monitor.onRowsRead(rows, now);
	}

	private static LeaseRow row(long version) {
		return LeaseRow.of(version, Optional.empty());
	}

	private static LeaseRow taken(long version) {
		return new LeaseRow(version, Optional.of(B), Optional.empty());
	}

	private void readEachSecond(long version, long fromMillis, long toMillis) {
		LongStream.iterate(fromMillis, (at) -> at <= toMillis, (at) -> at + 1000)
			.forEach((at) -> readRows(Map.of(A, row(version)), millis(at)));
	}

	@Test
	void leaseStartsWhenItsRenewalWasSent() {
		this.lease.onRenewed(millis(100), 7, Optional.empty());
		assertThat(this.lease.remainingNanos(millis(100))).isEqualTo(LEASE_NANOS);
		assertThat(this.lease.remainingNanos(millis(100) + LEASE_NANOS)).isEqualTo(0);
	}

	/**
	 * Another instance took the keys and wrote this instance's lease row. The renewal
	 * that fails on it must end the lease, however much time remains.
	 */
	@Test
	void takenLeaseIsNotHeldAlthoughTimeRemains() {
		this.lease.onRenewed(0, 7, Optional.empty());
		this.lease.onRowChanged(9);
		assertThat(this.lease.remainingNanos(millis(1))).isEqualTo(0);
		assertThat(this.lease.rowVersion()).isEqualTo(9);
	}

	@Test
	void renewedLeaseIsNotConsideredEnded() {
		LongStream.range(0, 30).forEach((at) -> readRows(Map.of(A, row(at / 2)), millis(at * 1000)));
		assertThat(this.monitor.endedRowVersion(A, millis(30_000))).isEmpty();
		assertThat(this.monitor.isRenewing(A, true, millis(30_000))).isTrue();
	}

	/**
	 * Guards against takeovers by an instance that was cut off from the store for ten
	 * seconds. It has not seen the other instances renew because it has not read the
	 * rows; when its own lease returned, it tried four times per second to take all their
	 * keys.
	 */
	@Test
	void leaseHasNotEndedWhileRowsWereNotRead() {
		readEachSecond(5, 0, 3000);
		assertThat(this.monitor.endedRowVersion(A, millis(15_000))).isEmpty();
	}

	@Test
	void leaseHasEndedWhenItsRowWasUnchangedForLongerThanTheLeaseByAnyClock() {
		readEachSecond(5, 0, 10_000);
		assertThat(this.monitor.endedRowVersion(A, LEASE_NANOS)).isEmpty();
		readEachSecond(5, 11_000, 11_000);
		assertThat(this.monitor.endedRowVersion(A, millis(11_000))).hasValue(5L);
	}

	/**
	 * The store is unavailable for half a minute, so no instance can renew. The first
	 * instance that reads it again must not take all keys before the others had time to
	 * renew.
	 */
	@Test
	void noInstanceIsConsideredLostWhenTheStoreReturns() {
		readEachSecond(5, 0, 3000);
		readRows(Map.of(A, row(5L)), millis(33_000));
		assertThat(this.monitor.endedRowVersion(A, millis(33_100))).isEmpty();
		readRows(Map.of(A, row(6L)), millis(34_000));
		readRows(Map.of(A, row(6L)), millis(36_500));
		assertThat(this.monitor.endedRowVersion(A, millis(36_500))).isEmpty();
	}

	/**
	 * An instance is permanently lost and its keys are taken, which writes its lease row.
	 * Guards against counting that write as a renewal: ten seconds later a leaving
	 * instance moved its keys to the lost one, and a third of all keys were unserved
	 * again.
	 */
	@Test
	void takenLeaseIsNotConsideredRenewed() {
		readEachSecond(5, 0, 11_000);
		assertThat(this.monitor.endedRowVersion(A, millis(11_000))).hasValue(5L);
		readRows(Map.of(A, taken(6L)), millis(12_000));
		assertThat(this.monitor.isRenewing(A, true, millis(12_000))).isFalse();
		assertThat(this.monitor.endedRowVersion(A, millis(12_000))).hasValue(6L);
		readRows(Map.of(A, row(7L)), millis(13_000));
		assertThat(this.monitor.isRenewing(A, true, millis(13_000))).isTrue();
	}

	/**
	 * The store is unavailable in between. When it returns, a grace period applies in
	 * which no instance is considered lost, and a holder that left at that moment moved
	 * its keys to the lost instance.
	 */
	@Test
	void takenLeaseIsNotConsideredRenewedWhenTheStoreReturns() {
		readEachSecond(5, 0, 11_000);
		readRows(Map.of(A, taken(6L), B, row(3L)), millis(12_000));
		readRows(Map.of(A, taken(6L), B, row(3L)), millis(20_000));
		assertThat(this.monitor.isRenewing(B, true, millis(20_000))).isTrue();
		assertThat(this.monitor.isRenewing(A, true, millis(20_000))).isFalse();
	}

	@Test
	void instanceWithoutLeaseIsLostOnlyAfterTheGracePeriod() {
		readRows(Map.of(), 0);
		assertThat(this.monitor.endedRowVersion(B, millis(1000))).isEmpty();
		readRows(Map.of(), millis(2000));
		readRows(Map.of(), millis(4000));
		assertThat(this.monitor.endedRowVersion(B, millis(4000))).hasValue(0L);
	}

	/**
	 * One instance can't reach the store for twelve seconds. Its lease lasts for ten of
	 * them, but it was the planning instance and was also assigned keys that it never
	 * learned of.
	 */
	@Test
	void instanceThatCannotRenewReceivesNoKeysLongBeforeItsLeaseEnds() {
		readEachSecond(5, 0, 4000);
		assertThat(this.monitor.isRenewing(A, true, millis(4000))).isTrue();
		readEachSecond(5, 5000, 5000);
		assertThat(this.monitor.isRenewing(A, true, millis(5000))).isFalse();
		assertThat(this.monitor.endedRowVersion(A, millis(5000))).isEmpty();
	}

	@Test
	void respondingInstanceCountsAsRenewingWhenTheStoreReturns() {
		readEachSecond(5, 0, 2000);
		readRows(Map.of(A, row(5)), millis(12_000));
		assertThat(this.monitor.isRenewing(A, true, millis(12_100))).isTrue();
	}

	/**
	 * A server leaves during a store outage, and so does its local daemon. When the store
	 * returns, its row still marks it as ready; another server that left at that moment
	 * handed it all its keys.
	 */
	@Test
	void silentInstanceReceivesNoKeysWhenTheStoreReturns() {
		readEachSecond(5, 0, 2000);
		readRows(Map.of(A, row(5)), millis(12_000));
		assertThat(this.monitor.isRenewing(A, false, millis(12_100))).isFalse();
	}

}
