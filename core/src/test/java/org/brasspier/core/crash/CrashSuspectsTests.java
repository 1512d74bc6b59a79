package org.brasspier.core.crash;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.LongStream;

import org.brasspier.core.InstanceId;
import org.brasspier.core.keys.BackendIncarnation;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

class CrashSuspectsTests {

	private static final long CULPRIT = 1;

	private static final long NANOS_PER_SECOND = 1_000_000_000;

	private static final InstanceId HERE = new InstanceId("here");

	private final CrashSuspects suspects = new CrashSuspects(HERE);

	private int incarnations;

	private static RequestFingerprint request(long number) {
		return new RequestFingerprint(number, number, number);
	}

	private static Set<RequestFingerprint> requests(Long... numbers) {
		return Arrays.stream(numbers).map(CrashSuspectsTests::request).collect(Collectors.toUnmodifiableSet());
	}

	private static CrashState state(CrashReport... reports) {
		return new CrashState(List.of(reports), Set.of(), Set.of());
	}

	// The state of another server that crashed while running these requests.
	private CrashState crash(Long... numbers) {
		this.incarnations++;
		return state(new CrashReport(this.incarnations, new BackendIncarnation("server", this.incarnations),
				requests(numbers)));
	}

	private void crashed(Long... requests) {
		this.suspects.merge(new InstanceId("instance-" + this.incarnations), crash(requests), 0);
	}

	private boolean isBlocked(long number, long nowNanos) {
		return this.suspects.isBlocked(request(number), nowNanos);
	}

	private boolean answered(long number, int status) {
		return this.suspects.recordAnswer(request(number), status, 0, 0);
	}

	@Test
	void oneCrashBlocksNothing() {
		crashed(CULPRIT, 2L, 3L);
		assertThat(isBlocked(CULPRIT, 0)).isFalse();
		assertThat(this.suspects.isSuspect(request(2))).isTrue();
	}

	/**
	 * Two servers with fourteen slots in use each crash, and both ran one and the same
	 * request.
	 */
	@Test
	void onlyTheRequestThatTwoCrashesShareIsBlocked() {
		crashed(CULPRIT, 2L, 3L, 4L);
		crashed(CULPRIT, 5L, 6L, 7L);
		assertThat(isBlocked(CULPRIT, 0)).isTrue();
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
		assertThat(isBlocked(CULPRIT, 0)).isTrue();
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
		assertThat(isBlocked(2, 0)).isFalse();
		crashed(CULPRIT);
		assertThat(isBlocked(CULPRIT, 0)).isTrue();
		assertThat(isBlocked(2, 0)).isFalse();
	}

	/** Guards against losing more than two servers after the third. */
	@Test
	void aRequestOfFiveCrashesIsBlockedWhateverElseWasPartOfThem() {
		for (int i = 0; i < 5; i++) {
			assertThat(isBlocked(CULPRIT, 0)).isFalse();
			crashed(CULPRIT, 2L);
		}
		assertThat(isBlocked(CULPRIT, 0)).isTrue();
	}

	/** Guards against blocking harmless requests permanently. */
	@Test
	void aRequestThatSucceedsIsClearedAndTheCulpritRemains() {
		crashed(CULPRIT, 2L);
		assertThat(answered(2, 200)).isTrue();
		assertThat(answered(2, 200)).isFalse();
		crashed(CULPRIT, 2L);
		assertThat(isBlocked(CULPRIT, 0)).isTrue();
		assertThat(isBlocked(2, 0)).isFalse();
		assertThat(this.suspects.ownState(0).exonerations()).containsExactly(new Exoneration(1, 2, 2));
		assertThat(this.suspects.ownState(0).cleared()).containsExactly(2L);
	}

	/**
	 * Guards against sending a request to server after server because one of them
	 * answered it with an error, such as a missed deadline, before it could crash.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 500, 502, 503, 504 })
	void aServerErrorDoesNotClearTheCulprit(int status) {
		crashed(CULPRIT, 2L);
		assertThat(answered(CULPRIT, status)).isFalse();
		crashed(CULPRIT, 3L);
		assertThat(isBlocked(CULPRIT, 0)).isTrue();
		assertThat(this.suspects.ownState(0).exonerations()).isEmpty();
		assertThat(this.suspects.ownState(0).cleared()).isEmpty();
	}

	/**
	 * Guards against a request that ran well before it began to crash servers, for
	 * example because a new release was installed.
	 */
	@Test
	void aSuccessDoesNotClearCrashesThatComeAfterIt() {
		crashed(CULPRIT, 2L);
		assertThat(answered(CULPRIT, 200)).isTrue();
		crashed(CULPRIT, 3L);
		assertThat(isBlocked(CULPRIT, 0)).isFalse();
		crashed(CULPRIT, 4L);
		assertThat(isBlocked(CULPRIT, 0)).isTrue();
	}

	/** Guards against blocking a harmless request whose answer is no success. */
	@ParameterizedTest
	@ValueSource(ints = { 200, 302, 404, 422 })
	void anAnswerThatIsNoServerErrorClearsTheRequest(int status) {
		crashed(CULPRIT, 2L);
		assertThat(answered(2, status)).isTrue();
		assertThat(this.suspects.isSuspect(request(2))).isFalse();
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
		assertThat(isBlocked(CULPRIT, 0)).isFalse();
	}

	@Test
	void aCrashNoLongerCountsAfterFiveMinutes() {
		for (int i = 0; i < 5; i++) {
			crashed(CULPRIT);
		}
		long later = Duration.ofMinutes(5).toNanos();
		assertThat(isBlocked(CULPRIT, later - 1)).isTrue();
		assertThat(isBlocked(CULPRIT, later)).isFalse();
		assertThat(this.suspects.isEmpty()).isTrue();
	}

	/**
	 * Guards against refusing a harmless request for minutes because it ran on two
	 * servers that crashed for another reason.
	 */
	@Test
	void theBlockAfterTwoCrashesEndsWithinFortyFiveSecondsAndEachFurtherOneLater() {
		crashed(CULPRIT);
		crashed(CULPRIT);
		assertThat(isBlocked(CULPRIT, 14 * NANOS_PER_SECOND)).isTrue();
		assertThat(isBlocked(CULPRIT, 45 * NANOS_PER_SECOND)).isFalse();
		crashed(CULPRIT);
		assertThat(isBlocked(CULPRIT, 59 * NANOS_PER_SECOND)).isTrue();
		assertThat(isBlocked(CULPRIT, 180 * NANOS_PER_SECOND)).isFalse();
	}

	/** Guards against instances that all try a blocked request again at the same time. */
	@Test
	void theBlockEndsAtAnotherTimeOnEachInstance() {
		List<Long> ends = IntStream.range(0, 20).mapToObj((i) -> {
			CrashSuspects other = new CrashSuspects(new InstanceId("other-" + i));
			other.merge(HERE, crash(CULPRIT), 0);
			other.merge(HERE, crash(CULPRIT), 0);
			return LongStream.range(0, 60)
				.filter((second) -> !other.isBlocked(request(CULPRIT), second * NANOS_PER_SECOND))
				.findFirst()
				.orElseThrow();
		}).toList();
		assertThat(Set.copyOf(ends).size()).isAtLeast(8);
	}

	/**
	 * Guards against a harmless request that differs from the crashing one in its query
	 * or its calling service, and clears it by succeeding.
	 */
	@Test
	void theSuccessOfARequestWithAnotherFingerprintClearsNothing() {
		RequestFingerprint culprit = new RequestFingerprint(1, 10, 100);
		RequestFingerprint otherQuery = new RequestFingerprint(2, 10, 100);
		RequestFingerprint otherCaller = new RequestFingerprint(3, 30, 100);
		for (int i = 0; i < 2; i++) {
			this.incarnations++;
			this.suspects.merge(HERE, state(new CrashReport(this.incarnations,
					new BackendIncarnation("server", this.incarnations), Set.of(culprit))), 0);
			this.suspects.recordAnswer(otherQuery, 200, 0, 0);
			this.suspects.recordAnswer(otherCaller, 200, 0, 0);
		}
		assertThat(this.suspects.isBlocked(culprit, 0)).isTrue();
		assertThat(this.suspects.isBlocked(otherQuery, 0)).isFalse();
		assertThat(this.suspects.isBlocked(otherCaller, 0)).isFalse();
	}

	/**
	 * Guards against a request that crashes servers whatever its query is, and whose
	 * caller sends it with another query each time.
	 */
	@Test
	void crashesWithDifferentQueriesAreCountedTogether() {
		for (int i = 1; i <= 2; i++) {
			this.suspects.merge(HERE, state(new CrashReport(i, new BackendIncarnation("server", i),
					Set.of(new RequestFingerprint(i, 10, 100), request(1000 + i)))), 0);
		}
		assertThat(this.suspects.isBlocked(new RequestFingerprint(7, 10, 100), 0)).isTrue();
		assertThat(this.suspects.isBlocked(request(1001), 0)).isFalse();
	}

	/**
	 * Guards against a crash that is not counted because its server restarted under the
	 * same id.
	 */
	@Test
	void twoCrashesOfOneIncarnationBothCount() {
		BackendIncarnation server = new BackendIncarnation("server", 1);
		this.suspects.merge(HERE, state(new CrashReport(1, server, requests(CULPRIT, 2L))), 0);
		this.suspects.merge(HERE, state(new CrashReport(2, server, requests(CULPRIT, 3L))), 0);
		assertThat(isBlocked(CULPRIT, 0)).isTrue();
	}

	/** Guards against an exoneration that overtakes the report of its crash. */
	@Test
	void anExonerationThatArrivesBeforeItsCrashCounts() {
		this.suspects.merge(HERE, new CrashState(List.of(), Set.of(new Exoneration(1, 2, 2)), Set.of()), 0);
		crashed(CULPRIT, 2L);
		assertThat(this.suspects.isSuspect(request(2))).isFalse();
		assertThat(this.suspects.isSuspect(request(CULPRIT))).isTrue();
	}

	/** Guards against a success of a request that was sent before the crash. */
	@Test
	void anAnswerToARequestSentBeforeTheCrashBecameKnownClearsNothing() {
		this.suspects.merge(HERE, crash(CULPRIT, 2L), 10);
		assertThat(this.suspects.recordAnswer(request(CULPRIT), 200, 9, 20)).isFalse();
		assertThat(this.suspects.recordAnswer(request(2), 200, 10, 20)).isTrue();
	}

	/**
	 * Guards against crashes that daemons of an earlier build report, and whose requests
	 * daemons of this build would not recognise, or the other way round.
	 */
	@Test
	void crashesThatDaemonsOfTwoBuildsReportAreCountedTogether() {
		RequestFingerprint culprit = new RequestFingerprint(1, 10, 100);
		this.suspects.merge(HERE,
				state(CrashReport.ofEarlierBuild(new BackendIncarnation("server", 1), Set.of(100L, 200L))), 0);
		this.suspects.merge(HERE, state(new CrashReport(2, new BackendIncarnation("server", 2), Set.of(culprit))), 0);
		assertThat(this.suspects.isBlocked(culprit, 0)).isTrue();
		assertThat(this.suspects.isBlocked(new RequestFingerprint(2, 20, 200), 0)).isFalse();
		this.suspects.merge(HERE, new CrashState(List.of(), Set.of(), Set.of(100L)), 0);
		assertThat(this.suspects.isBlocked(culprit, 0)).isFalse();
	}

	@Test
	void theStateOfAnInstanceIsBoundedAndHasTheLatestCrashes() {
		List<CrashReport> reports = new ArrayList<>();
		for (int i = 0; i < CrashState.MAX_REPORTS * 3; i++) {
			CrashReport report = crash((long) i).reports().get(0);
			reports.add(report);
			this.suspects.recordCrash(report, 0);
		}
		CrashState state = this.suspects.ownState(0);
		assertThat(state.reports()).hasSize(CrashState.MAX_REPORTS);
		assertThat(state.reports()).containsExactlyElementsIn(CrashState.latest(reports)).inOrder();
		assertThat(state.reports().get(CrashState.MAX_REPORTS - 1).incarnation().startedMillis())
			.isEqualTo(this.incarnations);
	}

	/**
	 * Guards against a crash that no longer counts here and is counted anew by each
	 * instance that connects later.
	 */
	@Test
	void theStateOfAnInstanceContainsNoCrashThatNoLongerCounts() {
		this.suspects.recordCrash(crash(CULPRIT).reports().get(0), 0);
		long retention = CrashSuspects.RETENTION.toNanos();
		assertThat(this.suspects.ownState(retention - 1).reports()).hasSize(1);
		assertThat(this.suspects.ownState(retention)).isEqualTo(CrashState.EMPTY);
	}

}
