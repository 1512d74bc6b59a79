package org.brasspier.core.crash;

import java.util.stream.IntStream;

import org.brasspier.core.ErrorKind;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class CrashMarksTests {

	private final CrashMarks marks = new CrashMarks();

	@Test
	void aRequestIsRefusedFromItsSecondCrashOn() {
		this.marks.crashed("dive-4711", 1);
		assertThat(this.marks.refusal("dive-4711")).isEmpty();
		this.marks.crashed("dive-4711", 2);
		assertThat(this.marks.refusal("dive-4711").orElseThrow().kind()).isEqualTo(ErrorKind.CRASHED_BACKENDS);
	}

	/**
	 * A server is lost, the caller resends to the range's next owner, and that owner's
	 * server is lost too. The first daemon's mark came with the range, so the second
	 * crash is counted as the second.
	 */
	@Test
	void aMarkFromTheEarlierOwnerCounts() {
		CrashMarks later = new CrashMarks();
		this.marks.crashed("dive-4711", 1);
		later.merge(this.marks.all());
		later.crashed("dive-4711", 2);
		assertThat(later.refusal("dive-4711")).isPresent();
	}

	@Test
	void culpritsOutlastRequestsThatRanBesideThem() {
		this.marks.crashed("culprit", 1);
		this.marks.crashed("culprit", 2);
		IntStream.range(0, 1000).forEach((i) -> this.marks.crashed("other-" + i, 3 + i));
		assertThat(this.marks.refusal("culprit")).isPresent();
		assertThat(this.marks.all().size()).isAtMost(256);
	}

}
