package org.brasspier.core.choosing;

import java.time.Duration;
import java.util.Optional;

import org.brasspier.core.keys.BackendIncarnation;
import org.brasspier.core.load.ServerLoad;

/**
 * The latest report of one server's gate, which loses weight as it ages. Not thread-safe.
 */
final class ReportedServer {

	/** Half-life of a report's weight against this daemon's own observations. */
	private static final double HALF_LIFE_NANOS = Duration.ofSeconds(1).toNanos();

	/** Weight of a new report in the present slowness. */
	private static final double SLOWNESS_WEIGHT = 1.0 / 4;

	/**
	 * Weight of a new report in the usual slowness. Stalls of a fraction of a second are
	 * averaged out.
	 */
	private static final double USUAL_WEIGHT = 1.0 / 32;

	/** Weight of a new report in the usual work, which follows a swing of demand. */
	private static final double USUAL_WORK_WEIGHT = 1.0 / 8;

	/** Shortest time in which the work is assumed to change by half. */
	private static final double MIN_DRAIN_NANOS = Duration.ofMillis(50).toNanos();

	/** Number of reports from which the usual slowness is known. */
	private static final int MIN_REPORTS = 16;

	private final Optional<BackendIncarnation> incarnation;

	private double workNanos;

	private double usualWorkNanos = -1;

	private long linkBacklogNanos;

	private int slots = 1;

	private long reportedNanos;

	private long workUpdatedNanos;

	private double slowness = 1;

	private double usualSlowness = 1;

	private int reports;

	ReportedServer(Optional<BackendIncarnation> incarnation) {
		this.incarnation = incarnation;
	}

	Optional<BackendIncarnation> incarnation() {
		return this.incarnation;
	}

	void report(ServerLoad load, long now) {
		this.workNanos = load.workLeft().toNanos();
		this.usualWorkNanos += (this.usualWorkNanos < 0) ? this.workNanos + 1
				: USUAL_WORK_WEIGHT * (this.workNanos - this.usualWorkNanos);
		this.linkBacklogNanos = load.linkBacklog().toNanos();
		this.slots = load.slots();
		this.reportedNanos = now;
		this.workUpdatedNanos = now;
	}

	// Records the run time that a report expects, relative to the mean of all servers.
	void relativeRun(double relative) {
		this.reports++;
		this.slowness += Math.max(SLOWNESS_WEIGHT, 1.0 / this.reports) * (relative - this.slowness);
		this.usualSlowness += Math.max(USUAL_WEIGHT, 1.0 / this.reports) * (relative - this.usualSlowness);
	}

	void addWork(double nanos, long now) {
		this.workNanos = workNanos(now) + nanos;
		this.workUpdatedNanos = now;
	}

	// Returns the outstanding work. It approaches the usual work in the time in which the
	// slots would finish that: other daemons go on sending requests. When it shrank to
	// nothing instead, 85 daemons with reports half a second old took the quickest
	// servers for idle, and the mean time rose from 343 to 453 ms in the model.
	double workNanos(long now) {
		double drainNanos = Math.max(MIN_DRAIN_NANOS, this.usualWorkNanos / this.slots);
		double kept = Math.pow(0.5, Math.max(0, now - this.workUpdatedNanos) / drainNanos);
		return this.usualWorkNanos + kept * (this.workNanos - this.usualWorkNanos);
	}

	double linkBacklogNanos(long now) {
		return Math.max(0, this.linkBacklogNanos - (now - this.reportedNanos));
	}

	int slots() {
		return this.slots;
	}

	long reportedNanos() {
		return this.reportedNanos;
	}

	double weight(long now) {
		return Math.pow(0.5, Math.max(0, now - this.reportedNanos) / HALF_LIFE_NANOS);
	}

	double slowness() {
		return this.slowness;
	}

	double usualSlowness() {
		return this.usualSlowness;
	}

	boolean isSpeedKnown() {
		return this.reports >= MIN_REPORTS;
	}

}
