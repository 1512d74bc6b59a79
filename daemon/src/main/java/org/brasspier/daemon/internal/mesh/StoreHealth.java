package org.brasspier.daemon.internal.mesh;

import org.jspecify.annotations.Nullable;

/**
 * Logs when the platform's store is lost and regained. Belongs to the thread of requests.
 */
final class StoreHealth {

	private final MeshLog log;

	private boolean lost;

	StoreHealth(MeshLog log) {
		this.log = log;
	}

	void answered(String table, @Nullable Exception failure) {
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
