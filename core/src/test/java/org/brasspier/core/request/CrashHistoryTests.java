package org.brasspier.core.request;

import org.brasspier.core.KeyHash;
import org.brasspier.core.KeyRange;
import org.brasspier.core.ownership.CrashMark;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class CrashHistoryTests {

	private static final KeyHash POINT = new KeyHash(5);

	private static final KeyRange RANGE = new KeyRange(0, 10);

	@Test
	void crashesAreCountedAcrossOwners() {
		// A request crashes the server of the first owner. Its range and mark move to the
		// second owner, whose server crashes as well. The third owner must refuse the
		// request.
		CrashHistory first = new CrashHistory();
		first.recordCrash(77, POINT);
		CrashHistory second = new CrashHistory();
		second.merge(first.marksFor(RANGE));
		assertThat(second.recordCrash(77, POINT)).isEqualTo(CrashHistory.MAX_CRASHES);
		CrashHistory third = new CrashHistory();
		third.merge(second.marksFor(RANGE));
		third.merge(first.marksFor(RANGE));
		assertThat(third.crashCount(77)).isEqualTo(CrashHistory.MAX_CRASHES);
	}

	@Test
	void marksOfOtherRangesDoNotMove() {
		CrashHistory marks = new CrashHistory();
		marks.recordCrash(77, POINT);
		assertThat(marks.marksFor(new KeyRange(10, 20))).isEmpty();
	}

	@Test
	void aRequestThatSucceedsIsNoLongerSuspect() {
		CrashHistory marks = new CrashHistory();
		marks.recordCrash(77, POINT);
		marks.recordSuccess(77);
		assertThat(marks.crashCount(77)).isEqualTo(0);
	}

	@Test
	void theHighestCountsMoveWithTheRangeAndAreEvictedLast() {
		CrashHistory marks = new CrashHistory();
		marks.recordCrash(500, POINT);
		marks.recordCrash(500, POINT);
		for (int i = 0; i < 100; i++) {
			marks.recordCrash(i, POINT);
		}
		assertThat(marks.marksFor(RANGE)).hasSize(CrashMark.MAX_PER_RANGE);
		assertThat(marks.marksFor(RANGE)).contains(new CrashMark(500, 2));
		for (int i = 1000; i < 2000; i++) {
			marks.recordCrash(i, POINT);
		}
		assertThat(marks.crashCount(500)).isEqualTo(2);
		assertThat(marks.crashCount(1000)).isEqualTo(0);
		assertThat(marks.crashCount(1999)).isEqualTo(1);
	}

}
