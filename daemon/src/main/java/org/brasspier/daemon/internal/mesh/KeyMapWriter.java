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
 * Writes a service's map of keys, one change at a time, on condition that nobody else has
 * changed it. Belongs to the thread of requests.
 */
final class KeyMapWriter {

	/** Until another change is planned after the store failed one. */
	private static final Duration TRY_AGAIN = Duration.ofMillis(250);

	private final NioReactor reactor;

	private final InstanceId self;

	private final ServiceName service;

	private final Directory directory;

	private final MetadataStore store;

	private final StoreHealth health;

	private final MeshLog log;

	private final LongSupplier clock;

	private final HopClient hops;

	private final Runnable written;

	private boolean busy;

	private long latestNanos;

	KeyMapWriter(NioReactor reactor, InstanceId self, ServiceName service, Directory directory, MetadataStore store,
			HopClient hops, StoreHealth health, MeshLog log, LongSupplier clock, Runnable written) {
		this.reactor = reactor;
		this.self = self;
		this.service = service;
		this.directory = directory;
		this.store = store;
		this.hops = hops;
		this.health = health;
		this.log = log;
		this.clock = clock;
		this.written = written;
		this.latestNanos = clock.getAsLong();
	}

	// Whether a change is on its way, so that no other may be planned.
	boolean isWriting() {
		return this.busy;
	}

	long nanosSinceLastWrite(long now) {
		return now - this.latestNanos;
	}

	void write(KeyMap planned, String why) {
		write(planned, Map.of(), why);
	}

	/**
	 * Writes a changed map.
	 * @param planned the map
	 * @param lost whose keys are taken, with the versions at which their leases ended:
	 * writing their rows makes their next renewals fail, so that none of them goes on
	 * with what it held
	 * @param why what the log says
	 */
	void write(KeyMap planned, Map<InstanceId, Long> lost, String why) {
		KeyMap map = planned.merged();
		this.busy = true;
		this.latestNanos = this.clock.getAsLong();
		String key = StoredRows.KEYS_PREFIX + this.service.value();
		List<Precondition> expected = new ArrayList<>();
		List<Put> puts = new ArrayList<>();
		expected.add(new Precondition(StoredRows.MESH, key, this.directory.keysVersion(this.service)));
		byte[] value = StoredRows.keys(map, !this.directory.reachable().allMatch(Member::passesRows));
		puts.add(new Put(StoredRows.MESH, key, value));
		lost.forEach((instance, version) -> {
			expected.add(new Precondition(StoredRows.LEASES, instance.value(), version));
			puts.add(LeaseRenewal.takeoverPut(instance, this.self));
		});
		this.store.commit(new Commit(expected, puts)).whenResult((result) -> {
			this.busy = false;
			ended(map, value, why, result);
		});
	}

	private void ended(KeyMap map, byte[] written, String why, CommitResult result) {
		switch (result) {
			case CommitResult.Done(long version) -> {
				Optional<KeyMap> before = this.directory.keys(this.service);
				MetadataStore.Row row = new MetadataStore.Row(StoredRows.KEYS_PREFIX + this.service.value(),
						Optional.of(written), version);
				this.directory.onRowWritten(row);
				tell(map.affectedInstances(before), row);
				this.log.record(MeshEvent.KEYS_MOVED, "service", this.service, "why", why, "version", version,
						"next_fence", map.nextFence(), "own", map.heldBy(this.self).size());
				this.written.run();
			}
			case CommitResult.Conflict ignored -> readAgain(why);
			case CommitResult.Refused(String reason) -> failed(reason);
			case CommitResult.Unknown(String reason) -> failed(reason);
		}
	}

	// Their feeds may tell them later, and the keys are unserved until they act.
	private void tell(Set<InstanceId> concerned, MetadataStore.Row row) {
		HopMessage.RowsResponse told = new HopMessage.RowsResponse(List.of(), List.of(row));
		concerned.stream()
			.filter((instance) -> !instance.equals(this.self))
			.map(this.directory::member)
			.flatMap(Optional::stream)
			.forEach((member) -> this.hops.sendOneWay(member, told));
	}

	private void failed(String reason) {
		this.health.recordCall(StoredRows.MESH, new MetadataStore.StoreFailedException(reason));
		this.busy = true;
		this.reactor.delay(TRY_AGAIN, () -> this.busy = false);
	}

	private void readAgain(String why) {
		this.busy = true;
		this.store.read(StoredRows.MESH).whenComplete((rows, ex) -> {
			this.busy = false;
			this.health.recordCall(StoredRows.MESH, ex);
			if (ex == null) {
				this.directory.apply(rows, true);
				this.log.record(MeshEvent.KEYS_MOVED, "service", this.service, "why", why, "outcome", "overtaken");
			}
		});
	}

}
