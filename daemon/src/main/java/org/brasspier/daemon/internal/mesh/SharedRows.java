package org.brasspier.daemon.internal.mesh;

import java.util.ArrayList;
import java.util.List;

import org.brasspier.core.mesh.KnownRows;
import org.brasspier.core.mesh.RowRequestThrottle;
import org.brasspier.daemon.mesh.MetadataStore;

/**
 * The rows of the store that this daemon knows, for other daemons that know fewer. A row
 * replaces an earlier version only, wherever it comes from. Belongs to the thread of
 * requests.
 */
final class SharedRows {

	private final ConfigHolder config;

	private final Directory directory;

	private final MeshLog log;

	private final RowRequestThrottle requests = new RowRequestThrottle();

	private Runnable told = () -> {
	};

	private Runnable configBehind = () -> {
	};

	private Runnable meshBehind = () -> {
	};

	SharedRows(ConfigHolder config, Directory directory, MeshLog log) {
		this.config = config;
		this.directory = directory;
		this.log = log;
	}

	// Called when another daemon tells what this one's feeds have not.
	void addNewerRowsListener(Runnable config, Runnable mesh) {
		this.configBehind = config;
		this.meshBehind = mesh;
	}

	// Called after another daemon has told something new.
	void addRowsListener(Runnable listener) {
		this.told = listener;
	}

	/**
	 * Whether to ask another daemon for rows that it knows and this one doesn't.
	 * @param now the time
	 * @return false while another one is expected to tell them
	 */
	boolean tryRequestRows(long now) {
		return this.requests.tryRequest(now);
	}

	KnownRows knownVersions() {
		return new KnownRows(this.config.rowVersion(), this.directory.newestVersion());
	}

	/**
	 * What another daemon lacks.
	 * @param other what it knows
	 * @return the rows
	 */
	HopMessage.RowsResponse missingRows(KnownRows other) {
		List<MetadataStore.Row> config = (this.config.rowVersion() > other.config())
				? this.config.row().stream().toList() : List.of();
		List<MetadataStore.Row> mesh = new ArrayList<>(this.directory.rowsAfter(other.mesh()));
		return new HopMessage.RowsResponse(config, mesh);
	}

	void applyAndLog(HopMessage.RowsResponse told) {
		KnownRows before = knownVersions();
		apply(told);
		this.log.record(MeshEvent.ROWS_TOLD, "config_rows", told.config().size(), "mesh_rows", told.mesh().size(),
				"before", before, "after", knownVersions());
	}

	/**
	 * Takes rows, and has the feeds looked after that the store has not told them to.
	 * @param told the rows
	 */
	void apply(HopMessage.RowsResponse told) {
		KnownRows before = knownVersions();
		this.config.apply(new MetadataStore.Rows(told.config(), 0), ConfigHolder.Origin.PEER);
		if (!told.mesh().isEmpty()) {
			this.directory.apply(new MetadataStore.Rows(told.mesh(), 0), false);
		}
		if (knownVersions().config() > before.config()) {
			this.configBehind.run();
		}
		if (knownVersions().mesh() > before.mesh()) {
			this.meshBehind.run();
		}
		if (!knownVersions().equals(before)) {
			this.requests.onRowsReceived();
			this.told.run();
		}
	}

}
