package org.brasspier.core.ownership;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;

import io.vavr.collection.SortedMap;
import io.vavr.collection.TreeMap;
import org.brasspier.core.InstanceId;

/**
 * Records when periodic work was last done. Not thread-safe.
 */
final class Timers {

	private static final long BALANCE_MILLIS = 1000;

	private final Map<Kind, Long> last = new EnumMap<>(Kind.class);

	private SortedMap<InstanceId, Long> pushedAt = TreeMap.empty();

	private boolean wasLeaseValid;

	/** Index of the manager that gets the next heartbeat; 0 for all. */
	private int turn;

	Timers copy() {
		Timers copy = new Timers();
		copy.last.putAll(this.last);
		copy.pushedAt = this.pushedAt;
		copy.wasLeaseValid = this.wasLeaseValid;
		copy.turn = this.turn;
		return copy;
	}

	List<Object> state() {
		return List.of(Map.copyOf(this.last), this.pushedAt, this.wasLeaseValid, this.turn);
	}

	private boolean due(Kind kind, long now, long every) {
		Long before = this.last.get(kind);
		if (before != null && now - before < every) {
			return false;
		}
		this.last.put(kind, now);
		return true;
	}

	boolean readDue(long now, long every) {
		return due(Kind.READ, now, every);
	}

	boolean heartbeatDue(long now, long every) {
		return due(Kind.HEARTBEAT, now, every);
	}

	/**
	 * Returns whether the latest heartbeat was not answered in time; true at most once
	 * for each heartbeat.
	 * @param heardAt when the last renewal arrived
	 * @param answerTimeout how long an answer may take, milliseconds
	 * @param now current time, milliseconds
	 * @return true if a heartbeat to the other manager is due
	 */
	boolean heartbeatMissed(long heardAt, long answerTimeout, long now) {
		Long sentAt = this.last.get(Kind.HEARTBEAT);
		boolean missed = sentAt != null && heardAt < sentAt && now - sentAt >= answerTimeout
				&& !sentAt.equals(this.last.get(Kind.HEARTBEAT_AGAIN));
		if (missed) {
			this.last.put(Kind.HEARTBEAT_AGAIN, sentAt);
		}
		return missed;
	}

	/**
	 * Returns the receivers of the next heartbeat. Usually the lease managers get
	 * heartbeats in turn, since one renewal in each interval is enough and a manager's
	 * traffic limits the size of a cell. After a change all of them get one, since they
	 * must soon learn what this member has acknowledged.
	 * @param renewers the processes that may renew this member
	 * @return one of them, or all
	 */
	List<MemberKey> heartbeatReceivers(List<MemberKey> renewers) {
		if (this.turn == 0 || renewers.isEmpty()) {
			this.turn = 1;
			return renewers;
		}
		MemberKey next = renewers.get(this.turn % renewers.size());
		this.turn = this.turn % 2 + 1;
		return List.of(next);
	}

	boolean announceDue(long now, long every) {
		return due(Kind.ANNOUNCE, now, every);
	}

	boolean releasedDue(long now, long every) {
		return due(Kind.RELEASED, now, every);
	}

	boolean beatDue(long now, long every) {
		return due(Kind.BEAT, now, every);
	}

	boolean releaseDue(long now, long every) {
		return due(Kind.RELEASE, now, every);
	}

	boolean probeDue(long now, long every) {
		return due(Kind.PROBE, now, every);
	}

	boolean epochDue(long now, long every) {
		return due(Kind.EPOCH, now, every);
	}

	boolean rowRequestDue(long now, long every) {
		return due(Kind.ROW_REQUEST, now, every);
	}

	boolean takeoverDue(long now, long every) {
		return due(Kind.TAKEOVER, now, every);
	}

	boolean balanceDue(long now) {
		return due(Kind.BALANCE, now, BALANCE_MILLIS);
	}

	boolean pushDue(InstanceId to, long now, long every) {
		boolean due = this.pushedAt.get(to).filter((before) -> now - before < every).isEmpty();
		if (due) {
			this.pushedAt = this.pushedAt.put(to, now);
		}
		return due;
	}

	void onRowChanged() {
		this.last.remove(Kind.BALANCE);
		this.last.remove(Kind.HEARTBEAT);
		this.turn = 0;
	}

	boolean wasLeaseValid() {
		return this.wasLeaseValid;
	}

	void setLeaseValid(boolean runs) {
		this.wasLeaseValid = runs;
	}

	private enum Kind {

		READ, HEARTBEAT, ANNOUNCE, RELEASED, BEAT, RELEASE, PROBE, EPOCH, TAKEOVER, BALANCE, ROW_REQUEST,
		HEARTBEAT_AGAIN

	}

}
