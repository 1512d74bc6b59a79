package org.brasspier.bench.policy;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Queue;

/**
 * A simulated backend server. It runs as many requests at once as it actually has slots,
 * and queues the others internally in order of arrival. Not thread-safe.
 */
final class SimulatedServer {

	private final VirtualTime time;

	private final int slots;

	private final double slowness;

	private final Load.Faults faults;

	private final Queue<Job> waiting = new ArrayDeque<>();

	private final Map<Long, Job> running = new HashMap<>();

	private long measureFrom;

	private double busyNanos;

	private boolean crashed;

	SimulatedServer(VirtualTime time, int slots, double slowness, Load.Faults faults) {
		this.time = time;
		this.slots = slots;
		this.slowness = slowness;
		this.faults = faults;
	}

	void submit(Attempt attempt, Runnable onAnswered, Runnable onInterrupted) {
		Job job = new Job(attempt, onAnswered, onInterrupted, this.time.now());
		if (this.crashed) {
			onInterrupted.run();
		}
		else if (this.running.size() < this.slots) {
			start(job);
		}
		else {
			this.waiting.add(job);
		}
	}

	// Stops an attempt whose caller no longer waits. Returns whether it was running or
	// queued.
	boolean cancel(Attempt attempt) {
		Job job = this.running.remove(attempt.id());
		if (job != null) {
			addBusyTime(job);
			startNext();
			return true;
		}
		return this.waiting.removeIf((each) -> each.attempt() == attempt);
	}

	void crash() {
		this.crashed = true;
		Map<Long, Job> interrupted = new HashMap<>(this.running);
		this.running.clear();
		interrupted.values().forEach((job) -> job.onInterrupted().run());
		this.waiting.forEach((job) -> job.onInterrupted().run());
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
		Job started = new Job(job.attempt(), job.onAnswered(), job.onInterrupted(), this.time.now());
		this.running.put(job.attempt().id(), started);
		this.time.scheduleAt(completionNanos(job.attempt().call().runNanos()), () -> {
			if (this.running.remove(job.attempt().id(), started)) {
				addBusyTime(started);
				startNext();
				started.onAnswered().run();
			}
		});
	}

	private long completionNanos(long runNanos) {
		long begin = this.time.now();
		long end = begin + (long) (runNanos * this.slowness);
		boolean stalls = begin < this.faults.stallEndNanos() && end > this.faults.stallBeginNanos();
		long from = Math.max(begin, this.faults.stallBeginNanos());
		return stalls ? end + this.faults.stallEndNanos() - from : end;
	}

	private void addBusyTime(Job job) {
		this.busyNanos += Math.max(0, this.time.now() - Math.max(job.sinceNanos(), this.measureFrom));
	}

	private void startNext() {
		Job job = this.waiting.poll();
		if (job != null) {
			start(job);
		}
	}

	private record Job(Attempt attempt, Runnable onAnswered, Runnable onInterrupted, long sinceNanos) {

	}

}
