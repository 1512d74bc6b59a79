package org.brasspier.core.choosing;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Function;
import java.util.stream.IntStream;

import org.brasspier.core.InstanceId;
import org.brasspier.core.RequestClass;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class BackendChooserTests {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private static final int REQUESTS = 4000;

	private final BackendChooser chooser = new BackendChooser(1, new SplittableRandom(3));

	private final Map<Integer, Integer> chosen = new HashMap<>();

	@Test
	void nearFailureDomainIsChosenWhenEquallyFast() {
		run(List.of(candidate(0, 0, 1), candidate(1, 2, 1)), (server) -> 10.0, 2, 0);
		assertThat(this.chosen.get(0)).isAtLeast(REQUESTS * 9 / 10);
	}

	@Test
	void farFailureDomainIsChosenWhenTheNearOneIsSlower() {
		run(List.of(candidate(0, 0, 1), candidate(1, 2, 1)), (server) -> (server == 0) ? 20.0 : 10.0, 2, 0);
		assertThat(this.chosen.get(1)).isAtLeast(REQUESTS * 8 / 10);
	}

	/**
	 * One server in four becomes 20 times slower while its health check still passes. It
	 * must receive only a few requests, and its full share again once it is fast.
	 */
	@Test
	void slowServerGetsFewRequestsUntilItIsFastAgain() {
		List<Candidate> four = IntStream.range(0, 4).mapToObj((i) -> candidate(i, 1, 1)).toList();
		run(four, (server) -> (server == 0) ? 200.0 : 10.0, 8, 0);
		this.chosen.clear();
		run(four, (server) -> (server == 0) ? 200.0 : 10.0, 8, 60_000);
		assertThat(this.chosen.getOrDefault(0, 0)).isIn(com.google.common.collect.Range.closed(3, REQUESTS / 100));
		run(four, (server) -> 10.0, 8, 120_000);
		IntStream.range(0, 10).forEach((i) -> run(four, (server) -> 10.0, 8, 200_000 + i * 20_000L));
		this.chosen.clear();
		run(four, (server) -> 10.0, 8, 600_000);
		assertThat(this.chosen.get(0)).isAtLeast(REQUESTS / 6);
	}

	@Test
	void allServersFailingStillGetRequests() {
		List<Candidate> two = List.of(candidate(0, 0, 1), candidate(1, 0, 1));
		IntStream.range(0, 200).forEach((i) -> {
			InstanceId instance = this.chooser.choose(two, RequestClass.LOOKUP, i * NANOS_PER_MILLI).orElseThrow();
			this.chooser.onEnded(instance, RequestClass.LOOKUP, NANOS_PER_MILLI, true);
			this.chosen.merge(index(instance), 1, Integer::sum);
		});
		assertThat(this.chosen.keySet()).containsExactly(0, 1);
	}

	// Guards against a daemon that started first and continues to choose as if it were
	// the only one.
	@Test
	void requestsInFlightAreScaledByTheCurrentNumberOfDaemons() {
		List<Candidate> nearAndFar = List.of(candidate(0, 0, 1), candidate(1, 12, 1));
		assertThat(index(this.chooser.choose(nearAndFar, RequestClass.POSTING, 0).orElseThrow())).isEqualTo(0);
		assertThat(index(this.chooser.choose(nearAndFar, RequestClass.POSTING, 0).orElseThrow())).isEqualTo(0);
		this.chooser.daemonCount(40);
		assertThat(index(this.chooser.choose(nearAndFar, RequestClass.POSTING, 0).orElseThrow())).isEqualTo(1);
	}

	// Guards against servers that a daemon with few requests never tries, because its
	// only trials are of the server that it would have chosen anyway.
	@Test
	void firstLookupIsATrialOfAnotherServerThanTheFastest() {
		List<Candidate> nearAndFar = List.of(candidate(0, 0, 1), candidate(1, 2, 1));
		IntStream.range(0, 20).forEach((seed) -> {
			BackendChooser fresh = new BackendChooser(1, new SplittableRandom(seed));
			assertThat(index(fresh.choose(nearAndFar, RequestClass.LOOKUP, 0).orElseThrow())).isEqualTo(1);
		});
	}

	// Guards against a failing server that is chosen first again and again, because its
	// statistics are dropped when the request is resent to another one.
	@Test
	void failingServerIsAvoidedWhenItsRequestsAreResentElsewhere() {
		List<Candidate> four = IntStream.range(0, 4).mapToObj((i) -> candidate(i, 1, 1)).toList();
		IntStream.range(0, 1000).forEach((i) -> {
			long now = i * 10 * NANOS_PER_MILLI;
			InstanceId first = this.chooser.choose(four, RequestClass.LOOKUP, now).orElseThrow();
			boolean failed = index(first) == 0;
			this.chooser.onEnded(first, RequestClass.LOOKUP, 5 * NANOS_PER_MILLI, failed);
			this.chosen.merge(index(first), 1, Integer::sum);
			if (failed) {
				InstanceId second = this.chooser.choose(four.subList(1, 4), RequestClass.LOOKUP, now).orElseThrow();
				this.chooser.onEnded(second, RequestClass.LOOKUP, 5 * NANOS_PER_MILLI, false);
			}
		});
		assertThat(this.chosen.getOrDefault(0, 0)).isAtMost(50);
	}

	@Test
	void warmingServerGetsItsWarmShare() {
		run(List.of(candidate(0, 0, 1), candidate(1, 0, 0.2)), (server) -> 10.0, 12, 0);
		assertThat(this.chosen.get(1) / (double) REQUESTS).isWithin(0.07).of(1 / 6.0);
	}

	private void run(List<Candidate> candidates, Function<Integer, Double> millis, int concurrency, long startMillis) {
		java.util.PriorityQueue<Flight> flights = new java.util.PriorityQueue<>();
		long now = startMillis * NANOS_PER_MILLI;
		for (int i = 0; i < REQUESTS; i++) {
			if (flights.size() >= concurrency) {
				Flight flight = flights.remove();
				now = flight.endNanos();
				this.chooser.onEnded(flight.instance(), RequestClass.LOOKUP, now - flight.startNanos(), false);
			}
			InstanceId instance = this.chooser.choose(candidates, RequestClass.LOOKUP, now).orElseThrow();
			this.chosen.merge(index(instance), 1, Integer::sum);
			long took = (long) (millis.apply(index(instance)) * NANOS_PER_MILLI);
			flights.add(new Flight(now, now + took, instance));
		}
		flights.forEach((flight) -> this.chooser.onEnded(flight.instance(), RequestClass.LOOKUP,
				flight.endNanos() - flight.startNanos(), false));
	}

	private static int index(InstanceId instance) {
		return Integer.parseInt(instance.value());
	}

	private static Candidate candidate(int index, int distanceMillis, double warmShare) {
		return new Candidate(new InstanceId("" + index), Duration.ofMillis(distanceMillis), 10, warmShare);
	}

	private record Flight(long startNanos, long endNanos, InstanceId instance) implements Comparable<Flight> {

		@Override
		public int compareTo(Flight other) {
			return Long.compare(this.endNanos, other.endNanos);
		}

	}

}
