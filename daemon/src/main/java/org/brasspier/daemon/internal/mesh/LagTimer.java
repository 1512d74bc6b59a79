package org.brasspier.daemon.internal.mesh;

import java.time.Duration;

import io.activej.reactor.nio.NioReactor;
import org.brasspier.core.mesh.LoopLag;

/**
 * Timer that feeds {@link LoopLag}. It runs only while requests arrive, so that an idle
 * daemon uses no processor time. Not thread-safe: confined to the request thread.
 */
final class LagTimer {

	private static final long IDLE_TIMEOUT_NANOS = Duration.ofMillis(300).toNanos();

	private final NioReactor reactor;

	private final LoopLag lag = new LoopLag();

	private boolean running;

	private long lastRequestNanos;

	LagTimer(NioReactor reactor) {
		this.reactor = reactor;
	}

	LoopLag onRequest(long now) {
		this.lastRequestNanos = now;
		if (!this.running) {
			this.running = true;
			this.lag.onTick(now, now);
			scheduleTick(now);
		}
		return this.lag;
	}

	// Returns the lag of the event loop; 0 while no requests arrive.
	long lagMillis() {
		return this.running ? Duration.ofNanos(this.lag.lagNanos(System.nanoTime())).toMillis() : 0;
	}

	private void scheduleTick(long now) {
		long due = now + LoopLag.TICK_INTERVAL.toNanos();
		this.reactor.delay(LoopLag.TICK_INTERVAL, () -> {
			long tickNanos = System.nanoTime();
			this.lag.onTick(due, tickNanos);
			this.running = tickNanos - this.lastRequestNanos < IDLE_TIMEOUT_NANOS;
			if (this.running) {
				scheduleTick(tickNanos);
			}
		});
	}

}
