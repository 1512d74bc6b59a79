package org.brasspier.daemon.internal.loop;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

import org.jctools.queues.MpscArrayQueue;

/**
 * A bounded queue from any thread to the thread of one duty. If it is full, the sender is
 * told at once and decides what is lost: nothing is dropped silently. Thread-safe for
 * senders.
 *
 * @param <T> the type of the entries
 */
public final class Ring<T> {

	private final MpscArrayQueue<T> queue;

	private final Duty duty;

	private final Consumer<T> receiver;

	private final AtomicBoolean signalled = new AtomicBoolean();

	/**
	 * Creates a ring.
	 * @param capacity maximum number of queued entries; rounded up to a power of two
	 * @param duty the receiving duty
	 * @param receiver called in the duty's thread for each entry
	 */
	public Ring(int capacity, Duty duty, Consumer<T> receiver) {
		this.queue = new MpscArrayQueue<>(capacity);
		this.duty = duty;
		this.receiver = receiver;
	}

	/**
	 * Enqueues an entry.
	 * @param entry the entry
	 * @return false if the ring is full and the entry was not taken
	 */
	public boolean offer(T entry) {
		if (!this.queue.offer(entry)) {
			return false;
		}
		if (this.signalled.compareAndSet(false, true)) {
			this.duty.execute(this::drain);
		}
		return true;
	}

	private void drain() {
		this.signalled.set(false);
		this.queue.drain(this.receiver::accept);
	}

}
