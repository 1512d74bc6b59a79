package org.brasspier.core.calls;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.brasspier.core.ErrorKind;
import org.brasspier.core.Failure;
import org.brasspier.core.mesh.SendOutcome;
import org.brasspier.core.returns.RefusalCause;

/**
 * Admission control for requests that lead to calls (adaptive throttling). While the
 * services that the local backend server calls refuse calls, some of the new requests to
 * that server are refused before they run; otherwise they would hold a slot until a call
 * fails, and the work would be wasted. Some requests always pass, and their calls show
 * when there is capacity again. Times are nanoseconds of one monotonic clock. Not
 * thread-safe.
 */
public final class CallThrottle implements CompletionListener {

	private static final Duration HALF_LIFE = Duration.ofSeconds(1);

	/**
	 * The number of calls of a run is averaged for longer than the outcomes, so that it
	 * remains known while most requests are refused.
	 */
	private static final Duration CALLS_PER_RUN_HALF_LIFE = Duration.ofSeconds(10);

	/**
	 * Multiple of the accepted calls that may be made without throttling. Calls beyond
	 * the accepted ones detect capacity that has become free.
	 */
	private static final double ACCEPTED_MULTIPLE = 1.1;

	/**
	 * Calls of a route per run from which requests are throttled for its sake. Below,
	 * most requests make no such call, and refusing them would waste capacity.
	 */
	private static final double MIN_CALLS_PER_RUN = 0.2;

	/** Weight of remembered runs below which the number of calls per run is unknown. */
	private static final double MIN_RUNS = 5;

	/** The lowest HTTP status that means that a call failed. */
	private static final int SERVER_ERROR = 500;

	private final Map<String, Calls> routes = new BoundedMap<>();

	private final DecayingCount runs = new DecayingCount(CALLS_PER_RUN_HALF_LIFE);

	private final RandomGenerator random;

	private long refusedCount;

	/**
	 * Creates a throttle without observations, which refuses nothing.
	 * @param random decides which requests are refused
	 */
	public CallThrottle(RandomGenerator random) {
		this.random = random;
	}

	/**
	 * Records that the local backend server starts a request that is not a call.
	 * @param now the current time, in nanoseconds
	 */
	public void onRunStarted(long now) {
		this.runs.add(1, now);
	}

	@Override
	public void onCompleted(String route, SendOutcome outcome, boolean callRoute, long now) {
		if (callRoute) {
			this.routes.computeIfAbsent(route, (key) -> new Calls()).add(outcome, now);
		}
	}

	/**
	 * Decides whether a new request that is not a call is refused, since the calls that
	 * it would lead to are likely to be refused.
	 * @param now the current time, in nanoseconds
	 * @return why it is refused, with the retry-after time of the refused calls; empty if
	 * it is not
	 */
	public Optional<Failure> refusal(long now) {
		double highest = 0;
		String route = "";
		for (Map.Entry<String, Calls> entry : this.routes.entrySet()) {
			double probability = needed(entry.getValue(), now) ? entry.getValue().refusalProbability(now) : 0;
			if (probability > highest) {
				highest = probability;
				route = entry.getKey();
			}
		}
		if (highest == 0 || this.random.nextDouble() >= highest) {
			return Optional.empty();
		}
		this.refusedCount++;
		Calls calls = this.routes.getOrDefault(route, new Calls());
		return Optional.of(new Failure(ErrorKind.OVERLOADED, RefusalCause.CALLS_DETAIL
				+ "those of route %s are likely to be refused: %.1f made, %.1f accepted lately, probability %.2f"
					.formatted(route, calls.made.value(now), calls.accepted.value(now), highest),
				calls.retryAfter));
	}

	/**
	 * Returns the number of requests refused so far.
	 * @return at least 0
	 */
	public long refusedCount() {
		return this.refusedCount;
	}

	/**
	 * Returns the probability with which a new request is refused now.
	 * @param now the current time, in nanoseconds
	 * @return from 0 to 1
	 */
	public double refusalProbability(long now) {
		return this.routes.values()
			.stream()
			.filter((calls) -> needed(calls, now))
			.mapToDouble((calls) -> calls.refusalProbability(now))
			.max()
			.orElse(0);
	}

	private boolean needed(Calls calls, long now) {
		double started = this.runs.value(now);
		return started >= MIN_RUNS && calls.perRun.value(now) >= MIN_CALLS_PER_RUN * started;
	}

	/**
	 * The calls of one route.
	 */
	private static final class Calls {

		private final DecayingCount made = new DecayingCount(HALF_LIFE);

		private final DecayingCount accepted = new DecayingCount(HALF_LIFE);

		private final DecayingCount perRun = new DecayingCount(CALLS_PER_RUN_HALF_LIFE);

		private Duration retryAfter = Duration.ZERO;

		// A server that declines or fails calls is faulty, not full: calls are sent to
		// another one, and refusing requests would not make more calls succeed. When
		// declined calls counted as refused, a called service whose servers declined 55 %
		// of all requests at random had more requests refused than failed.
		void add(SendOutcome outcome, long now) {
			this.perRun.add(1, now);
			switch (outcome) {
				case SendOutcome.Answered answered when answered.answer().status() < SERVER_ERROR -> {
					this.made.add(1, now);
					this.accepted.add(1, now);
				}
				case SendOutcome.NotRun notRun when !notRun.reachedBackend() -> {
					this.made.add(1, now);
					this.retryAfter = notRun.failure().retryAfter();
				}
				case SendOutcome.Unknown unknown when unknown.failure().kind() == ErrorKind.TIMED_OUT ->
					this.made.add(1, now);
				default -> {
				}
			}
		}

		double refusalProbability(long now) {
			double all = this.made.value(now);
			return Math.max(0, (all - ACCEPTED_MULTIPLE * this.accepted.value(now)) / (all + 1));
		}

	}

}
