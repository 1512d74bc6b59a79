package org.brasspier.core.keys;

import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class DeputyLeaseTests extends KeyFixtures {

	private static final long PROMISE_NANOS = TIMING.promise().toNanos();

	private static final Deputy DEPUTY = new Deputy(B, 5);

	private static final Deputy OTHER_DEPUTY = new Deputy(C, 6);

	private final OwnLease lease = new OwnLease(TIMING);

	private final PromiseTracker promises = new PromiseTracker(TIMING);

	private final LeaseMonitor monitor = new LeaseMonitor(TIMING, DEPUTY, this.promises);

	/**
	 * Guards against waiting for the whole lease of a lost instance although its deputy's
	 * last promise has ended: a quarter of all keys were unserved for eleven seconds.
	 */
	@Test
	void deputyCanTakeKeysOfLostHolderWhenItsPromiseHasEnded() {
		this.promises.promise(A, 7, Optional.empty(), 0);
		this.monitor.onRowsRead(Map.of(A, LeaseRow.of(7, Optional.of(DEPUTY))), millis(100));
		assertThat(this.monitor.endedRowVersion(A, PROMISE_NANOS)).isEmpty();
		assertThat(this.monitor.endedRowVersion(A, TIMING.plusDrift(PROMISE_NANOS))).hasValue(7L);
		assertThat(this.monitor.anySuspect(Set.of(A), TIMING.plusDrift(PROMISE_NANOS))).isTrue();
	}

	@Test
	void onlyTheDeputyCanTakeKeysBeforeTheLeaseHasEnded() {
		this.monitor.onRowsRead(Map.of(A, LeaseRow.of(7, Optional.of(OTHER_DEPUTY))), 0);
		assertThat(this.monitor.endedRowVersion(A, millis(9_000))).isEmpty();
	}

	/**
	 * Guards against takeovers by a restarted deputy: the row names the previous process,
	 * whose promises the new one doesn't know.
	 */
	@Test
	void restartedProcessIsNotTheDeputyNamedBefore() {
		this.monitor.onRowsRead(Map.of(A, LeaseRow.of(7, Optional.of(new Deputy(B, 4)))), 0);
		assertThat(this.monitor.endedRowVersion(A, millis(9_000))).isEmpty();
	}

	@Test
	void leaseWithDeputyEndsWithThePromiseCountedFromItsRequest() {
		this.lease.onPromise(DEPUTY, millis(100));
		this.lease.onRenewed(millis(200), 7, Optional.of(DEPUTY));
		assertThat(this.lease.remainingNanos(millis(200))).isEqualTo(PROMISE_NANOS - millis(100));
		assertThat(this.lease.remainingNanos(millis(100) + PROMISE_NANOS)).isEqualTo(0);
	}

	/**
	 * During a store outage of eight seconds the holder can't renew, but its deputy
	 * continues to promise. The keys must be served until the whole lease ends.
	 */
	@Test
	void holderKeepsItsLeaseDuringStoreOutageWhileItsDeputyPromises() {
		this.lease.onPromise(DEPUTY, 0);
		this.lease.onRenewed(0, 7, Optional.of(DEPUTY));
		for (long at = 0; at < 9_000; at += 500) {
			this.lease.onPromise(DEPUTY, millis(at));
			assertThat(this.lease.remainingNanos(millis(at))).isGreaterThan(0);
		}
		assertThat(this.lease.remainingNanos(TIMING.lease().toNanos())).isEqualTo(0);
	}

	/**
	 * The answer to a renewal that names another deputy is lost, so the row may name
	 * either deputy. The lease must end with whichever promise ends first.
	 */
	@Test
	void renewalWithUnknownOutcomeLimitsTheLeaseToBothPromises() {
		this.lease.onPromise(DEPUTY, 0);
		this.lease.onRenewed(0, 7, Optional.of(DEPUTY));
		this.lease.onPromise(DEPUTY, millis(3_000));
		this.lease.onPromise(OTHER_DEPUTY, millis(1_000));
		this.lease.onRenewalStarted(Optional.of(OTHER_DEPUTY));
		assertThat(this.lease.remainingNanos(millis(3_000))).isEqualTo(PROMISE_NANOS - millis(2_000));
		this.lease.onRenewed(millis(3_200), 8, Optional.of(DEPUTY));
		assertThat(this.lease.remainingNanos(millis(3_200))).isEqualTo(PROMISE_NANOS - millis(200));
	}

	/**
	 * Guards against keys with two holders: the deputy has sent its takeover write, the
	 * store applies it late, and the holder, whose link to the deputy was cut, requests
	 * another promise. A promise now would let the holder grant keys that change holder a
	 * second later.
	 */
	@Test
	void deputyRefusesPromisesAfterTakeoverAttemptUntilTheLeaseIsRenewed() {
		assertThat(this.promises.promise(A, 7, Optional.empty(), 0)).isTrue();
		this.promises.recordTakeoverAttempt(A, 7);
		assertThat(this.promises.promise(A, 7, Optional.empty(), millis(5_000))).isFalse();
		assertThat(this.promises.promise(A, 8, Optional.empty(), millis(6_000))).isTrue();
	}

	/**
	 * A backend server stops during a store outage, and so does its local daemon. The
	 * daemon releases the deputy from its promise, and the deputy takes the keys when the
	 * store returns. Without the release they were unserved for four seconds longer.
	 */
	@Test
	void relinquishedLeaseFreesKeysImmediately() {
		this.lease.onPromise(DEPUTY, 0);
		this.lease.onRenewed(0, 7, Optional.of(DEPUTY));
		this.promises.promise(A, 7, Optional.empty(), 0);
		this.monitor.onRowsRead(Map.of(A, LeaseRow.of(7, Optional.of(DEPUTY))), millis(100));
		this.lease.relinquish(millis(150));
		this.promises.release(A, Optional.empty());
		assertThat(this.lease.remainingNanos(millis(200))).isEqualTo(0);
		assertThat(this.monitor.endedRowVersion(A, millis(200))).hasValue(7L);
	}

	/**
	 * The server returns immediately and the lease is renewed. The deputy was released
	 * from its promise, so neither an earlier answer of the deputy nor a renewal that was
	 * in flight may count.
	 */
	@Test
	void promisesAndRenewalsSentBeforeRelinquishingDoNotCount() {
		this.lease.onPromise(DEPUTY, 0);
		this.lease.onRenewed(0, 7, Optional.of(DEPUTY));
		this.lease.relinquish(millis(150));
		this.lease.onPromise(DEPUTY, millis(100));
		this.lease.onRenewed(millis(120), 8, Optional.of(DEPUTY));
		assertThat(this.lease.remainingNanos(millis(200))).isEqualTo(0);
		this.lease.onRenewed(millis(300), 9, Optional.of(DEPUTY));
		assertThat(this.lease.remainingNanos(millis(310))).isEqualTo(0);
		this.lease.onPromise(DEPUTY, millis(320));
		assertThat(this.lease.remainingNanos(millis(330))).isGreaterThan(0);
	}

	/**
	 * The deputy's daemon restarts during a store outage. The process that promised has
	 * ended and can't take any keys, so the holder keeps its lease to the end.
	 */
	@Test
	void deputyReplacedDuringItsPromiseNoLongerLimitsTheLease() {
		this.lease.onPromise(DEPUTY, 0);
		this.lease.onRenewed(0, 7, Optional.of(DEPUTY));
		this.lease.onProcessSeen(new Deputy(B, 99), millis(2_000));
		assertThat(this.lease.remainingNanos(millis(9_000))).isEqualTo(millis(1_000));
	}

	/**
	 * The new process answers only after the promise of the old one has ended. The old
	 * process may have sent a takeover write before it ended, so the lease stays ended.
	 */
	@Test
	void deputyReplacedAfterItsPromiseStillEndsTheLease() {
		this.lease.onPromise(DEPUTY, 0);
		this.lease.onRenewed(0, 7, Optional.of(DEPUTY));
		this.lease.onProcessSeen(new Deputy(B, 99), PROMISE_NANOS);
		assertThat(this.lease.remainingNanos(millis(5_000))).isEqualTo(0);
	}

	/**
	 * Guards against two holders of a key: a withdrawal that a cut has held up on an
	 * earlier connection arrives after the holder was given a new promise, and the deputy
	 * takes the keys that the holder grants.
	 */
	@Test
	void aLateWithdrawalLeavesPromisesInForceThatWereAskedForAfterIt() {
		PromiseMark withdrawn = new PromiseMark(1, millis(200));
		this.promises.promise(A, 8, Optional.of(new PromiseMark(1, millis(300))), millis(300));
		this.promises.release(A, Optional.of(withdrawn));
		assertThat(this.promises.isBound(A, millis(400))).isTrue();
		this.promises.promise(A, 8, Optional.of(new PromiseMark(2, millis(100))), millis(500));
		this.promises.release(A, Optional.of(withdrawn));
		assertThat(this.promises.isBound(A, millis(600))).isTrue();
		this.promises.release(A, Optional.of(new PromiseMark(2, millis(700))));
		assertThat(this.promises.isBound(A, millis(800))).isFalse();
	}

}
