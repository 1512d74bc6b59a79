package org.brasspier.daemon.internal.mesh;

import com.codahale.metrics.MetricRegistry;
import org.jspecify.annotations.Nullable;

/**
 * Logs when the platform's store is lost and regained. Belongs to the thread of requests.
 */
final class StoreHealth {

	private final MeshLog log;

	private final MetricRegistry metrics;

	private boolean lost;

	StoreHealth(MeshLog log, MetricRegistry metrics) {
		this.log = log;
		this.metrics = metrics;
	}

	void answered(String table, @Nullable Exception failure) {
		this.metrics.counter((failure != null) ? "store.calls.failed" : "store.calls.answered").inc();
		if (failure != null && !this.lost) {
			this.lost = true;
			this.log.record(MeshEvent.STORE_LOST, "table", table, "reason", String.valueOf(failure.getMessage()));
		}
		else if (failure == null && this.lost) {
			this.lost = false;
			this.log.record(MeshEvent.STORE_REGAINED, "table", table);
		}
	}

}
