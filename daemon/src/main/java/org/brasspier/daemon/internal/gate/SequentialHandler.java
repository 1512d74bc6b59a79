package org.brasspier.daemon.internal.gate;

import java.util.ArrayDeque;
import java.util.Optional;
import java.util.Queue;
import java.util.function.Consumer;

/**
 * Handles items one after another: an item that arrives while another one is handled is
 * handled after it and not within it, so that a chain of items takes up no more of the
 * stack than a single one. Not thread-safe.
 *
 * @param <T> type of the items
 */
public final class SequentialHandler<T> {

	private final Queue<T> pending = new ArrayDeque<>();

	private final Consumer<T> handler;

	private boolean handling;

	/**
	 * Creates a handler without items.
	 * @param handler handles an item; may add others
	 */
	public SequentialHandler(Consumer<T> handler) {
		this.handler = handler;
	}

	/**
	 * Adds an item. It has been handled when this method returns, unless this is called
	 * while another item is handled. If handling an item fails, the remaining ones are
	 * handled before the failure is thrown.
	 * @param item the item
	 */
	public void add(T item) {
		this.pending.add(item);
		if (this.handling) {
			return;
		}
		this.handling = true;
		try {
			handlePending();
		}
		finally {
			this.handling = false;
		}
	}

	private void handlePending() {
		Optional<RuntimeException> failure = Optional.empty();
		for (T next = this.pending.poll(); next != null; next = this.pending.poll()) {
			try {
				this.handler.accept(next);
			}
			catch (RuntimeException ex) {
				failure.ifPresent(ex::addSuppressed);
				failure = Optional.of(ex);
			}
		}
		failure.ifPresent((ex) -> {
			throw ex;
		});
	}

}
