package org.brasspier.core.keys;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * This instance's right to grant keys, renewed by conditional writes of its row in the
 * platform's store. It counts from when the renewal was <em>sent</em>, since the store
 * may have taken it at any moment after that, and others wait from when they saw it.
 * <p>
 * The row may name a deputy, which may take the keys as soon as it is bound by no promise
 * to this instance. So while a deputy is named, or may be named by a renewal whose
 * outcome isn't known, the lease lasts no longer than the latest promise of that deputy,
 * counted from when it was asked for. In exchange a lost holder's keys are free after a
 * promise of some seconds, and not only after a lease that is long enough to outlast an
 * outage of the store. All times are nanoseconds of a clock that also runs while the
 * machine is suspended. Not thread-safe.
 */
public final class OwnLease {

	private static final long FOR_GOOD = Long.MAX_VALUE;

	private final LeaseTiming timing;

	private final Set<Deputy> unsettled = new HashSet<>();

	private final Map<Deputy, Long> promisedUntilNanos = new HashMap<>();

	private Optional<Deputy> deputy = Optional.empty();

	private long rowVersion;

	private long endNanos;

	private long givenUpNanos = Long.MIN_VALUE;

	private boolean held;

	/**
	 * Creates a lease that isn't held.
	 * @param timing the times
	 */
	public OwnLease(LeaseTiming timing) {
		this.timing = timing;
	}

	/**
	 * Takes that a renewal is about to be sent.
	 * @param named the deputy that it names
	 */
	public void onRenewalStarted(Optional<Deputy> named) {
		named.ifPresent(this.unsettled::add);
	}

	/**
	 * Takes an acknowledged renewal. It named the row's version, so renewals before it
	 * whose answers were lost have had no effect and never will.
	 * @param sentNanos when it was sent
	 * @param version the row's version that it made
	 * @param named the deputy that it names
	 */
	public void onRenewed(long sentNanos, long version, Optional<Deputy> named) {
		this.rowVersion = version;
		this.endNanos = sentNanos + this.timing.lease().toNanos();
		this.held = sentNanos > this.givenUpNanos;
		this.deputy = named;
		this.unsettled.clear();
		this.promisedUntilNanos.values().removeIf((until) -> until - sentNanos <= 0 || until == FOR_GOOD);
	}

	/**
	 * Takes a promise.
	 * @param from who promised
	 * @param askedNanos when it was asked for it
	 */
	public void onPromise(Deputy from, long askedNanos) {
		if (askedNanos <= this.givenUpNanos) {
			return;
		}
		this.promisedUntilNanos.merge(from, askedNanos + this.timing.promise().toNanos(), Math::max);
	}

	/**
	 * Takes that a process answered for an instance. Another process of the same instance
	 * is gone then. If its promise was still in force it can't have tried to take
	 * anything, and never will; if not, a write of its may be under way.
	 * @param answering the process that answered
	 * @param now the time
	 */
	public void onProcessSeen(Deputy answering, long now) {
		this.promisedUntilNanos.replaceAll((other, until) -> {
			boolean replaced = other.instance().equals(answering.instance()) && other.process() != answering.process();
			return (replaced && now < until) ? FOR_GOOD : until;
		});
	}

	/**
	 * Takes that the row is at another version than this instance knew: a write whose
	 * answer was lost took effect, or another instance took the lease away. The lease
	 * ends until it is renewed from that version.
	 * @param version the version that the store showed; 0 if there is no row
	 */
	public void onRowChanged(long version) {
		this.rowVersion = version;
		this.held = false;
		this.deputy = Optional.empty();
		this.unsettled.clear();
	}

	/**
	 * Gives the lease up, so that the deputy can be told that it is bound no longer.
	 * Nothing is granted until a renewal that is sent later, and what was promised before
	 * counts no more.
	 * @param now the time
	 */
	public void relinquish(long now) {
		this.held = false;
		this.givenUpNanos = now;
		this.promisedUntilNanos.clear();
	}

	/**
	 * The version that the next renewal begins from.
	 * @return 0 if there is no row yet
	 */
	public long rowVersion() {
		return this.rowVersion;
	}

	/**
	 * The deputy that the row names, as far as is known.
	 * @return empty if none
	 */
	public Optional<Deputy> deputy() {
		return this.deputy;
	}

	/**
	 * How long ago the latest renewal that was acknowledged was sent.
	 * @param now the time
	 * @return nanoseconds; more than a lease if there was none
	 */
	public long nanosSinceRenewal(long now) {
		long lease = this.timing.lease().toNanos();
		return this.held ? lease - (this.endNanos - now) : lease + 1;
	}

	/**
	 * How long a promise goes on.
	 * @param from who gave it
	 * @param now the time
	 * @return nanoseconds; 0 if there is none
	 */
	public long promiseRemainingNanos(Deputy from, long now) {
		return Math.max(0, this.promisedUntilNanos.getOrDefault(from, now) - now);
	}

	/**
	 * How long the lease goes on.
	 * @param now the time
	 * @return nanoseconds; 0 if it isn't held
	 */
	public long remainingNanos(long now) {
		if (!this.held) {
			return 0;
		}
		long remaining = this.endNanos - now;
		if (this.deputy.isPresent()) {
			remaining = Math.min(remaining, promiseRemainingNanos(this.deputy.get(), now));
		}
		for (Deputy other : this.unsettled) {
			remaining = Math.min(remaining, promiseRemainingNanos(other, now));
		}
		return Math.max(0, remaining);
	}

}
