package org.brasspier.daemon.internal.http;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.BooleanSupplier;

import io.activej.reactor.nio.NioReactor;

/**
 * The memory for message bodies that are being received, or wait for their outcome, on
 * all connections that share the budget. Small bodies have a part of it that large ones
 * can't take up. Connections whose body finds no room wait for it in the order in which
 * they came, so that a large body is not passed over for ever. Not thread-safe; confined
 * to the request thread.
 */
public final class BodyBudget {

	/** The largest body that counts as small. */
	static final int SMALL_BYTES = 64 << 10;

	/** The part of small bodies, as a divisor of the part of large ones. */
	private static final int SMALL_PART_DIVISOR = 2;

	private final long largeBytes;

	private long heldBytes;

	private long refused;

	private final NioReactor reactor;

	private final Deque<BooleanSupplier> waiting = new ArrayDeque<>();

	private boolean resumeScheduled;

	/**
	 * Creates a budget that is not used yet.
	 * @param reactor the reactor of the request thread
	 * @param largeBytes the part that large bodies may take up, in bytes; also the size
	 * of the largest body
	 */
	public BodyBudget(NioReactor reactor, long largeBytes) {
		this.reactor = reactor;
		this.largeBytes = largeBytes;
	}

	/**
	 * Returns the size of the largest body that the budget can hold.
	 * @return the size, in bytes
	 */
	public long largestBody() {
		return this.largeBytes;
	}

	/**
	 * Returns the memory that is taken up.
	 * @return the memory, in bytes
	 */
	public long heldBytes() {
		return this.heldBytes;
	}

	/**
	 * Returns how many bodies were refused for want of memory.
	 * @return number since the start
	 */
	public long refusedCount() {
		return this.refused;
	}

	/**
	 * Calls a connection back after memory was given back.
	 * @param tryResume goes on with the connection, and returns whether it need not wait
	 * any more
	 */
	void await(BooleanSupplier tryResume) {
		this.waiting.add(tryResume);
	}

	void resumeWaitingLater() {
		if (!this.resumeScheduled && !this.waiting.isEmpty()) {
			this.resumeScheduled = true;
			this.reactor.post(() -> {
				this.resumeScheduled = false;
				resumeWaiting();
			});
		}
	}

	private void resumeWaiting() {
		while (!this.waiting.isEmpty() && resumes(this.waiting.peek())) {
			this.waiting.remove();
		}
	}

	// A connection that fails no longer waits, or those behind it would wait for good.
	private boolean resumes(BooleanSupplier tryResume) {
		try {
			return tryResume.getAsBoolean();
		}
		catch (RuntimeException | Error ex) {
			this.reactor.logFatalError(ex, tryResume);
			return true;
		}
	}

	void recordRefused() {
		this.refused++;
	}

	Reservation open() {
		return new Reservation();
	}

	/**
	 * The part of one body.
	 */
	final class Reservation {

		private long bytes;

		/**
		 * Enlarges the part to the size of the body so far.
		 * @param size the size, in bytes
		 * @return whether the budget can hold it
		 */
		boolean growTo(long size) {
			long more = size - this.bytes;
			if (more <= 0) {
				return true;
			}
			long limit = BodyBudget.this.largeBytes
					+ ((size <= SMALL_BYTES) ? BodyBudget.this.largeBytes / SMALL_PART_DIVISOR : 0);
			if (BodyBudget.this.heldBytes + more > limit) {
				return false;
			}
			this.bytes = size;
			BodyBudget.this.heldBytes += more;
			return true;
		}

		long bytes() {
			return this.bytes;
		}

		/** Gives the part back. Has no effect after the first call. */
		void release() {
			if (this.bytes > 0) {
				BodyBudget.this.heldBytes -= this.bytes;
				this.bytes = 0;
				resumeWaitingLater();
			}
		}

	}

}
