package org.brasspier.bench.policy;

/**
 * One sending of a request. Not thread-safe.
 */
final class Attempt {

	private final long id;

	private final CallerCall call;

	private final int resends;

	private final long sentNanos;

	private final long deadlineNanos;

	private boolean over;

	Attempt(long id, CallerCall call, int resends, long sentNanos, long deadlineNanos) {
		this.id = id;
		this.call = call;
		this.resends = resends;
		this.sentNanos = sentNanos;
		this.deadlineNanos = deadlineNanos;
	}

	long id() {
		return this.id;
	}

	CallerCall call() {
		return this.call;
	}

	int resends() {
		return this.resends;
	}

	long sentNanos() {
		return this.sentNanos;
	}

	long deadlineNanos() {
		return this.deadlineNanos;
	}

	// True the first time only: an attempt has one end.
	boolean end() {
		boolean first = !this.over;
		this.over = true;
		return first;
	}

	boolean over() {
		return this.over;
	}

}
