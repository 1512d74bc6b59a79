package org.brasspier.core.ownership;

import java.util.List;

/**
 * Tracks how long a lease manager may renew leases, and whether it confirms its peer. A
 * disconnected manager must stop renewing before the ranges that it renewed are
 * reassigned, so its authority expires unless its peer, or for a lone manager the table,
 * keeps confirming it. Not thread-safe; cheap to copy.
 */
final class ManagerAuthority {

	/** Earlier than any relevant time, with room for subtraction. */
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

	void copyFrom(ManagerAuthority other) {
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
	 * Starts another epoch.
	 * @param manages whether this process is a manager in it
	 * @param now current time, milliseconds
	 */
	void startEpoch(boolean manages, long now) {
		this.confirming = manages;
		this.stopped = false;
		this.tableSeenAt = NEVER;
		this.peerHeardAt = now;
	}

	/**
	 * Records that this process's own epoch was seen in the table.
	 * @param sentAt when the call that showed it was sent
	 * @param lone whether there is no peer that could confirm this manager
	 */
	void onEpochSeen(long sentAt, boolean lone) {
		this.tableSeenAt = Math.max(this.tableSeenAt, sentAt);
		if (lone) {
			this.until = Math.max(this.until, sentAt + this.timing.authority());
		}
	}

	/**
	 * Records that the peer was heard.
	 * @param now current time, milliseconds
	 */
	void onPeerHeard(long now) {
		this.peerHeardAt = now;
	}

	long peerHeardAt() {
		return this.peerHeardAt;
	}

	/**
	 * Handles the peer's answer to a beat.
	 * @param answer the answer, of this epoch
	 */
	void onBeatAnswer(ControlMessage.BeatAnswer answer) {
		// The peer answered after the beat was sent, so this time is never too late.
		this.tableSeenAt = Math.max(this.tableSeenAt, answer.sentAt() - this.timing.withDrift(answer.tableAge()));
		// While a write that replaces the peer is in progress, or its outcome is unknown,
		// members of the next epoch may already be waiting until the authority of both
		// managers has ended.
		boolean replacing = this.stopped && this.guards.on(Guard.UNCONFIRMED_AFTER_REPLACING);
		if (answer.confirmed() && !replacing) {
			this.until = Math.max(this.until, answer.sentAt() + this.timing.authority());
		}
	}

	/**
	 * Returns the maximum duration of a renewal.
	 * @param now current time, milliseconds
	 * @return the span in milliseconds, 0 or less if no renewal is allowed
	 */
	long maxRenewalMillis(long now) {
		long left = (this.guards.on(Guard.RENEWAL_WITHIN_AUTHORITY)) ? this.until - now : this.timing.lease();
		return Math.min(this.timing.lease(), left);
	}

	boolean isConfirming(long now) {
		return this.confirming && now < this.tableSeenAt + this.timing.withoutTable();
	}

	long tableAge(long now) {
		return now - this.tableSeenAt;
	}

	/**
	 * Stops confirming the peer for the rest of this epoch. The peer's authority then
	 * expires, and with it all its renewals, before any of the ranges that it renewed are
	 * reassigned.
	 */
	void stopConfirming() {
		this.stopped = true;
		this.confirming = !this.guards.on(Guard.STOP_CONFIRMING_FIRST);
	}

	boolean hasStopped() {
		return this.stopped;
	}

}
