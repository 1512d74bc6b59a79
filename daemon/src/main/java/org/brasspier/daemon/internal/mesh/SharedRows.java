package org.brasspier.daemon.internal.mesh;

import java.util.ArrayList;
import java.util.List;

import org.brasspier.core.mesh.KnownRows;
import org.brasspier.core.mesh.RowRequests;
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

	private final RowRequests requests = new RowRequests();

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
	void whenBehind(Runnable config, Runnable mesh) {
		this.configBehind = config;
		this.meshBehind = mesh;
	}

	// Called after another daemon has told something new.
	void whenTold(Runnable listener) {
		this.told = listener;
	}

	/**
	 * Whether to ask another daemon for rows that it knows and this one doesn't.
	 * @param now the time
	 * @return false while another one is expected to tell them
	 */
	boolean mayAsk(long now) {
		return this.requests.mayAsk(now);
	}

	KnownRows known() {
		return new KnownRows(this.config.rowVersion(), this.directory.version());
	}

	/**
	 * What another daemon lacks.
	 * @param other what it knows
	 * @return the rows
	 */
	HopMessage.RowsTold lacking(KnownRows other) {
		List<MetadataStore.Row> config = (this.config.rowVersion() > other.config())
				? this.config.row().stream().toList() : List.of();
		List<MetadataStore.Row> mesh = new ArrayList<>(this.directory.rowsAfter(other.mesh()));
		return new HopMessage.RowsTold(config, mesh);
	}

	void take(HopMessage.RowsTold told) {
		KnownRows before = known();
		takeRows(told);
		this.log.record(MeshEvent.ROWS_TOLD, "config_rows", told.config().size(), "mesh_rows", told.mesh().size(),
				"before", before, "after", known());
	}

	/**
	 * Takes rows, and has the feeds looked after that the store has not told them to.
	 * @param told the rows
	 */
	void takeRows(HopMessage.RowsTold told) {
		KnownRows before = known();
		this.config.take(new MetadataStore.Rows(told.config(), 0), ConfigHolder.Origin.PEER);
		if (!told.mesh().isEmpty()) {
			this.directory.take(new MetadataStore.Rows(told.mesh(), 0), false);
		}
		if (known().config() > before.config()) {
			this.configBehind.run();
		}
		if (known().mesh() > before.mesh()) {
			this.meshBehind.run();
		}
		if (!known().equals(before)) {
			this.requests.answered();
			this.told.run();
		}
	}

}
