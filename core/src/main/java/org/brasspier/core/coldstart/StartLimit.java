package org.brasspier.core.coldstart;

import java.time.Duration;

/**
 * Decides when a backend server may be given one more request, besides the limit of its
 * slots. All times are nanoseconds of one steady clock. Implementations are not
 * thread-safe.
 */
public interface StartLimit {

	/** Never delays a request. */
	StartLimit NONE = new StartLimit() {

		@Override
		public boolean mayStart(long now) {
			return true;
		}

		@Override
		public void onStarted() {
			// Nothing is counted.
		}

		@Override
		public void onSent(long now) {
			// Nothing is counted.
		}

		@Override
		public void onNotSent() {
			// Nothing is counted.
		}

		@Override
		public Duration expectedWait(int position, long now) {
			return Duration.ZERO;
		}

	};

	/**
	 * Returns whether a request may start now.
	 * @param now the current time
	 * @return false if it must wait
	 */
	boolean mayStart(long now);

	/** Counts a request that starts. */
	void onStarted();

	/**
	 * Records that a started request is sent now.
	 * @param now the current time
	 */
	void onSent(long now);

	/** Records that a started request is not sent. */
	void onNotSent();

	/**
	 * Returns how long a request would have to wait.
	 * @param position its position among the waiting requests, at least 1
	 * @param now the current time
	 * @return zero if it may start at once
	 */
	Duration expectedWait(int position, long now);

	/**
	 * Returns the time between two requests at the permitted rate.
	 * @return zero if there is no such rate
	 */
	default Duration interval() {
		return Duration.ZERO;
	}

}
