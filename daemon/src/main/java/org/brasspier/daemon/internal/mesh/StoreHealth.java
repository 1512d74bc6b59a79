package org.brasspier.daemon.internal.mesh;

import java.util.ArrayList;
import java.util.List;

import com.codahale.metrics.MetricRegistry;
import org.jspecify.annotations.Nullable;

/**
 * Counts calls of the platform's store and logs when the store becomes unavailable and
 * available again. Not thread-safe; confined to the request thread.
 */
final class StoreHealth {

	private final MeshLog log;

	private final MetricRegistry metrics;

	private final List<Runnable> listeners = new ArrayList<>();

	private boolean lost;

	StoreHealth(MeshLog log, MetricRegistry metrics) {
		this.log = log;
		this.metrics = metrics;
	}

	// Registers a listener that is called when a call fails after a successful one.
	void addLossListener(Runnable listener) {
		this.listeners.add(listener);
	}

	void recordCall(String table, @Nullable Exception failure) {
		this.metrics.counter((failure != null) ? "store.calls.failed" : "store.calls.answered").inc();
		if (failure != null && !this.lost) {
			this.lost = true;
			this.log.record(MeshEvent.STORE_LOST, "table", table, "reason", String.valueOf(failure.getMessage()));
			this.listeners.forEach(Runnable::run);
		}
		else if (failure == null && this.lost) {
			this.lost = false;
			this.log.record(MeshEvent.STORE_REGAINED, "table", table);
		}
	}

}
