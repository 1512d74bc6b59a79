package org.brasspier.core.ownership;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;

import io.vavr.collection.SortedMap;
import io.vavr.collection.TreeMap;
import org.brasspier.core.InstanceId;

/**
 * Records when periodic work was last done. A method whose name ends with Due returns
 * true if its interval has passed, and then starts the next interval. Not thread-safe.
 */
final class Timers {

	private static final long BALANCE_INTERVAL_MILLIS = 1000;

	private final Map<Task, Long> lastDoneAt = new EnumMap<>(Task.class);

	private SortedMap<InstanceId, Long> pushedAt = TreeMap.empty();

	private boolean wasLeaseValid;

	/**
	 * The manager that gets the next heartbeat: 1 for the second, 2 for the first; 0 for
	 * all.
	 */
	private int nextReceiver;

	Timers copy() {
		Timers copy = new Timers();
		copy.lastDoneAt.putAll(this.lastDoneAt);
		copy.pushedAt = this.pushedAt;
		copy.wasLeaseValid = this.wasLeaseValid;
		copy.nextReceiver = this.nextReceiver;
		return copy;
	}

	List<Object> state() {
		return List.of(Map.copyOf(this.lastDoneAt), this.pushedAt, this.wasLeaseValid, this.nextReceiver);
	}

	private boolean due(Task task, long now, long interval) {
		Long previous = this.lastDoneAt.get(task);
		if (previous != null && now - previous < interval) {
			return false;
		}
		this.lastDoneAt.put(task, now);
		return true;
	}

	boolean readDue(long now, long interval) {
		return due(Task.READ, now, interval);
	}

	boolean heartbeatDue(long now, long interval) {
		return due(Task.HEARTBEAT, now, interval);
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
		Long sentAt = this.lastDoneAt.get(Task.HEARTBEAT);
		boolean missed = sentAt != null && heardAt < sentAt && now - sentAt >= answerTimeout
				&& !sentAt.equals(this.lastDoneAt.get(Task.HEARTBEAT_TO_OTHER_MANAGER));
		if (missed) {
			this.lastDoneAt.put(Task.HEARTBEAT_TO_OTHER_MANAGER, sentAt);
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
		if (this.nextReceiver == 0 || renewers.isEmpty()) {
			this.nextReceiver = 1;
			return renewers;
		}
		MemberKey next = renewers.get(this.nextReceiver % renewers.size());
		this.nextReceiver = this.nextReceiver % 2 + 1;
		return List.of(next);
	}

	boolean announceDue(long now, long interval) {
		return due(Task.ANNOUNCE, now, interval);
	}

	boolean releasedDue(long now, long interval) {
		return due(Task.RELEASED, now, interval);
	}

	boolean beatDue(long now, long interval) {
		return due(Task.BEAT, now, interval);
	}

	boolean releaseDue(long now, long interval) {
		return due(Task.RELEASE, now, interval);
	}

	boolean probeDue(long now, long interval) {
		return due(Task.PROBE, now, interval);
	}

	boolean epochDue(long now, long interval) {
		return due(Task.EPOCH, now, interval);
	}

	boolean rowRequestDue(long now, long interval) {
		return due(Task.ROW_REQUEST, now, interval);
	}

	boolean takeoverDue(long now, long interval) {
		return due(Task.TAKEOVER, now, interval);
	}

	boolean balanceDue(long now) {
		return due(Task.BALANCE, now, BALANCE_INTERVAL_MILLIS);
	}

	boolean pushDue(InstanceId to, long now, long interval) {
		boolean due = this.pushedAt.get(to).filter((previous) -> now - previous < interval).isEmpty();
		if (due) {
			this.pushedAt = this.pushedAt.put(to, now);
		}
		return due;
	}

	void onRowChanged() {
		this.lastDoneAt.remove(Task.BALANCE);
		this.lastDoneAt.remove(Task.HEARTBEAT);
		this.nextReceiver = 0;
	}

	boolean wasLeaseValid() {
		return this.wasLeaseValid;
	}

	void setLeaseValid(boolean valid) {
		this.wasLeaseValid = valid;
	}

	private enum Task {

		READ, HEARTBEAT, ANNOUNCE, RELEASED, BEAT, RELEASE, PROBE, EPOCH, TAKEOVER, BALANCE, ROW_REQUEST,
		HEARTBEAT_TO_OTHER_MANAGER

	}

}
