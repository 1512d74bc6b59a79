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
 * Writes one row of this instance, one change at a time. Each write names the version it
 * replaces, so that one whose answer was lost can't come later and undo a newer one.
 * Belongs to the thread of requests.
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

	// Whether another write may be begun: none is under way, and none failed just now.
	boolean canWrite() {
		return !this.writing && System.nanoTime() - this.notBeforeNanos >= 0 && this.directory.isLoaded();
	}

	/**
	 * Writes the row.
	 * @param version the version that is known of it
	 * @param value the value
	 * @param written called once it is done
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
				// The feed tells what is there; the next look goes on from that.
				case CommitResult.Conflict ignored -> pause();
				case CommitResult.Refused(String reason) -> lost(reason);
				case CommitResult.Unknown(String reason) -> lost(reason);
			}
		});
	}

	private void lost(String reason) {
		this.health.recordCall(StoredRows.MESH, new MetadataStore.StoreFailedException(reason));
		pause();
	}

	private void pause() {
		this.notBeforeNanos = System.nanoTime() + CHECK_INTERVAL.toNanos() * 2;
	}

}
