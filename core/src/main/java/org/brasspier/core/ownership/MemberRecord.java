package org.brasspier.core.ownership;

/**
 * What a lease manager knows of one member's process. Immutable and thread-safe.
 *
 * @param incarnation the process
 * @param lastHeartbeatAt when its last heartbeat came
 * @param ackedEpoch the highest epoch it said it has acknowledged
 * @param leaseBound until when its lease may run, as far as this manager renewed it or
 * was told by it
 */
record MemberRecord(int incarnation, long lastHeartbeatAt, long ackedEpoch, long leaseBound) {

	static MemberRecord unheard(int incarnation, long now) {
		return new MemberRecord(incarnation, now, 0, Long.MIN_VALUE);
	}

	MemberRecord heard(long now, long epoch, long bound) {
		return new MemberRecord(this.incarnation, now, Math.max(this.ackedEpoch, epoch),
				Math.max(this.leaseBound, bound));
	}

	MemberRecord renewed(long bound) {
		return new MemberRecord(this.incarnation, this.lastHeartbeatAt, this.ackedEpoch,
				Math.max(this.leaseBound, bound));
	}

}
