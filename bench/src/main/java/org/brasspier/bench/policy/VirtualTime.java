package org.brasspier.bench.policy;

import java.util.PriorityQueue;

/**
 * A clock that jumps from one planned action to the next. Not thread-safe.
 */
final class VirtualTime {

	static final long MILLI = 1_000_000;

	static final long SECOND = 1000 * MILLI;

	private final PriorityQueue<Planned> planned = new PriorityQueue<>();

	private long now;

	private long sequence;

	long now() {
		return this.now;
	}

	void at(long nanos, Runnable action) {
		this.planned.add(new Planned(Math.max(nanos, this.now), this.sequence++, action));
	}

	void after(long nanos, Runnable action) {
		at(this.now + nanos, action);
	}

	void every(long nanos, Runnable action) {
		after(nanos, () -> {
			action.run();
			every(nanos, action);
		});
	}

	void runUntil(long end) {
		while (!this.planned.isEmpty() && this.planned.peek().nanos() <= end) {
			Planned next = this.planned.remove();
			this.now = next.nanos();
			next.action().run();
		}
		this.now = end;
	}

	private record Planned(long nanos, long sequence, Runnable action) implements Comparable<Planned> {

		@Override
		public int compareTo(Planned other) {
			int byTime = Long.compare(this.nanos, other.nanos);
			return (byTime != 0) ? byTime : Long.compare(this.sequence, other.sequence);
		}

	}

}
