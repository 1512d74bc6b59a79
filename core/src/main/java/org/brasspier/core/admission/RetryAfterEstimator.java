package org.brasspier.core.admission;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Determines when refused callers of one class should retry: one after the other, at the
 * rate at which their queue drains. If all were given the same time, a burst would only
 * be postponed; if all classes shared one sequence, a lookup would be told to wait for
 * audit readers, although it has priority over them.
 * <p>
 * While the server is overloaded there is no capacity for retries: new requests alone
 * fill it, and a retry is refused again or takes the place of a new request. The
 * remaining time of an overload is estimated as the time that it has lasted so far.
 * <p>
 * A caller that can come back at its time, and whose return will be recognized, gets a
 * place: new requests are admitted as if it were waiting already. At most a quarter of
 * the starts are given out as places, so that returns never keep out new requests. A
 * place that nobody takes expires. Not thread-safe.
 */
final class RetryAfterEstimator {

	/** Shortest pause: an earlier retry would find the same queue. */
	private static final long MIN_PAUSE_NANOS = Duration.ofMillis(50).toNanos();

	/**
	 * Longest pause: during a longer one, people retry by hand, and the backlog after it
	 * cannot be predicted.
	 */
	private static final long MAX_PAUSE_NANOS = Duration.ofSeconds(10).toNanos();

	/**
	 * Time constant with which the counts of refusals and starts decay exponentially; the
	 * counts determine whether the server is overloaded.
	 */
	private static final double DECAY_TIME_NANOS = Duration.ofMillis(500).toNanos();

	/** Decayed number of refusals below which they are considered random. */
	private static final double MIN_REFUSED = 0.5;

	/**
	 * Share of refusals from which the server counts as overloaded, so that a retry would
	 * take the place of another request.
	 */
	private static final double OVERLOAD_REFUSED_SHARE = 0.1;

	/**
	 * Share of the starts that may be kept for returns. Callers are refused because new
	 * requests alone fill the server; a larger share would only refuse others instead.
	 */
	private static final double RESERVED_SHARE = 0.25;

	/**
	 * How long a place is kept after its time: for the network, the connection that the
	 * caller opens, and the delay of its own timer.
	 */
	private static final long PLACE_GRACE_NANOS = Duration.ofMillis(250).toNanos();

	private static final int MAX_PLACES = 1024;

	private final Deque<Long> places = new ArrayDeque<>();

	private long lastPlaceNanos;

	private long nextNanos;

	private double started;

	private double refused;

	private long countedNanos;

	private boolean overloaded;

	private long overloadedSinceNanos;

	/**
	 * Records that a request of the class was started.
	 * @param now the current time, in nanoseconds
	 */
	void onStarted(long now) {
		decay(now);
		this.started++;
		updateOverloaded(now);
	}

	/**
	 * Records the refusal of a request of the class that could have been answered within
	 * its target latency.
	 * @param now the current time, in nanoseconds
	 */
	void onRefused(long now) {
		decay(now);
		this.refused++;
		updateOverloaded(now);
	}

	/**
	 * Returns whether so many requests are refused that there is no capacity for retries.
	 * @param now the current time, in nanoseconds
	 * @return true if so
	 */
	boolean isOverloaded(long now) {
		decay(now);
		return this.overloaded && this.refused >= MIN_REFUSED;
	}

	private void decay(long now) {
		double decayFactor = Math.exp(-Math.max(0, now - this.countedNanos) / DECAY_TIME_NANOS);
		this.started *= decayFactor;
		this.refused *= decayFactor;
		this.countedNanos = now;
	}

	private void updateOverloaded(long now) {
		boolean wasOverloaded = this.overloaded;
		this.overloaded = this.refused >= OVERLOAD_REFUSED_SHARE * (this.started + this.refused);
		if (this.overloaded && !wasOverloaded) {
			this.overloadedSinceNanos = now;
		}
	}

	/**
	 * Returns the pause for one more refused request.
	 * @param now the current time, in nanoseconds
	 * @param waitNanos how long a request of its class would wait now, in nanoseconds
	 * @param intervalNanos the interval at which the backend server starts requests of
	 * the class, in nanoseconds
	 * @return from 50 ms to 10 s
	 */
	Duration nextPause(long now, double waitNanos, double intervalNanos) {
		long earliest = earliest(now, waitNanos);
		this.nextNanos = Math.max(earliest, Math.min(this.nextNanos + (long) intervalNanos, now + MAX_PAUSE_NANOS));
		return Duration.ofNanos(this.nextNanos - now);
	}

	private long earliest(long now, double waitNanos) {
		double overloadNanos = this.overloaded ? now - this.overloadedSinceNanos : 0;
		double wait = Math.max(overloadNanos, Math.max(MIN_PAUSE_NANOS, waitNanos));
		return now + (long) Math.min(MAX_PAUSE_NANOS, wait);
	}

	/**
	 * Returns the pause for one more refused request whose caller comes back if the pause
	 * is short enough, and keeps a place for it in that case. A longer pause is not
	 * shortened: the caller is told the truth, and takes no place from others.
	 * @param now the current time, in nanoseconds
	 * @param waitNanos how long a request of its class would wait now, in nanoseconds
	 * @param intervalNanos the interval at which the backend server starts requests of
	 * the class, in nanoseconds
	 * @param longestNanos the longest pause after which the caller comes back, in
	 * nanoseconds
	 * @return from 50 ms to 10 s
	 */
	Duration reservePause(long now, double waitNanos, double intervalNanos, long longestNanos) {
		removeExpired(now);
		long free = Math.max(earliest(now, waitNanos), this.lastPlaceNanos + (long) (intervalNanos / RESERVED_SHARE));
		long place = Math.min(free, now + MAX_PAUSE_NANOS);
		if (place - now > longestNanos || this.places.size() >= MAX_PLACES) {
			Duration pause = nextPause(now, waitNanos, intervalNanos);
			return (pause.toNanos() < place - now) ? Duration.ofNanos(place - now) : pause;
		}
		this.lastPlaceNanos = place;
		this.places.addLast(place);
		return Duration.ofNanos(place - now);
	}

	/**
	 * Gives the earliest place to a return that has arrived on time.
	 * @param now the current time, in nanoseconds
	 */
	void takePlace(long now) {
		removeExpired(now);
		if (!this.places.isEmpty() && this.places.element() - now <= PLACE_GRACE_NANOS) {
			this.places.removeFirst();
		}
	}

	/**
	 * Returns the number of places whose callers may come back up to a time.
	 * @param now the current time, in nanoseconds
	 * @param until the time, in nanoseconds
	 * @return at least 0
	 */
	int placesDue(long now, long until) {
		if (this.places.isEmpty()) {
			return 0;
		}
		removeExpired(now);
		int due = 0;
		for (long place : this.places) {
			if (place > until) {
				break;
			}
			due++;
		}
		return due;
	}

	private void removeExpired(long now) {
		while (!this.places.isEmpty() && now - this.places.element() > PLACE_GRACE_NANOS) {
			this.places.removeFirst();
		}
	}

}
