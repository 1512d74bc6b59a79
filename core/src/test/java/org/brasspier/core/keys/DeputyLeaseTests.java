package org.brasspier.core.keys;

import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class DeputyLeaseTests extends KeyFixtures {

	private static final long PROMISE = TIMING.promise().toNanos();

	private static final Deputy DEPUTY = new Deputy(B, 5);

	private static final Deputy NEXT = new Deputy(C, 6);

	private final OwnLease lease = new OwnLease(TIMING);

	private final PromiseTracker promises = new PromiseTracker(TIMING);

	private final LeaseMonitor watch = new LeaseMonitor(TIMING, DEPUTY, this.promises);

	/**
	 * An instance is lost. Its deputy has heard nothing since its last promise and takes
	 * the keys as that ends. Waiting for the whole lease instead left a quarter of all
	 * keys unserved for eleven seconds.
	 */
	@Test
	void aLostHoldersKeysAreFreeForItsDeputyOnceThePromiseHasEnded() {
		this.promises.promise(A, 7, 0);
		this.watch.onRowsRead(Map.of(A, LeaseRow.of(7, Optional.of(DEPUTY))), millis(100));
		assertThat(this.watch.endedRowVersion(A, PROMISE)).isEmpty();
		assertThat(this.watch.endedRowVersion(A, TIMING.plusDrift(PROMISE))).hasValue(7L);
		assertThat(this.watch.anySuspect(Set.of(A), TIMING.plusDrift(PROMISE))).isTrue();
	}

	@Test
	void nobodyButTheDeputyTakesKeysBeforeTheLeaseHasEnded() {
		this.watch.onRowsRead(Map.of(A, LeaseRow.of(7, Optional.of(NEXT))), 0);
		assertThat(this.watch.endedRowVersion(A, millis(9_000))).isEmpty();
	}

	/**
	 * A deputy's daemon restarts and is named by its predecessor's number. It has
	 * forgotten what was promised, so it is nobody's deputy.
	 */
	@Test
	void aProcessThatHasForgottenItsPromisesIsNoDeputy() {
		this.watch.onRowsRead(Map.of(A, LeaseRow.of(7, Optional.of(new Deputy(B, 4)))), 0);
		assertThat(this.watch.endedRowVersion(A, millis(9_000))).isEmpty();
	}

	@Test
	void aLeaseThatNamesADeputyEndsWithThePromiseCountedFromTheAsking() {
		this.lease.onPromise(DEPUTY, millis(100));
		this.lease.onRenewed(millis(200), 7, Optional.of(DEPUTY));
		assertThat(this.lease.remainingNanos(millis(200))).isEqualTo(PROMISE - millis(100));
		assertThat(this.lease.remainingNanos(millis(100) + PROMISE)).isEqualTo(0);
	}

	/**
	 * The store is away for eight seconds. The holder can't renew, but its deputy goes on
	 * promising, so the keys are served on until the whole lease ends.
	 */
	@Test
	void aHolderGoesOnWithoutTheStoreAsLongAsItsDeputyPromises() {
		this.lease.onPromise(DEPUTY, 0);
		this.lease.onRenewed(0, 7, Optional.of(DEPUTY));
		for (long at = 0; at < 9_000; at += 500) {
			this.lease.onPromise(DEPUTY, millis(at));
			assertThat(this.lease.remainingNanos(millis(at))).isGreaterThan(0);
		}
		assertThat(this.lease.remainingNanos(TIMING.lease().toNanos())).isEqualTo(0);
	}

	/**
	 * The answer to a renewal that names another deputy is lost. Either deputy may be in
	 * the row, so the lease must end with whichever promise ends first.
	 */
	@Test
	void aRenewalOfUnknownOutcomeBindsTheHolderToBothDeputies() {
		this.lease.onPromise(DEPUTY, 0);
		this.lease.onRenewed(0, 7, Optional.of(DEPUTY));
		this.lease.onPromise(DEPUTY, millis(3_000));
		this.lease.onPromise(NEXT, millis(1_000));
		this.lease.onRenewalStarted(Optional.of(NEXT));
		assertThat(this.lease.remainingNanos(millis(3_000))).isEqualTo(PROMISE - millis(2_000));
		this.lease.onRenewed(millis(3_200), 8, Optional.of(DEPUTY));
		assertThat(this.lease.remainingNanos(millis(3_200))).isEqualTo(PROMISE - millis(200));
	}

	/**
	 * The deputy sends the write that takes the keys, and the store is slow to carry it
	 * out. The holder, whose link to the deputy was cut, asks again. A promise now would
	 * let it grant keys that change hands a second later.
	 */
	@Test
	void aDeputyThatHasTriedToTakeKeysPromisesNothingUntilTheLeaseIsRenewed() {
		assertThat(this.promises.promise(A, 7, 0)).isTrue();
		this.promises.recordTakeoverAttempt(A, 7);
		assertThat(this.promises.promise(A, 7, millis(5_000))).isFalse();
		assertThat(this.promises.promise(A, 8, millis(6_000))).isTrue();
	}

	/**
	 * A backend server ends while the store is away, and so does the daemon beside it. It
	 * says so to its deputy, which takes the keys as the store returns; without that they
	 * were unserved for four seconds more.
	 */
	@Test
	void aHolderThatGivesUpFreesItsKeysAtOnce() {
		this.lease.onPromise(DEPUTY, 0);
		this.lease.onRenewed(0, 7, Optional.of(DEPUTY));
		this.promises.promise(A, 7, 0);
		this.watch.onRowsRead(Map.of(A, LeaseRow.of(7, Optional.of(DEPUTY))), millis(100));
		this.lease.relinquish(millis(150));
		this.promises.release(A);
		assertThat(this.lease.remainingNanos(millis(200))).isEqualTo(0);
		assertThat(this.watch.endedRowVersion(A, millis(200))).hasValue(7L);
	}

	/**
	 * The server is back at once, and the lease is renewed. The deputy was told that it
	 * is bound no longer, so an answer of its from before must not count, nor a renewal
	 * that was under way.
	 */
	@Test
	void whatWasPromisedBeforeALeaseWasGivenUpCountsNoMore() {
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
	 * The store is away and the deputy's daemon restarts. The process that promised is
	 * gone and can't take anything, so the holder goes on to the end of its lease.
	 */
	@Test
	void aDeputyThatWasReplacedBeforeItsPromiseEndedBindsNobody() {
		this.lease.onPromise(DEPUTY, 0);
		this.lease.onRenewed(0, 7, Optional.of(DEPUTY));
		this.lease.onProcessSeen(new Deputy(B, 99), millis(2_000));
		assertThat(this.lease.remainingNanos(millis(9_000))).isEqualTo(millis(1_000));
	}

	/**
	 * The same, but the new process answers only after the old one's promise had ended:
	 * the old one may have sent a write before it went, so the lease stays ended.
	 */
	@Test
	void aDeputyThatWasReplacedAfterItsPromiseEndedMayHaveTakenTheKeys() {
		this.lease.onPromise(DEPUTY, 0);
		this.lease.onRenewed(0, 7, Optional.of(DEPUTY));
		this.lease.onProcessSeen(new Deputy(B, 99), PROMISE);
		assertThat(this.lease.remainingNanos(millis(5_000))).isEqualTo(0);
	}

}
