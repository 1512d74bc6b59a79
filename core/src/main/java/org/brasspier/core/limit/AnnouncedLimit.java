package org.brasspier.core.limit;

import java.time.Duration;
import java.util.OptionalDouble;

import org.brasspier.core.coldstart.StartLimit;

/**
 * Keeps the requests to a backend server within the rate that its answers name. Requests
 * are spaced evenly, but for a short burst, so that no span of time has more than the
 * rate allows. All times are nanoseconds of one steady clock. Not thread-safe.
 *
 * <p>
 * A limit is in force for as long as answers name it. Answers can overtake each other, so
 * an answer counts only if its request was sent after those of the answers that counted
 * before.
 */
public final class AnnouncedLimit implements StartLimit {

	/**
	 * The lowest rate that is enforced: without any request, no answer could tell that
	 * the limit is over.
	 */
	static final double MIN_PER_SECOND = 0.25;

	/** How much earlier than evenly spaced a request may start. */
	private static final long BURST_NANOS = Duration.ofMillis(100).toNanos();

	/** A limit that lasts this long, or that ended this long ago, counts as lasting. */
	private static final long LASTING_NANOS = Duration.ofSeconds(2).toNanos();

	private static final double NANOS_PER_SECOND = 1_000_000_000;

	private OptionalDouble perSecond = OptionalDouble.empty();

	private OptionalDouble lasting = OptionalDouble.empty();

	private long changedNanos;

	private long countedNanos;

	private boolean counted;

	// When the next request would start if all were spaced evenly.
	private long nextNanos;

	private int starting;

	/**
	 * Creates an instance without a limit.
	 * @param now the current time
	 */
	public AnnouncedLimit(long now) {
		this.changedNanos = now;
		this.nextNanos = now;
	}

	/**
	 * Records what an answer of the server names.
	 * @param named the requests per second, at least 0; empty if the answer names no
	 * limit
	 * @param sentNanos when its request was sent
	 * @param now the current time
	 */
	public void onAnswer(OptionalDouble named, long sentNanos, long now) {
		if (this.counted && sentNanos - this.countedNanos < 0) {
			return;
		}
		this.counted = true;
		this.countedNanos = sentNanos;
		set(named, now);
	}

	/**
	 * Records the limit that was last known of the server when this process started. It
	 * holds until an answer of the server tells, and had lasted.
	 * @param named the requests per second
	 * @param now the current time
	 */
	public void restore(double named, long now) {
		if (!this.counted) {
			set(OptionalDouble.of(named), now);
			this.lasting = this.perSecond;
		}
	}

	/**
	 * Records that the server has ended. Another one at its address has no limit.
	 * @param now the current time
	 */
	public void onServerEnded(long now) {
		this.counted = false;
		set(OptionalDouble.empty(), now);
	}

	private void set(OptionalDouble named, long now) {
		if (named.isPresent() != this.perSecond.isPresent()) {
			this.lasting = lastingPerSecond(now);
			this.changedNanos = now;
			this.nextNanos = Math.max(this.nextNanos, now);
		}
		this.perSecond = named;
	}

	/**
	 * Returns the limit in force.
	 * @return the requests per second; empty if there is none
	 */
	public OptionalDouble perSecond() {
		return this.perSecond;
	}

	/**
	 * Returns the limit for decisions that are costly to revert. It follows a change
	 * between a limit and none only after some time.
	 * @param now the current time
	 * @return the requests per second; empty if there is no lasting limit
	 */
	public OptionalDouble lastingPerSecond(long now) {
		return (now - this.changedNanos >= LASTING_NANOS) ? this.perSecond : this.lasting;
	}

	@Override
	public boolean mayStart(long now) {
		return this.perSecond.isEmpty() || waitNanos(0, now) <= 0;
	}

	@Override
	public void onStarted() {
		this.starting++;
	}

	@Override
	public void onSent(long now) {
		this.starting--;
		if (this.perSecond.isPresent()) {
			this.nextNanos = Math.max(this.nextNanos, now) + intervalNanos();
		}
	}

	@Override
	public void onNotSent() {
		this.starting--;
	}

	@Override
	public Duration expectedWait(int position, long now) {
		return this.perSecond.isEmpty() ? Duration.ZERO : Duration.ofNanos(Math.max(0, waitNanos(position - 1, now)));
	}

	@Override
	public Duration interval() {
		return this.perSecond.isEmpty() ? Duration.ZERO : Duration.ofNanos(intervalNanos());
	}

	private long waitNanos(int ahead, long now) {
		return this.nextNanos + (this.starting + ahead) * intervalNanos() - BURST_NANOS - now;
	}

	private long intervalNanos() {
		return (long) (NANOS_PER_SECOND / Math.max(MIN_PER_SECOND, this.perSecond.orElseThrow()));
	}

}
