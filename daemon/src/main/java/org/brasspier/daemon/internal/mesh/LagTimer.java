package org.brasspier.daemon.internal.mesh;

import java.time.Duration;

import io.activej.reactor.nio.NioReactor;
import org.brasspier.core.mesh.LoopLag;

/**
 * The timer behind {@link LoopLag}. It runs only while requests come, so that an idle
 * daemon rests. Belongs to the thread of requests.
 */
final class LagTimer {

	private static final long KEEP_ON_NANOS = Duration.ofMillis(300).toNanos();

	private final NioReactor reactor;

	private final LoopLag lag = new LoopLag();

	private boolean running;

	private long requestNanos;

	LagTimer(NioReactor reactor) {
		this.reactor = reactor;
	}

	LoopLag onRequest(long now) {
		this.requestNanos = now;
		if (!this.running) {
			this.running = true;
			this.lag.onTick(now, now);
			tickLater(now);
		}
		return this.lag;
	}

	// How far the loop is behind; 0 while no requests come.
	long lagMillis() {
		return this.running ? Duration.ofNanos(this.lag.lagNanos(System.nanoTime())).toMillis() : 0;
	}

	private void tickLater(long now) {
		long due = now + LoopLag.TICK_INTERVAL.toNanos();
		this.reactor.delay(LoopLag.TICK_INTERVAL, () -> {
			long came = System.nanoTime();
			this.lag.onTick(due, came);
			this.running = came - this.requestNanos < KEEP_ON_NANOS;
			if (this.running) {
				tickLater(came);
			}
		});
	}

}
