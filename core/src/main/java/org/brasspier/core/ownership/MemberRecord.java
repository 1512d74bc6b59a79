package org.brasspier.core.ownership;

/**
 * A lease manager's record of one member's process. Immutable and thread-safe.
 *
 * @param incarnation the process
 * @param lastHeartbeatAt when its last heartbeat arrived
 * @param ackedEpoch the highest epoch that it has acknowledged
 * @param latestLeaseEnd the latest time at which its lease may end, from this manager's
 * renewals and from what the member reported
 */
record MemberRecord(int incarnation, long lastHeartbeatAt, long ackedEpoch, long latestLeaseEnd) {

	static MemberRecord initial(int incarnation, long now) {
		return new MemberRecord(incarnation, now, 0, Long.MIN_VALUE);
	}

	MemberRecord withHeartbeat(long now, long epoch, long leaseEnd) {
		return new MemberRecord(this.incarnation, now, Math.max(this.ackedEpoch, epoch),
				Math.max(this.latestLeaseEnd, leaseEnd));
	}

	MemberRecord withRenewal(long leaseEnd) {
		return new MemberRecord(this.incarnation, this.lastHeartbeatAt, this.ackedEpoch,
				Math.max(this.latestLeaseEnd, leaseEnd));
	}

}
