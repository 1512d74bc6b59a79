package org.brasspier.core.ownership;

/**
 * What a lease manager knows of one member's process. Immutable and thread-safe.
 *
 * @param incarnation the process
 * @param heardAt when its last heartbeat came
 * @param ackedEpoch the highest epoch it said it has acknowledged
 * @param leaseBound until when its lease may run, as far as this manager renewed it or
 * was told by it
 */
record MemberWatch(int incarnation, long heardAt, long ackedEpoch, long leaseBound) {

	static MemberWatch unheard(int incarnation, long now) {
		return new MemberWatch(incarnation, now, 0, Long.MIN_VALUE);
	}

	MemberWatch heard(long now, long epoch, long bound) {
		return new MemberWatch(this.incarnation, now, Math.max(this.ackedEpoch, epoch),
				Math.max(this.leaseBound, bound));
	}

	MemberWatch renewed(long bound) {
		return new MemberWatch(this.incarnation, this.heardAt, this.ackedEpoch, Math.max(this.leaseBound, bound));
	}

}
