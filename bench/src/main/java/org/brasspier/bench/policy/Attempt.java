package org.brasspier.bench.policy;

/**
 * One attempt of a caller to have a request served. Not thread-safe.
 */
final class Attempt {

	private final long id;

	private final RecordedRequest call;

	private final int resends;

	private final long sentNanos;

	private final long deadlineNanos;

	private boolean ended;

	Attempt(long id, RecordedRequest call, int resends, long sentNanos, long deadlineNanos) {
		this.id = id;
		this.call = call;
		this.resends = resends;
		this.sentNanos = sentNanos;
		this.deadlineNanos = deadlineNanos;
	}

	long id() {
		return this.id;
	}

	RecordedRequest call() {
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

	// Returns true for the first call only, so that only one result of an attempt counts.
	boolean tryEnd() {
		boolean first = !this.ended;
		this.ended = true;
		return first;
	}

	boolean hasEnded() {
		return this.ended;
	}

}
