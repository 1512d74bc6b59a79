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

	private long authorityEnd = Long.MIN_VALUE;

	private boolean confirming;

	private boolean stoppedConfirming;

	private long epochSeenAt = NEVER;

	private long peerHeardAt;

	ManagerAuthority(Timing timing, EnabledGuards guards) {
		this.timing = timing;
		this.guards = guards;
	}

	void copyFrom(ManagerAuthority other) {
		this.authorityEnd = other.authorityEnd;
		this.confirming = other.confirming;
		this.stoppedConfirming = other.stoppedConfirming;
		this.epochSeenAt = other.epochSeenAt;
		this.peerHeardAt = other.peerHeardAt;
	}

	List<Object> state() {
		return List.of(this.authorityEnd, this.confirming, this.stoppedConfirming, this.epochSeenAt, this.peerHeardAt);
	}

	/**
	 * Starts another epoch.
	 * @param isManager whether this process is a manager in it
	 * @param now current time, milliseconds
	 */
	void startEpoch(boolean isManager, long now) {
		this.confirming = isManager;
		this.stoppedConfirming = false;
		this.epochSeenAt = NEVER;
		this.peerHeardAt = now;
	}

	/**
	 * Records that this process's own epoch was seen in the table.
	 * @param sentAt when the call that showed it was sent
	 * @param lone whether there is no peer that could confirm this manager
	 */
	void onEpochSeen(long sentAt, boolean lone) {
		this.epochSeenAt = Math.max(this.epochSeenAt, sentAt);
		if (lone) {
			this.authorityEnd = Math.max(this.authorityEnd, sentAt + this.timing.authority());
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
		this.epochSeenAt = Math.max(this.epochSeenAt, answer.sentAt() - this.timing.withDrift(answer.tableAge()));
		// While a write that replaces the peer is in progress, or its outcome is unknown,
		// members of the next epoch may already be waiting until the authority of both
		// managers has ended.
		boolean replacingPeer = this.stoppedConfirming && this.guards.isEnabled(Guard.UNCONFIRMED_AFTER_REPLACING);
		if (answer.confirmed() && !replacingPeer) {
			this.authorityEnd = Math.max(this.authorityEnd, answer.sentAt() + this.timing.authority());
		}
	}

	/**
	 * Returns the maximum duration of a renewal.
	 * @param now current time, milliseconds
	 * @return the span in milliseconds, 0 or less if no renewal is allowed
	 */
	long maxRenewalMillis(long now) {
		long remaining = (this.guards.isEnabled(Guard.RENEWAL_WITHIN_AUTHORITY)) ? this.authorityEnd - now
				: this.timing.lease();
		return Math.min(this.timing.lease(), remaining);
	}

	boolean isConfirming(long now) {
		return this.confirming && now < this.epochSeenAt + this.timing.withoutTable();
	}

	long tableAge(long now) {
		return now - this.epochSeenAt;
	}

	/**
	 * Stops confirming the peer for the rest of this epoch. The peer's authority then
	 * expires, and with it all its renewals, before any of the ranges that it renewed are
	 * reassigned.
	 */
	void stopConfirming() {
		this.stoppedConfirming = true;
		this.confirming = !this.guards.isEnabled(Guard.STOP_CONFIRMING_FIRST);
	}

	boolean hasStoppedConfirming() {
		return this.stoppedConfirming;
	}

}
