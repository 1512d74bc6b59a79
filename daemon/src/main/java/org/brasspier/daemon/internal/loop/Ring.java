package org.brasspier.daemon.internal.loop;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

import org.jctools.queues.MpscArrayQueue;

/**
 * A bounded way from any thread into one duty's thread. Where it is full the sender is
 * told at once and decides what is lost: nothing is dropped in silence. Any thread may
 * offer.
 *
 * @param <T> what is passed
 */
public final class Ring<T> {

	private final MpscArrayQueue<T> queue;

	private final Duty duty;

	private final Consumer<T> receiver;

	private final AtomicBoolean signalled = new AtomicBoolean();

	/**
	 * Creates a ring.
	 * @param capacity how many entries may wait; rounded up to a power of two
	 * @param duty the receiving duty
	 * @param receiver called in the duty's thread for each entry
	 */
	public Ring(int capacity, Duty duty, Consumer<T> receiver) {
		this.queue = new MpscArrayQueue<>(capacity);
		this.duty = duty;
		this.receiver = receiver;
	}

	/**
	 * Passes an entry on.
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
