package org.brasspier.core.coldstart;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;

/**
 * Limits the requests that a backend server receives in any second in which it is cold. A
 * server may become cold at any moment, and its heartbeats tell so late. So all requests
 * are limited that were sent after the last health check that found the server warm: with
 * enough checks, a warm server is never delayed. A cold phase that no report tells of is
 * assumed to be over for a second before the next one begins. What was sent counts also
 * if another process has taken the server's place since, because it may have been sent to
 * that one: its first heartbeat arrives later than its first requests. All times are
 * nanoseconds of one steady clock. Not thread-safe.
 * <p>
 * Usage: call {@link #onStarted} for a request that {@link #mayStart}, and then either
 * {@link #onSent} at the moment of sending, or {@link #onNotSent}. Send a health check
 * whenever {@link #checkDue}, and report its result.
 */
public final class ColdStartLimiter implements StartLimit {

	/**
	 * A second, and the time by which two requests may come closer together on their way
	 * to the server.
	 */
	private static final long WINDOW_NANOS = Duration.ofMillis(1100).toNanos();

	/** Reserved for health checks, which the server may count as requests. */
	private static final int RESERVE = 1;

	private static final long MIN_CHECK_INTERVAL_NANOS = Duration.ofMillis(5).toNanos();

	/** How long the answer to a health check usually takes at most. */
	private static final Duration CHECK_TIME = Duration.ofMillis(20);

	/** How long a health check may take before the next one is sent. */
	private static final long CHECK_TIMEOUT_NANOS = Duration.ofMillis(500).toNanos();

	private static final int UNLIMITED = Integer.MAX_VALUE;

	// When the requests of the latest second were sent for which it is unknown whether
	// the server was warm.
	private final Deque<Long> sentNanos = new ArrayDeque<>();

	private final long startedNanos;

	private int limit = UNLIMITED;

	private int starting;

	private boolean predecessorCounted;

	private boolean checking;

	private long lastCheckNanos;

	private long coldUntilNanos;

	/**
	 * Creates a limiter without a limit.
	 * @param startedNanos when this process started; a previous process may have used up
	 * the limit just before
	 */
	public ColdStartLimiter(long startedNanos) {
		this.startedNanos = startedNanos;
		this.coldUntilNanos = startedNanos;
		this.lastCheckNanos = startedNanos - CHECK_TIMEOUT_NANOS;
	}

	/**
	 * Sets the number of requests that a cold server may receive in a second.
	 * @param perSecond the number, at least 2
	 */
	public void limit(double perSecond) {
		this.limit = Math.max(1, (int) perSecond - RESERVE);
		if (!this.predecessorCounted) {
			this.predecessorCounted = true;
			for (int i = 0; i < this.limit; i++) {
				this.sentNanos.addLast(this.startedNanos);
			}
		}
	}

	/**
	 * Removes the limit.
	 */
	public void unlimited() {
		this.limit = UNLIMITED;
		this.sentNanos.clear();
	}

	@Override
	public boolean mayStart(long now) {
		return counted(now) < this.limit;
	}

	@Override
	public void onStarted() {
		this.starting++;
	}

	@Override
	public void onSent(long now) {
		this.starting--;
		if (this.limit != UNLIMITED) {
			this.sentNanos.addLast(now);
		}
	}

	@Override
	public void onNotSent() {
		this.starting--;
	}

	@Override
	public Duration expectedWait(int position, long now) {
		int over = counted(now) + position - this.limit;
		if (this.limit == UNLIMITED || over <= 0) {
			return Duration.ZERO;
		}
		if (this.checking && !isCold(now)) {
			// The answer is likely to show that the server is warm.
			return CHECK_TIME;
		}
		long windows = (over - 1) / this.limit;
		Iterator<Long> oldest = this.sentNanos.iterator();
		long freeNanos = now;
		for (int i = 0; i <= (over - 1) % this.limit && oldest.hasNext(); i++) {
			freeNanos = oldest.next();
		}
		return Duration.ofNanos(Math.max(0, freeNanos - now) + windows * WINDOW_NANOS
				+ Math.max(0, WINDOW_NANOS - Math.max(0, now - freeNanos)));
	}

	private int counted(long now) {
		while (!this.sentNanos.isEmpty() && now - this.sentNanos.getFirst() >= WINDOW_NANOS) {
			this.sentNanos.removeFirst();
		}
		return this.sentNanos.size() + this.starting;
	}

	/**
	 * Returns whether a health check is needed so that requests need not wait.
	 * @param now the current time
	 * @return true if half of the limit is used up, and the server is not known to be
	 * cold
	 */
	public boolean checkDue(long now) {
		boolean due = now - this.lastCheckNanos >= (this.checking ? CHECK_TIMEOUT_NANOS : MIN_CHECK_INTERVAL_NANOS);
		return this.limit != UNLIMITED && due && !isCold(now) && counted(now) > this.limit / 2;
	}

	/**
	 * Records that a health check is sent.
	 * @param now the current time
	 */
	public void onCheckSent(long now) {
		this.checking = true;
		this.lastCheckNanos = now;
	}

	/**
	 * Records the answer to a health check.
	 * @param checkSentNanos when the check was sent
	 * @param coldRemaining how long the server stays cold; zero if it is warm
	 * @param now the current time
	 */
	public void onCheckAnswered(long checkSentNanos, Duration coldRemaining, long now) {
		this.checking = false;
		if (coldRemaining.isZero()) {
			long coldEndNanos = Math.min(this.coldUntilNanos, checkSentNanos);
			this.sentNanos.removeIf((sent) -> sent - coldEndNanos >= 0 && checkSentNanos - sent > 0);
			this.coldUntilNanos = coldEndNanos;
		}
		else {
			this.coldUntilNanos = now + coldRemaining.toNanos();
		}
	}

	/** Records that a health check was not answered. */
	public void onCheckFailed() {
		this.checking = false;
	}

	/**
	 * Records what a heartbeat tells. A heartbeat may be old, so it does not show that
	 * the server is warm now.
	 * @param coldRemaining how long the server stays cold; zero if it is warm
	 * @param now the current time
	 */
	public void onHeartbeat(Duration coldRemaining, long now) {
		if (!coldRemaining.isZero()) {
			this.coldUntilNanos = Math.max(this.coldUntilNanos, now + coldRemaining.toNanos());
		}
	}

	/**
	 * Returns whether the server is known to be cold.
	 * @param now the current time
	 * @return true if its latest report says so
	 */
	public boolean isCold(long now) {
		return now - this.coldUntilNanos < 0;
	}

	/**
	 * Returns the number of requests per second that the server may receive now.
	 * @param now the current time
	 * @return infinity if it is not known to be cold
	 */
	public double perSecond(long now) {
		return (this.limit != UNLIMITED && isCold(now))
				? this.limit * (double) Duration.ofSeconds(1).toNanos() / WINDOW_NANOS : Double.POSITIVE_INFINITY;
	}

}
