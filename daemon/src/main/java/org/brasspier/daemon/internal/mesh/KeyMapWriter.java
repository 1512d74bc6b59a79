package org.brasspier.daemon.internal.mesh;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;

import io.activej.reactor.nio.NioReactor;
import org.brasspier.core.InstanceId;
import org.brasspier.core.ServiceName;
import org.brasspier.core.keys.KeyMap;
import org.brasspier.daemon.mesh.MetadataStore;
import org.brasspier.daemon.mesh.MetadataStore.Commit;
import org.brasspier.daemon.mesh.MetadataStore.CommitResult;
import org.brasspier.daemon.mesh.MetadataStore.Precondition;
import org.brasspier.daemon.mesh.MetadataStore.Put;

/**
 * Writes the key map of a service, one change at a time, with the precondition that no
 * other instance has changed it. Not thread-safe; confined to the request thread.
 */
final class KeyMapWriter {

	/** Time until the next change is planned after the store failed a write. */
	private static final Duration RETRY_DELAY = Duration.ofMillis(250);

	private final NioReactor reactor;

	private final InstanceId self;

	private final ServiceName service;

	private final Directory directory;

	private final MetadataStore store;

	private final StoreHealth health;

	private final MeshLog log;

	private final LongSupplier clock;

	private final HopClient hops;

	private final Runnable onWritten;

	private boolean writing;

	private long lastWriteNanos;

	KeyMapWriter(NioReactor reactor, InstanceId self, ServiceName service, Directory directory, MetadataStore store,
			HopClient hops, StoreHealth health, MeshLog log, LongSupplier clock, Runnable onWritten) {
		this.reactor = reactor;
		this.self = self;
		this.service = service;
		this.directory = directory;
		this.store = store;
		this.hops = hops;
		this.health = health;
		this.log = log;
		this.clock = clock;
		this.onWritten = onWritten;
		this.lastWriteNanos = clock.getAsLong();
	}

	// Returns whether a write is in progress, so that no other change may be planned.
	boolean isWriting() {
		return this.writing;
	}

	long nanosSinceLastWrite(long now) {
		return now - this.lastWriteNanos;
	}

	void write(KeyMap planned, String why) {
		write(planned, Map.of(), why);
	}

	/**
	 * Writes a changed key map.
	 * @param planned the new key map
	 * @param lost instances whose keys are taken over, with the row versions at which
	 * their leases ended; overwriting their lease rows makes their next renewals fail, so
	 * that none of them continues to use its keys
	 * @param why reason for the log
	 */
	void write(KeyMap planned, Map<InstanceId, Long> lost, String why) {
		KeyMap map = planned.merged();
		this.writing = true;
		this.lastWriteNanos = this.clock.getAsLong();
		String key = StoredRows.KEYS_PREFIX + this.service.value();
		List<Precondition> preconditions = new ArrayList<>();
		List<Put> puts = new ArrayList<>();
		preconditions.add(new Precondition(StoredRows.MESH, key, this.directory.keysVersion(this.service)));
		byte[] value = StoredRows.keys(map, !this.directory.reachable().allMatch(Member::passesRows));
		puts.add(new Put(StoredRows.MESH, key, value));
		lost.forEach((instance, version) -> {
			preconditions.add(new Precondition(StoredRows.LEASES, instance.value(), version));
			puts.add(LeaseRenewal.takeoverPut(instance, this.self));
		});
		this.store.commit(new Commit(preconditions, puts)).whenResult((result) -> {
			this.writing = false;
			onCommitResult(map, value, why, result);
		});
	}

	private void onCommitResult(KeyMap map, byte[] value, String why, CommitResult result) {
		switch (result) {
			case CommitResult.Done(long version) -> {
				Optional<KeyMap> before = this.directory.keys(this.service);
				MetadataStore.Row row = new MetadataStore.Row(StoredRows.KEYS_PREFIX + this.service.value(),
						Optional.of(value), version);
				this.directory.onRowWritten(row);
				notifyAffected(map.affectedInstances(before), row);
				this.log.record(MeshEvent.KEYS_MOVED, "service", this.service, "why", why, "version", version,
						"next_fence", map.nextFence(), "own", map.heldBy(this.self).size());
				this.onWritten.run();
			}
			case CommitResult.Conflict ignored -> rereadMap(why);
			case CommitResult.Refused(String reason) -> failed(reason);
			case CommitResult.Unknown(String reason) -> failed(reason);
		}
	}

	// Sent directly, since their feeds may deliver the change later, and the keys are
	// unserved until they act on it.
	private void notifyAffected(Set<InstanceId> affected, MetadataStore.Row row) {
		HopMessage.RowsResponse update = new HopMessage.RowsResponse(List.of(), List.of(row));
		affected.stream()
			.filter((instance) -> !instance.equals(this.self))
			.map(this.directory::member)
			.flatMap(Optional::stream)
			.forEach((member) -> this.hops.sendOneWay(member, update));
	}

	private void failed(String reason) {
		this.health.recordCall(StoredRows.MESH, new MetadataStore.StoreFailedException(reason));
		this.writing = true;
		this.reactor.delay(RETRY_DELAY, () -> this.writing = false);
	}

	private void rereadMap(String why) {
		this.writing = true;
		this.store.read(StoredRows.MESH).whenComplete((rows, ex) -> {
			this.writing = false;
			this.health.recordCall(StoredRows.MESH, ex);
			if (ex == null) {
				this.directory.apply(rows, true);
				this.log.record(MeshEvent.KEYS_MOVED, "service", this.service, "why", why, "outcome", "overtaken");
			}
		});
	}

}
