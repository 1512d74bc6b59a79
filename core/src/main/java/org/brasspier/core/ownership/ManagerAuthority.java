package org.brasspier.core.ownership;

import java.util.List;

/**
 * How long one lease manager may renew leases, and whether it confirms its peer. A
 * manager that is cut off must stop renewing before others give away what it renewed, so
 * its authority ends by itself unless its peer, or for a lone manager the table, goes on
 * confirming it. Not thread-safe; copied cheaply.
 */
final class ManagerAuthority {

	/** Longer ago than any span that counts, with room to subtract from. */
	private static final long NEVER = Long.MIN_VALUE / 4;

	private final Timing timing;

	private final EnabledGuards guards;

	private long until = Long.MIN_VALUE;

	private boolean confirming;

	private boolean stopped;

	private long tableSeenAt = NEVER;

	private long peerHeardAt;

	ManagerAuthority(Timing timing, EnabledGuards guards) {
		this.timing = timing;
		this.guards = guards;
	}

	void take(ManagerAuthority other) {
		this.until = other.until;
		this.confirming = other.confirming;
		this.stopped = other.stopped;
		this.tableSeenAt = other.tableSeenAt;
		this.peerHeardAt = other.peerHeardAt;
	}

	List<Object> state() {
		return List.of(this.until, this.confirming, this.stopped, this.tableSeenAt, this.peerHeardAt);
	}

	/**
	 * Begins another epoch.
	 * @param manages whether this process is a manager in it
	 * @param now the time
	 */
	void begin(boolean manages, long now) {
		this.confirming = manages;
		this.stopped = false;
		this.tableSeenAt = NEVER;
		this.peerHeardAt = now;
	}

	/**
	 * Notes that this process's own epoch was seen in the table.
	 * @param sentAt when the call left that showed it
	 * @param lone whether there is no peer who could confirm
	 */
	void tableShows(long sentAt, boolean lone) {
		this.tableSeenAt = Math.max(this.tableSeenAt, sentAt);
		if (lone) {
			this.until = Math.max(this.until, sentAt + this.timing.authority());
		}
	}

	/**
	 * Notes that the peer was heard.
	 * @param now the time
	 */
	void peerHeard(long now) {
		this.peerHeardAt = now;
	}

	long peerHeardAt() {
		return this.peerHeardAt;
	}

	/**
	 * Takes the peer's answer to a beat.
	 * @param answer the answer, of this epoch
	 */
	void answered(ControlMessage.BeatAnswer answer) {
		// The answer was given after the beat left, so this errs to the early side.
		this.tableSeenAt = Math.max(this.tableSeenAt, answer.sentAt() - this.timing.withDrift(answer.tableAge()));
		// While a write that replaces the peer is under way, or its outcome unknown,
		// members of the next epoch may already be counting the time until both
		// authorities have ended.
		boolean replacing = this.stopped && this.guards.on(Guard.UNCONFIRMED_AFTER_REPLACING);
		if (answer.confirmed() && !replacing) {
			this.until = Math.max(this.until, answer.sentAt() + this.timing.authority());
		}
	}

	/**
	 * How long a renewal may run.
	 * @param now the time
	 * @return the span in milliseconds, 0 or less for not at all
	 */
	long span(long now) {
		long left = (this.guards.on(Guard.RENEWAL_WITHIN_AUTHORITY)) ? this.until - now : this.timing.lease();
		return Math.min(this.timing.lease(), left);
	}

	boolean confirms(long now) {
		return this.confirming && now < this.tableSeenAt + this.timing.withoutTable();
	}

	long tableAge(long now) {
		return now - this.tableSeenAt;
	}

	/**
	 * Stops confirming the peer, for good in this epoch: its authority ends soon, and
	 * with it all that it renewed, before anything it renewed is given away.
	 */
	void stopConfirming() {
		this.stopped = true;
		this.confirming = !this.guards.on(Guard.STOP_CONFIRMING_FIRST);
	}

	boolean stopped() {
		return this.stopped;
	}

}
