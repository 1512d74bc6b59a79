package org.brasspier.daemon.internal.mesh;

import java.util.ArrayList;
import java.util.List;

import org.brasspier.core.mesh.KnownRows;
import org.brasspier.core.mesh.RowRequestThrottle;
import org.brasspier.daemon.internal.evacuation.EvacuationRows;
import org.brasspier.daemon.mesh.MetadataStore;

/**
 * The store's rows that this daemon knows, for exchange with other daemons. A row
 * replaces only an earlier version of itself, whatever its source. Not thread-safe;
 * confined to the request thread.
 */
final class SharedRows {

	private final ConfigHolder config;

	private final EvacuationRows evacuations;

	private final Directory directory;

	private final MeshLog log;

	private final RowRequestThrottle requests = new RowRequestThrottle();

	private Runnable rowsReceivedListener = () -> {
	};

	private Runnable newerConfigListener = () -> {
	};

	private Runnable newerMeshListener = () -> {
	};

	SharedRows(ConfigHolder config, EvacuationRows evacuations, Directory directory, MeshLog log) {
		this.config = config;
		this.evacuations = evacuations;
		this.directory = directory;
		this.log = log;
	}

	// Sets the callbacks for rows from another daemon that are newer than those of this
	// daemon's feeds.
	void addNewerRowsListener(Runnable config, Runnable mesh) {
		this.newerConfigListener = config;
		this.newerMeshListener = mesh;
	}

	// Sets the callback that is called after another daemon has sent new rows.
	void addRowsListener(Runnable listener) {
		this.rowsReceivedListener = listener;
	}

	/**
	 * Returns whether to request rows from another daemon that knows newer ones.
	 * @param now current time in nanoseconds
	 * @return false while the answer to an earlier request is expected
	 */
	boolean tryRequestRows(long now) {
		return this.requests.tryRequest(now);
	}

	KnownRows knownVersions() {
		return new KnownRows(Math.max(this.config.rowVersion(), this.evacuations.latestChange()),
				this.directory.newestVersion());
	}

	/**
	 * Returns the rows that another daemon lacks.
	 * @param other the versions that it knows
	 * @return the rows
	 */
	HopMessage.RowsResponse missingRows(KnownRows other) {
		List<MetadataStore.Row> config = new ArrayList<>(
				this.evacuations.rowsAfter(other.config(), this.directory.failureDomains()));
		if (this.config.rowVersion() > other.config()) {
			this.config.row().ifPresent(config::add);
		}
		List<MetadataStore.Row> mesh = new ArrayList<>(this.directory.rowsAfter(other.mesh()));
		return new HopMessage.RowsResponse(config, mesh);
	}

	void applyAndLog(HopMessage.RowsResponse response) {
		KnownRows before = knownVersions();
		apply(response);
		this.log.record(MeshEvent.ROWS_TOLD, "config_rows", response.config().size(), "mesh_rows",
				response.mesh().size(), "before", before, "after", knownVersions());
	}

	/**
	 * Applies rows from another daemon and notifies the feeds that lag behind.
	 * @param response the rows
	 */
	void apply(HopMessage.RowsResponse response) {
		KnownRows before = knownVersions();
		MetadataStore.Rows config = new MetadataStore.Rows(response.config(), 0);
		// Before the configuration, without which no request is sent.
		this.evacuations.apply(config, false);
		this.config.apply(config, ConfigHolder.Origin.PEER);
		if (!response.mesh().isEmpty()) {
			this.directory.apply(new MetadataStore.Rows(response.mesh(), 0), false);
		}
		if (knownVersions().config() > before.config()) {
			this.newerConfigListener.run();
		}
		if (knownVersions().mesh() > before.mesh()) {
			this.newerMeshListener.run();
		}
		if (!knownVersions().equals(before)) {
			this.requests.onRowsReceived();
			this.rowsReceivedListener.run();
		}
	}

}
