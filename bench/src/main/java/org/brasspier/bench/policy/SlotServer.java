package org.brasspier.bench.policy;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Queue;

/**
 * A backend server: as many at once as it truly has slots, the rest waits inside in order
 * of arrival. Not thread-safe.
 */
final class SlotServer {

	private final VirtualTime time;

	private final int slots;

	private final double slowness;

	private final Load.Trouble trouble;

	private final Queue<Job> waiting = new ArrayDeque<>();

	private final Map<Long, Job> running = new HashMap<>();

	private long measureFrom;

	private double busyNanos;

	private boolean lost;

	SlotServer(VirtualTime time, int slots, double slowness, Load.Trouble trouble) {
		this.time = time;
		this.slots = slots;
		this.slowness = slowness;
		this.trouble = trouble;
	}

	void run(Attempt attempt, Runnable answered, Runnable broken) {
		Job job = new Job(attempt, answered, broken, this.time.now());
		if (this.lost) {
			broken.run();
		}
		else if (this.running.size() < this.slots) {
			start(job);
		}
		else {
			this.waiting.add(job);
		}
	}

	// Stops work whose caller is gone. Returns whether it was there.
	boolean cancel(Attempt attempt) {
		Job job = this.running.remove(attempt.id());
		if (job != null) {
			account(job);
			next();
			return true;
		}
		return this.waiting.removeIf((each) -> each.attempt() == attempt);
	}

	void lose() {
		this.lost = true;
		Map<Long, Job> cut = new HashMap<>(this.running);
		this.running.clear();
		cut.values().forEach((job) -> job.broken().run());
		this.waiting.forEach((job) -> job.broken().run());
		this.waiting.clear();
	}

	int load() {
		return this.running.size() + this.waiting.size();
	}

	void measureFrom(long nanos) {
		this.measureFrom = nanos;
	}

	double busyNanos() {
		return this.busyNanos;
	}

	private void start(Job job) {
		Job begun = new Job(job.attempt(), job.answered(), job.broken(), this.time.now());
		this.running.put(job.attempt().id(), begun);
		this.time.at(end(job.attempt().call().runNanos()), () -> {
			if (this.running.remove(job.attempt().id(), begun)) {
				account(begun);
				next();
				begun.answered().run();
			}
		});
	}

	private long end(long runNanos) {
		long begin = this.time.now();
		long end = begin + (long) (runNanos * this.slowness);
		boolean stalls = begin < this.trouble.stallEnd() && end > this.trouble.stallBegin();
		long from = Math.max(begin, this.trouble.stallBegin());
		return stalls ? end + this.trouble.stallEnd() - from : end;
	}

	private void account(Job job) {
		this.busyNanos += Math.max(0, this.time.now() - Math.max(job.sinceNanos(), this.measureFrom));
	}

	private void next() {
		Job job = this.waiting.poll();
		if (job != null) {
			start(job);
		}
	}

	private record Job(Attempt attempt, Runnable answered, Runnable broken, long sinceNanos) {

	}

}
