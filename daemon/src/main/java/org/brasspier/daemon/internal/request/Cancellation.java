package org.brasspier.daemon.internal.request;

import java.util.ArrayList;
import java.util.List;

/**
 * Tells whoever is at a request that its caller is gone. Belongs to the thread of
 * requests.
 */
public final class Cancellation {

	private final List<Runnable> listeners = new ArrayList<>(2);

	private boolean cancelled;

	/**
	 * Tells all who listen, once.
	 */
	public void cancel() {
		if (this.cancelled) {
			return;
		}
		this.cancelled = true;
		this.listeners.forEach(Runnable::run);
		this.listeners.clear();
	}

	/**
	 * Calls a listener when the caller is gone, or at once if it already is.
	 * @param listener the listener
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
	 * Whether the caller is gone.
	 * @return true from the cancellation on
	 */
	public boolean isCancelled() {
		return this.cancelled;
	}

}
