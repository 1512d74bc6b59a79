package org.brasspier.core.keys;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * This instance's lease, the right to grant keys, renewed by conditional writes of its
 * row in the platform's store. The lease starts when the renewal was <em>sent</em>: the
 * store may have applied it at any moment after that, and other instances start their
 * wait when they see it.
 * <p>
 * The row may name a deputy, which may take the keys over as soon as none of its promises
 * to this instance is in force. Therefore, while a deputy is named, or may be named by a
 * renewal with unknown outcome, the lease ends with the latest promise of that deputy,
 * counted from the time of the request for it. In return, the keys of a lost holder
 * become free after a promise of a few seconds instead of a lease that is long enough to
 * outlast a store outage. All times are nanoseconds of a clock that also runs while the
 * machine is suspended. Not thread-safe.
 */
public final class OwnLease {

	private static final long NEVER_EXPIRES = Long.MAX_VALUE;

	private final LeaseTiming timing;

	private final Set<Deputy> unconfirmedDeputies = new HashSet<>();

	private final Map<Deputy, Long> promisedUntilNanos = new HashMap<>();

	private Optional<Deputy> deputy = Optional.empty();

	private long rowVersion;

	private long endNanos;

	private long relinquishedNanos = Long.MIN_VALUE;

	private boolean held;

	/**
	 * Creates a lease that isn't held.
	 * @param timing the lease and promise durations
	 */
	public OwnLease(LeaseTiming timing) {
		this.timing = timing;
	}

	/**
	 * Records that a renewal is about to be sent.
	 * @param newDeputy the deputy that it names; empty if none
	 */
	public void onRenewalStarted(Optional<Deputy> newDeputy) {
		newDeputy.ifPresent(this.unconfirmedDeputies::add);
	}

	/**
	 * Records an acknowledged renewal. Its condition was the row's version, so earlier
	 * renewals whose answers were lost had no effect and never will.
	 * @param sentNanos when it was sent
	 * @param version the row version that it created
	 * @param newDeputy the deputy that it names; empty if none
	 */
	public void onRenewed(long sentNanos, long version, Optional<Deputy> newDeputy) {
		this.rowVersion = version;
		this.endNanos = sentNanos + this.timing.lease().toNanos();
		this.held = sentNanos > this.relinquishedNanos;
		this.deputy = newDeputy;
		this.unconfirmedDeputies.clear();
		this.promisedUntilNanos.values().removeIf((until) -> until - sentNanos <= 0 || until == NEVER_EXPIRES);
	}

	/**
	 * Records a promise. Ignored if it was requested before the lease was relinquished.
	 * @param from the deputy that gave it
	 * @param requestedNanos when this instance requested it
	 */
	public void onPromise(Deputy from, long requestedNanos) {
		if (requestedNanos <= this.relinquishedNanos) {
			return;
		}
		this.promisedUntilNanos.merge(from, requestedNanos + this.timing.promise().toNanos(), Math::max);
	}

	/**
	 * Records that a process of an instance answered. Any other process of the same
	 * instance has ended. If that process's promise was still in force, it can't have
	 * tried to take keys and never will; otherwise one of its writes may still be in
	 * flight.
	 * @param answering the process that answered
	 * @param now the current time, in nanoseconds
	 */
	public void onProcessSeen(Deputy answering, long now) {
		this.promisedUntilNanos.replaceAll((other, until) -> {
			boolean replaced = other.instance().equals(answering.instance()) && other.process() != answering.process();
			return (replaced && now < until) ? NEVER_EXPIRES : until;
		});
	}

	/**
	 * Records that the row has a version unknown to this instance: either a write whose
	 * answer was lost took effect, or another instance took the lease. The lease ends
	 * until it is renewed from that version.
	 * @param version the version in the store; 0 if there is no row
	 */
	public void onRowChanged(long version) {
		this.rowVersion = version;
		this.held = false;
		this.deputy = Optional.empty();
		this.unconfirmedDeputies.clear();
	}

	/**
	 * Relinquishes the lease, so that the deputy can be released from its promise.
	 * Nothing is granted until a later renewal, and earlier promises no longer count.
	 * @param now the current time, in nanoseconds
	 */
	public void relinquish(long now) {
		this.held = false;
		this.relinquishedNanos = now;
		this.promisedUntilNanos.clear();
	}

	/**
	 * Returns the row version on which the next renewal is conditional.
	 * @return 0 if there is no row yet
	 */
	public long rowVersion() {
		return this.rowVersion;
	}

	/**
	 * Returns the deputy named by the row, as far as known.
	 * @return empty if none
	 */
	public Optional<Deputy> deputy() {
		return this.deputy;
	}

	/**
	 * Returns the time since the latest acknowledged renewal was sent.
	 * @param now the current time, in nanoseconds
	 * @return nanoseconds; more than the lease duration if the lease isn't held
	 */
	public long nanosSinceRenewal(long now) {
		long lease = this.timing.lease().toNanos();
		return this.held ? lease - (this.endNanos - now) : lease + 1;
	}

	/**
	 * Returns the remaining time of a promise.
	 * @param from the deputy that gave it
	 * @param now the current time, in nanoseconds
	 * @return nanoseconds; 0 if there is none
	 */
	public long promiseRemainingNanos(Deputy from, long now) {
		return Math.max(0, this.promisedUntilNanos.getOrDefault(from, now) - now);
	}

	/**
	 * Returns the remaining time of the lease.
	 * @param now the current time, in nanoseconds
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
		for (Deputy other : this.unconfirmedDeputies) {
			remaining = Math.min(remaining, promiseRemainingNanos(other, now));
		}
		return Math.max(0, remaining);
	}

}
