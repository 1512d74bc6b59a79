package org.brasspier.daemon.internal.mesh;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.brasspier.daemon.mesh.MetadataStore;
import org.brasspier.daemon.mesh.MetadataStore.Commit;
import org.brasspier.daemon.mesh.MetadataStore.CommitResult;
import org.brasspier.daemon.mesh.MetadataStore.Precondition;
import org.brasspier.daemon.mesh.MetadataStore.Put;

/**
 * Writes one row of this instance, one change at a time. Each write names the version
 * that it replaces, so that a write whose answer was lost can't be applied late and undo
 * a newer one. Not thread-safe; confined to the request thread.
 */
final class OwnRowWriter {

	static final Duration CHECK_INTERVAL = Duration.ofMillis(250);

	private final String key;

	private final Directory directory;

	private final MetadataStore store;

	private final StoreHealth health;

	private boolean writing;

	private long notBeforeNanos = System.nanoTime();

	OwnRowWriter(String key, Directory directory, MetadataStore store, StoreHealth health) {
		this.key = key;
		this.directory = directory;
		this.store = store;
		this.health = health;
	}

	// Returns whether a write may be started: none is in progress, and none has failed
	// just before.
	boolean canWrite() {
		return !this.writing && System.nanoTime() - this.notBeforeNanos >= 0 && this.directory.isLoaded();
	}

	/**
	 * Writes the row.
	 * @param version the known version of the row
	 * @param value the new value
	 * @param written called after the row was written
	 */
	void write(long version, byte[] value, Runnable written) {
		this.writing = true;
		Commit commit = new Commit(List.of(new Precondition(StoredRows.MESH, this.key, version)),
				List.of(new Put(StoredRows.MESH, this.key, value)));
		this.store.commit(commit).whenResult((result) -> {
			this.writing = false;
			switch (result) {
				case CommitResult.Done(long done) -> {
					this.directory.onRowWritten(new MetadataStore.Row(this.key, Optional.of(value), done));
					written.run();
				}
				// The feed delivers the current row; the next check continues from that.
				case CommitResult.Conflict ignored -> pause();
				case CommitResult.Refused(String reason) -> onFailure(reason);
				case CommitResult.Unknown(String reason) -> onFailure(reason);
			}
		});
	}

	private void onFailure(String reason) {
		this.health.recordCall(StoredRows.MESH, new MetadataStore.StoreFailedException(reason));
		pause();
	}

	private void pause() {
		this.notBeforeNanos = System.nanoTime() + CHECK_INTERVAL.toNanos() * 2;
	}

}
