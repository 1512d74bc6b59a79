package org.brasspier.core.link;

import java.time.Duration;

/**
 * Estimate of what the network link carries, from bytes that are known to have left it
 * while it was busy all the time. Not thread-safe.
 */
final class LinkRate {

	private static final double NANOS_PER_SECOND = 1_000_000_000;

	private static final double BYTES_PER_MEGABIT = 125_000;

	/** Long enough for a few pieces on a link of 10 Mbit/s. */
	private static final long SAMPLE_NANOS = Duration.ofMillis(100).toNanos();

	/**
	 * A process that has used up its processor quota pauses for up to 0.1 s, so one
	 * sample counts for a part only.
	 */
	private static final double SAMPLE_WEIGHT = 0.3;

	/** Bounds the effect of acknowledgements that arrive together. */
	private static final double MAX_GROWTH = 2;

	/** A pause of a receiver must not be taken for a limit of the link. */
	private static final long MIN_LEARNED_BYTES = 8L * SendWindow.PIECE_BYTES;

	private double bytesPerSecond;

	private boolean sampling;

	private long sampleStartNanos;

	private long sampleBytes;

	LinkRate(int megabits) {
		this.bytesPerSecond = megabits * BYTES_PER_MEGABIT;
	}

	boolean isKnown() {
		return this.bytesPerSecond > 0;
	}

	// Returns 0 if unknown.
	double bytesPerSecond() {
		return this.bytesPerSecond;
	}

	long nanosFor(long bytes) {
		return isKnown() ? (long) (bytes / this.bytesPerSecond * NANOS_PER_SECOND) : 0;
	}

	void onBusy(long now) {
		if (!this.sampling) {
			this.sampling = true;
			this.sampleStartNanos = now;
			this.sampleBytes = 0;
		}
	}

	void onIdle() {
		this.sampling = false;
	}

	// Where nothing is known, only a queue shows that the link limits what is sent.
	void onCarried(long bytes, boolean queued, long now) {
		if (!this.sampling) {
			return;
		}
		this.sampleBytes += bytes;
		long nanos = now - this.sampleStartNanos;
		if (nanos >= SAMPLE_NANOS && (isKnown() || queued && this.sampleBytes >= MIN_LEARNED_BYTES)) {
			add(this.sampleBytes * NANOS_PER_SECOND / nanos);
			this.sampleStartNanos = now;
			this.sampleBytes = 0;
		}
	}

	private void add(double sample) {
		if (isKnown()) {
			double bounded = Math.min(sample, this.bytesPerSecond * MAX_GROWTH);
			this.bytesPerSecond += (bounded - this.bytesPerSecond) * SAMPLE_WEIGHT;
		}
		else {
			this.bytesPerSecond = sample;
		}
	}

}
