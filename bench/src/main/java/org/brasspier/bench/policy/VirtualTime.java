package org.brasspier.bench.policy;

import java.util.PriorityQueue;

/**
 * A virtual clock that advances from one scheduled action to the next. Not thread-safe.
 */
final class VirtualTime {

	static final long MILLI = 1_000_000;

	static final long SECOND = 1000 * MILLI;

	private final PriorityQueue<ScheduledAction> scheduled = new PriorityQueue<>();

	private long now;

	private long sequence;

	long now() {
		return this.now;
	}

	void scheduleAt(long nanos, Runnable action) {
		this.scheduled.add(new ScheduledAction(Math.max(nanos, this.now), this.sequence++, action));
	}

	void scheduleAfter(long nanos, Runnable action) {
		scheduleAt(this.now + nanos, action);
	}

	void scheduleEvery(long nanos, Runnable action) {
		scheduleAfter(nanos, () -> {
			action.run();
			scheduleEvery(nanos, action);
		});
	}

	void runUntil(long end) {
		while (!this.scheduled.isEmpty() && this.scheduled.peek().nanos() <= end) {
			ScheduledAction next = this.scheduled.remove();
			this.now = next.nanos();
			next.action().run();
		}
		this.now = end;
	}

	private record ScheduledAction(long nanos, long sequence, Runnable action) implements Comparable<ScheduledAction> {

		@Override
		public int compareTo(ScheduledAction other) {
			int byTime = Long.compare(this.nanos, other.nanos);
			return (byTime != 0) ? byTime : Long.compare(this.sequence, other.sequence);
		}

	}

}
