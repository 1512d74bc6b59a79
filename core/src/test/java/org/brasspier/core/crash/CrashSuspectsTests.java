package org.brasspier.core.crash;

import java.time.Duration;
import java.util.List;
import java.util.Set;

import org.brasspier.core.InstanceId;
import org.brasspier.core.keys.BackendIncarnation;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class CrashSuspectsTests {

	private static final long CULPRIT = 1;

	private static final InstanceId HERE = new InstanceId("here");

	private final CrashSuspects suspects = new CrashSuspects();

	private int lives;

	// Another server crashes while it runs these.
	private CrashState crash(Long... requests) {
		this.lives++;
		return new CrashState(List.of(new CrashReport(new BackendIncarnation("server", this.lives), Set.of(requests))),
				Set.of());
	}

	private void crashed(Long... requests) {
		this.suspects.merge(new InstanceId("instance-" + this.lives), crash(requests), 0);
	}

	@Test
	void oneCrashKeepsNothingAway() {
		crashed(CULPRIT, 2L, 3L);
		assertThat(this.suspects.isBlocked(CULPRIT, 0)).isFalse();
		assertThat(this.suspects.isSuspect(2)).isTrue();
	}

	/**
	 * Load: fourteen slots in use on each of two servers, and one request that both run.
	 */
	@Test
	void theOnlyRequestOfTwoCrashesIsKeptAwayAndNothingElse() {
		crashed(CULPRIT, 2L, 3L, 4L);
		crashed(CULPRIT, 5L, 6L, 7L);
		assertThat(this.suspects.isBlocked(CULPRIT, 0)).isTrue();
		assertThat(this.suspects.blockedCount()).isEqualTo(1);
	}

	/**
	 * Guards against a request that is refused because it was sent on to another server
	 * together with the culprit.
	 */
	@Test
	void whatTwoCrashesShareWithTheCulpritIsNotKeptAway() {
		crashed(CULPRIT, 2L, 3L);
		crashed(CULPRIT, 2L, 4L);
		assertThat(this.suspects.blockedCount()).isEqualTo(0);
		crashed(CULPRIT, 5L);
		assertThat(this.suspects.isBlocked(CULPRIT, 0)).isTrue();
		assertThat(this.suspects.blockedCount()).isEqualTo(1);
	}

	/**
	 * Guards against an innocent request that is refused because it ran beside the
	 * culprit on three servers before any of them had told of its crash.
	 */
	@Test
	void whatRanBesideTheCulpritEachTimeIsServedOnceTheCulpritHasRunAlone() {
		crashed(CULPRIT, 2L);
		crashed(CULPRIT, 2L);
		crashed(CULPRIT, 2L);
		assertThat(this.suspects.isBlocked(2, 0)).isFalse();
		crashed(CULPRIT);
		assertThat(this.suspects.isBlocked(CULPRIT, 0)).isTrue();
		assertThat(this.suspects.isBlocked(2, 0)).isFalse();
	}

	/** Guards against more than two servers that are lost after the third. */
	@Test
	void whatWasPartOfFiveCrashesIsKeptAwayWhateverElseWas() {
		for (int i = 0; i < 5; i++) {
			assertThat(this.suspects.isBlocked(CULPRIT, 0)).isFalse();
			crashed(CULPRIT, 2L);
		}
		assertThat(this.suspects.isBlocked(CULPRIT, 0)).isTrue();
	}

	/** Guards against innocent requests that are refused for good. */
	@Test
	void whatEndsWellIsClearedAndLeavesTheCulprit() {
		crashed(CULPRIT, 2L);
		assertThat(this.suspects.recordSuccess(HERE, 2, 0)).isTrue();
		assertThat(this.suspects.recordSuccess(HERE, 2, 0)).isFalse();
		crashed(CULPRIT, 2L);
		assertThat(this.suspects.isBlocked(CULPRIT, 0)).isTrue();
		assertThat(this.suspects.isBlocked(2, 0)).isFalse();
		assertThat(this.suspects.stateOf(HERE).cleared()).containsExactly(2L);
	}

	/** Guards against one crash that counts as many because many tell of it. */
	@Test
	void theSameCrashToldTwiceCountsOnce() {
		CrashState notes = crash(CULPRIT);
		assertThat(this.suspects.merge(HERE, notes, 0)).isTrue();
		assertThat(this.suspects.merge(HERE, notes, 0)).isFalse();
		assertThat(this.suspects.isBlocked(CULPRIT, 0)).isFalse();
	}

	@Test
	void aCrashCountsNoMoreAfterFiveMinutes() {
		crashed(CULPRIT);
		crashed(CULPRIT);
		long later = Duration.ofMinutes(5).toNanos();
		assertThat(this.suspects.isBlocked(CULPRIT, later - 1)).isTrue();
		assertThat(this.suspects.isBlocked(CULPRIT, later)).isFalse();
		assertThat(this.suspects.isEmpty()).isTrue();
	}

	@Test
	void whatAnInstanceTellsIsBoundedAndHasTheLatestCrashes() {
		CrashState notes = CrashState.EMPTY;
		for (int i = 0; i < CrashState.MAX_REPORTS * 3; i++) {
			notes = notes.withReport(crash((long) i).reports().get(0));
			this.suspects.merge(HERE, notes, 0);
		}
		assertThat(this.suspects.stateOf(HERE)).isEqualTo(notes);
		assertThat(notes.reports()).hasSize(CrashState.MAX_REPORTS);
		assertThat(notes.reports().get(CrashState.MAX_REPORTS - 1).incarnation().startedMillis()).isEqualTo(this.lives);
	}

}
