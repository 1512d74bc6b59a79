package org.brasspier.core.keys;

/**
 * This instance's right to grant keys, renewed by conditional writes of its row in the
 * platform's store. It counts from when the renewal was <em>sent</em>, since the store
 * may have taken it at any moment after that, and others wait from when they saw it. All
 * times are nanoseconds of a clock that also runs while the machine is suspended. Not
 * thread-safe.
 */
public final class OwnLease {

	private final LeaseTiming timing;

	private long rowVersion;

	private long endNanos;

	private boolean held;

	/**
	 * Creates a lease that isn't held.
	 * @param timing the times
	 */
	public OwnLease(LeaseTiming timing) {
		this.timing = timing;
	}

	/**
	 * Takes an acknowledged renewal.
	 * @param sentNanos when it was sent
	 * @param version the row's version that it made
	 */
	public void renewed(long sentNanos, long version) {
		this.rowVersion = version;
		this.endNanos = sentNanos + this.timing.lease().toNanos();
		this.held = true;
	}

	/**
	 * Takes that the row is at another version than this instance knew: a write whose
	 * answer was lost took effect, or another instance took the lease away. The lease
	 * ends until it is renewed from that version.
	 * @param version the version that the store showed; 0 if there is no row
	 */
	public void overtaken(long version) {
		this.rowVersion = version;
		this.held = false;
	}

	/**
	 * The version that the next renewal begins from.
	 * @return 0 if there is no row yet
	 */
	public long rowVersion() {
		return this.rowVersion;
	}

	/**
	 * How long the lease goes on.
	 * @param now the time
	 * @return nanoseconds; 0 if it isn't held
	 */
	public long remainingNanos(long now) {
		return this.held ? Math.max(0, this.endNanos - now) : 0;
	}

}
