package org.brasspier.core.limit;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.stream.LongStream;

import org.brasspier.core.CallerId;
import org.brasspier.core.RequestClass;
import org.brasspier.core.admission.AdmissionController;
import org.brasspier.core.admission.AdmissionDecision;
import org.brasspier.core.admission.AdmissionLimits;
import org.brasspier.core.admission.AdmissionSettings;
import org.brasspier.core.admission.NextRequests;
import org.brasspier.core.admission.PendingRequest;
import org.brasspier.core.admission.RunOutcome;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests with the load of a server whose answers name a limit, in virtual time: requests
 * arrive at random below, at and above the limit, which may change once a second.
 */
class LimitedServerLoadTests {

	private static final long MILLI = 1_000_000;

	private static final long SECOND = 1000 * MILLI;

	private static final long RUN = 60 * MILLI;

	private static final int SECONDS = 30;

	/** Guards against a limited server that gets too much, or that stands idle. */
	@ParameterizedTest
	@CsvSource({ "66, 33, 0", "66, 165, 0", "31, 97, 0", "5, 100, 0", "60, 150, 0.5", "20, 400, 0.3" })
	void aServerGetsWhatItsLimitAllowsAndLittleLess(double perSecond, double load, double variation) {
		LongStream.range(0, 20).forEach((seed) -> {
			Run run = new Run(perSecond, load, variation, seed).play();
			assertThat(run.mostOverLimit()).isAtMost(1.05);
			assertThat(run.servedShare()).isAtLeast(0.95);
		});
	}

	/** Guards against a server at its limit that gets too much in a busy moment. */
	@Test
	void aServerAtItsLimitGetsNoMoreThanThat() {
		LongStream.range(0, 20)
			.forEach((seed) -> assertThat(new Run(66, 66, 0, seed).play().mostOverLimit()).isAtMost(1.05));
	}

	private static final class Run {

		private final double perSecond;

		private final double load;

		private final double variation;

		private final SplittableRandom random;

		private final AnnouncedLimit limit = new AnnouncedLimit(0);

		private final AdmissionController admission = new AdmissionController(new AdmissionLimits(14, 100),
				AdmissionSettings.DEFAULT, this.limit);

		private final Map<Long, Long> sent = new HashMap<>();

		private final PriorityQueue<long[]> ends = new PriorityQueue<>((one, other) -> Long.compare(one[0], other[0]));

		private final List<Double> limits = new ArrayList<>();

		private long offered;

		Run(double perSecond, double load, double variation, long seed) {
			this.perSecond = perSecond;
			this.load = load;
			this.variation = variation;
			this.random = new SplittableRandom(seed);
		}

		Run play() {
			for (long now = 0; now < SECONDS * SECOND; now += MILLI) {
				if (now % SECOND == 0) {
					this.limits.add(this.perSecond * (1 + this.variation * (2 * this.random.nextDouble() - 1)));
					this.limit.onAnswer(OptionalDouble.of(this.limits.getLast()), now, now);
				}
				while (!this.ends.isEmpty() && this.ends.peek()[0] <= now) {
					start(this.admission.finished(this.ends.poll()[1], RunOutcome.ANSWERED, now), now);
				}
				if (this.random.nextDouble() < this.load / 1000) {
					offer(now);
				}
				if (now % (5 * MILLI) == 0) {
					start(this.admission.advance(now), now);
				}
			}
			return this;
		}

		private void offer(long now) {
			this.offered++;
			PendingRequest request = new PendingRequest(this.offered, RequestClass.LOOKUP, new CallerId("any"),
					now + SECOND, false);
			if (this.admission.offer(request, now) instanceof AdmissionDecision.Run) {
				send(this.offered, now);
			}
		}

		private void start(NextRequests next, long now) {
			next.run().forEach((id) -> send(id, now));
		}

		private void send(long id, long now) {
			this.limit.onSent(now);
			this.sent.put(id, now);
			this.ends.add(new long[] { now + RUN, id });
		}

		private double allowed(int from, int seconds) {
			return this.limits.subList(from, Math.min(SECONDS, from + seconds))
				.stream()
				.mapToDouble(Double::doubleValue)
				.sum();
		}

		// Returns the most that was sent within four seconds over what was allowed,
		// beyond
		// a burst of two requests.
		double mostOverLimit() {
			long window = Duration.ofSeconds(4).toSeconds();
			return LongStream.range(0, SECONDS - window)
				.mapToDouble((from) -> Math.max(0,
						this.sent.values()
							.stream()
							.filter((at) -> at >= from * SECOND && at < (from + window) * SECOND)
							.count() - 2)
						/ allowed((int) from, (int) window))
				.max()
				.orElse(0);
		}

		// Returns what was sent over what could have been sent.
		double servedShare() {
			return (this.sent.size() + 1) / Math.min(this.offered, allowed(0, SECONDS));
		}

	}

}
