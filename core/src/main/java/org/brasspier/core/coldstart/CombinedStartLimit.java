package org.brasspier.core.coldstart;

import java.time.Duration;

/**
 * Delays requests as long as either of two limits requires. Not thread-safe.
 *
 * @param first a limit
 * @param second another limit
 */
public record CombinedStartLimit(StartLimit first, StartLimit second) implements StartLimit {

	@Override
	public boolean mayStart(long now) {
		return this.first.mayStart(now) && this.second.mayStart(now);
	}

	@Override
	public void onStarted() {
		this.first.onStarted();
		this.second.onStarted();
	}

	@Override
	public void onSent(long now) {
		this.first.onSent(now);
		this.second.onSent(now);
	}

	@Override
	public void onNotSent() {
		this.first.onNotSent();
		this.second.onNotSent();
	}

	@Override
	public Duration expectedWait(int position, long now) {
		Duration wait = this.first.expectedWait(position, now);
		Duration other = this.second.expectedWait(position, now);
		return (wait.compareTo(other) >= 0) ? wait : other;
	}

	@Override
	public Duration interval() {
		Duration interval = this.first.interval();
		Duration other = this.second.interval();
		return (interval.compareTo(other) >= 0) ? interval : other;
	}

}
