package org.brasspier.daemon.internal.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Notifies listeners once the caller of a request has disconnected. Not thread-safe; used
 * in the request thread only.
 */
public final class Cancellation {

	private final List<Runnable> listeners = new ArrayList<>(2);

	private boolean cancelled;

	private long cancelledNanos;

	/**
	 * Calls all listeners. Has no effect after the first call.
	 */
	public void cancel() {
		if (this.cancelled) {
			return;
		}
		this.cancelled = true;
		this.cancelledNanos = System.nanoTime();
		this.listeners.forEach(Runnable::run);
		this.listeners.clear();
	}

	/**
	 * Registers a listener that is called when the caller disconnects, or at once if it
	 * already has.
	 * @param listener called in the request thread
	 */
	public void addCancelListener(Runnable listener) {
		if (this.cancelled) {
			listener.run();
		}
		else {
			this.listeners.add(listener);
		}
	}

	/**
	 * Returns whether the caller has disconnected.
	 * @return true once {@link #cancel()} was called
	 */
	public boolean isCancelled() {
		return this.cancelled;
	}

	/**
	 * Returns how long ago the caller disconnected.
	 * @param now the current time, in nanoseconds of the steady clock
	 * @return empty if it has not disconnected
	 */
	public Optional<Duration> elapsed(long now) {
		return this.cancelled ? Optional.of(Duration.ofNanos(now - this.cancelledNanos)) : Optional.empty();
	}

}
