package org.brasspier.core.limit;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

class AnnouncedLimitTests {

	private static final long MILLI = 1_000_000;

	private static final long SECOND = 1000 * MILLI;

	private final AnnouncedLimit limit = new AnnouncedLimit(0);

	private final List<Long> sent = new ArrayList<>();

	private void named(double perSecond, long sentNanos, long now) {
		this.limit.onAnswer(OptionalDouble.of(perSecond), sentNanos, now);
	}

	private void notNamed(long sentNanos, long now) {
		this.limit.onAnswer(OptionalDouble.empty(), sentNanos, now);
	}

	// Sends a request at each millisecond at which the limit permits one.
	private void sendAll(long from, long until) {
		for (long now = from; now < until; now += MILLI) {
			while (this.limit.mayStart(now) && this.sent.stream().filter(List.of(now)::contains).count() < 10) {
				this.limit.onStarted();
				this.limit.onSent(now);
				this.sent.add(now);
			}
		}
	}

	private long mostWithin(Duration window) {
		return this.sent.stream()
			.mapToLong(
					(start) -> this.sent.stream().filter((at) -> at >= start && at - start < window.toNanos()).count())
			.max()
			.orElse(0);
	}

	/** Guards against a server that gets more, or much less, than it asks for. */
	@ParameterizedTest
	@ValueSource(doubles = { 0.25, 0.5, 1, 3.7, 31.2, 66.4, 900 })
	void anyFourSecondsHaveWhatTheLimitAllows(double perSecond) {
		named(perSecond, 0, 0);
		sendAll(0, 20 * SECOND);
		assertThat(mostWithin(Duration.ofSeconds(4))).isAtMost((long) Math.ceil(4.1 * perSecond) + 1);
		assertThat(this.sent.size()).isAtLeast((int) (0.95 * 20 * perSecond));
	}

	/** Guards against a limit of zero that no answer could ever end. */
	@Test
	void aLimitOfZeroLetsARequestThroughEachFourSeconds() {
		named(0, 0, 0);
		sendAll(0, 20 * SECOND);
		assertThat(this.sent.size()).isIn(List.of(5, 6));
	}

	@Test
	void withoutALimitNothingWaits() {
		assertThat(this.limit.mayStart(0)).isTrue();
		assertThat(this.limit.expectedWait(1000, 0)).isEqualTo(Duration.ZERO);
		assertThat(this.limit.interval()).isEqualTo(Duration.ZERO);
	}

	@Test
	void theWaitGrowsByOneIntervalForEachRequestAhead() {
		named(10, 0, 0);
		sendAll(0, SECOND);
		Duration first = this.limit.expectedWait(1, SECOND);
		assertThat(this.limit.expectedWait(4, SECOND)).isEqualTo(first.plusMillis(300));
		assertThat(this.limit.interval()).isEqualTo(Duration.ofMillis(100));
	}

	/** Guards against a limit that ends late, or with an answer that was overtaken. */
	@Test
	void aLimitEndsWithTheFirstAnswerOfALaterRequestThatDoesNotNameIt() {
		named(10, 5 * MILLI, 20 * MILLI);
		notNamed(4 * MILLI, 30 * MILLI);
		assertThat(this.limit.perSecond()).isEqualTo(OptionalDouble.of(10));
		notNamed(6 * MILLI, 31 * MILLI);
		assertThat(this.limit.perSecond()).isEqualTo(OptionalDouble.empty());
		named(10, 5 * MILLI, 32 * MILLI);
		assertThat(this.limit.perSecond()).isEqualTo(OptionalDouble.empty());
	}

	/** Guards against limiting a server for what the one before it had named. */
	@Test
	void aLimitEndsWithItsServer() {
		named(10, 5 * MILLI, 20 * MILLI);
		this.limit.onServerEnded(30 * MILLI);
		assertThat(this.limit.perSecond()).isEqualTo(OptionalDouble.empty());
		named(20, 1 * MILLI, 31 * MILLI);
		assertThat(this.limit.perSecond()).isEqualTo(OptionalDouble.of(20));
	}

	/** Guards against a restored limit that replaces what an answer has told. */
	@Test
	void aRestoredLimitHoldsUntilTheFirstAnswer() {
		this.limit.restore(10, 0);
		assertThat(this.limit.perSecond()).isEqualTo(OptionalDouble.of(10));
		assertThat(this.limit.lastingPerSecond(0)).isEqualTo(OptionalDouble.of(10));
		notNamed(1, 2);
		this.limit.restore(10, 3);
		assertThat(this.limit.perSecond()).isEqualTo(OptionalDouble.empty());
	}

	/** Guards against moving keys at the first answer, or back at once. */
	@Test
	void aLimitCountsAsLastingAfterTwoSecondsAndForTwoSecondsAfterItsEnd() {
		named(10, 0, SECOND);
		assertThat(this.limit.lastingPerSecond(2 * SECOND)).isEqualTo(OptionalDouble.empty());
		named(12, SECOND, 2 * SECOND);
		assertThat(this.limit.lastingPerSecond(3 * SECOND)).isEqualTo(OptionalDouble.of(12));
		notNamed(4 * SECOND, 4 * SECOND);
		assertThat(this.limit.lastingPerSecond(5 * SECOND)).isEqualTo(OptionalDouble.of(12));
		assertThat(this.limit.lastingPerSecond(6 * SECOND)).isEqualTo(OptionalDouble.empty());
	}

	/** Guards against a burst after a limit has fallen. */
	@Test
	void aLimitThatFallsHoldsAtOnce() {
		named(1000, 0, 0);
		sendAll(0, SECOND);
		named(10, 1, SECOND);
		this.sent.clear();
		sendAll(SECOND, 5 * SECOND);
		assertThat(this.sent.size()).isAtMost(42);
	}

}
