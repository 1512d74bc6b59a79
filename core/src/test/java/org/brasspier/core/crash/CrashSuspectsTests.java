package org.brasspier.core.crash;

import java.time.Duration;
import java.util.List;
import java.util.Set;

import org.brasspier.core.InstanceId;
import org.brasspier.core.keys.BackendIncarnation;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

class CrashSuspectsTests {

	private static final long CULPRIT = 1;

	private static final InstanceId HERE = new InstanceId("here");

	private final CrashSuspects suspects = new CrashSuspects();

	private int incarnations;

	// The state of another server that crashed while running these requests.
	private CrashState crash(Long... requests) {
		this.incarnations++;
		return new CrashState(
				List.of(new CrashReport(new BackendIncarnation("server", this.incarnations), Set.of(requests))),
				Set.of());
	}

	private void crashed(Long... requests) {
		this.suspects.merge(new InstanceId("instance-" + this.incarnations), crash(requests), 0);
	}

	@Test
	void oneCrashBlocksNothing() {
		crashed(CULPRIT, 2L, 3L);
		assertThat(this.suspects.isBlocked(CULPRIT, 0)).isFalse();
		assertThat(this.suspects.isSuspect(2)).isTrue();
	}

	/**
	 * Two servers with fourteen slots in use each crash, and both ran one and the same
	 * request.
	 */
	@Test
	void onlyTheRequestThatTwoCrashesShareIsBlocked() {
		crashed(CULPRIT, 2L, 3L, 4L);
		crashed(CULPRIT, 5L, 6L, 7L);
		assertThat(this.suspects.isBlocked(CULPRIT, 0)).isTrue();
		assertThat(this.suspects.blockedCount()).isEqualTo(1);
	}

	/**
	 * Guards against blocking a request because it was sent to another server together
	 * with the culprit.
	 */
	@Test
	void aRequestThatTwoCrashesShareBesideTheCulpritIsNotBlocked() {
		crashed(CULPRIT, 2L, 3L);
		crashed(CULPRIT, 2L, 4L);
		assertThat(this.suspects.blockedCount()).isEqualTo(0);
		crashed(CULPRIT, 5L);
		assertThat(this.suspects.isBlocked(CULPRIT, 0)).isTrue();
		assertThat(this.suspects.blockedCount()).isEqualTo(1);
	}

	/**
	 * Guards against blocking a harmless request that ran together with the culprit on
	 * three servers before any of their crashes was reported.
	 */
	@Test
	void aRequestThatAlwaysRanWithTheCulpritIsNotBlockedOnceTheCulpritHasRunAlone() {
		crashed(CULPRIT, 2L);
		crashed(CULPRIT, 2L);
		crashed(CULPRIT, 2L);
		assertThat(this.suspects.isBlocked(2, 0)).isFalse();
		crashed(CULPRIT);
		assertThat(this.suspects.isBlocked(CULPRIT, 0)).isTrue();
		assertThat(this.suspects.isBlocked(2, 0)).isFalse();
	}

	/** Guards against losing more than two servers after the third. */
	@Test
	void aRequestOfFiveCrashesIsBlockedWhateverElseWasPartOfThem() {
		for (int i = 0; i < 5; i++) {
			assertThat(this.suspects.isBlocked(CULPRIT, 0)).isFalse();
			crashed(CULPRIT, 2L);
		}
		assertThat(this.suspects.isBlocked(CULPRIT, 0)).isTrue();
	}

	/** Guards against blocking harmless requests permanently. */
	@Test
	void aRequestThatSucceedsIsClearedAndTheCulpritRemains() {
		crashed(CULPRIT, 2L);
		assertThat(this.suspects.recordAnswer(HERE, 2, 200, 0)).isTrue();
		assertThat(this.suspects.recordAnswer(HERE, 2, 200, 0)).isFalse();
		crashed(CULPRIT, 2L);
		assertThat(this.suspects.isBlocked(CULPRIT, 0)).isTrue();
		assertThat(this.suspects.isBlocked(2, 0)).isFalse();
		assertThat(this.suspects.stateOf(HERE).cleared()).containsExactly(2L);
	}

	/**
	 * Guards against sending a request to server after server because one of them
	 * answered it with an error, such as a missed deadline, before it could crash.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 500, 502, 503, 504 })
	void aServerErrorDoesNotClearTheCulprit(int status) {
		crashed(CULPRIT, 2L);
		assertThat(this.suspects.recordAnswer(HERE, CULPRIT, status, 0)).isFalse();
		crashed(CULPRIT, 3L);
		assertThat(this.suspects.isBlocked(CULPRIT, 0)).isTrue();
		assertThat(this.suspects.stateOf(HERE).cleared()).isEmpty();
	}

	/**
	 * Guards against a request that ran well before it began to crash servers, for
	 * example because a new release was installed.
	 */
	@Test
	@Tag("known-red")
	void aSuccessDoesNotClearCrashesThatComeAfterIt() {
		crashed(CULPRIT, 2L);
		assertThat(this.suspects.recordAnswer(HERE, CULPRIT, 200, 0)).isTrue();
		crashed(CULPRIT, 3L);
		assertThat(this.suspects.isBlocked(CULPRIT, 0)).isFalse();
		crashed(CULPRIT, 4L);
		assertThat(this.suspects.isBlocked(CULPRIT, 0)).isTrue();
	}

	/** Guards against blocking a harmless request whose answer is no success. */
	@ParameterizedTest
	@ValueSource(ints = { 200, 302, 404, 422 })
	void anAnswerThatIsNoServerErrorClearsTheRequest(int status) {
		crashed(CULPRIT, 2L);
		assertThat(this.suspects.recordAnswer(HERE, 2, status, 0)).isTrue();
		assertThat(this.suspects.isSuspect(2)).isFalse();
	}

	/**
	 * Guards against counting one crash several times because several instances report
	 * it.
	 */
	@Test
	void aCrashThatIsMergedTwiceCountsOnce() {
		CrashState state = crash(CULPRIT);
		assertThat(this.suspects.merge(HERE, state, 0)).isTrue();
		assertThat(this.suspects.merge(HERE, state, 0)).isFalse();
		assertThat(this.suspects.isBlocked(CULPRIT, 0)).isFalse();
	}

	@Test
	void aCrashNoLongerCountsAfterFiveMinutes() {
		crashed(CULPRIT);
		crashed(CULPRIT);
		long later = Duration.ofMinutes(5).toNanos();
		assertThat(this.suspects.isBlocked(CULPRIT, later - 1)).isTrue();
		assertThat(this.suspects.isBlocked(CULPRIT, later)).isFalse();
		assertThat(this.suspects.isEmpty()).isTrue();
	}

	@Test
	void theStateOfAnInstanceIsBoundedAndHasTheLatestCrashes() {
		CrashState state = CrashState.EMPTY;
		for (int i = 0; i < CrashState.MAX_REPORTS * 3; i++) {
			state = state.withReport(crash((long) i).reports().get(0));
			this.suspects.merge(HERE, state, 0);
		}
		assertThat(this.suspects.stateOf(HERE)).isEqualTo(state);
		assertThat(state.reports()).hasSize(CrashState.MAX_REPORTS);
		assertThat(state.reports().get(CrashState.MAX_REPORTS - 1).incarnation().startedMillis())
			.isEqualTo(this.incarnations);
	}

}
