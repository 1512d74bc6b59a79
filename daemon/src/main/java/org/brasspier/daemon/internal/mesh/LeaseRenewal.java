package org.brasspier.daemon.internal.mesh;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;

import io.activej.reactor.nio.NioReactor;
import org.brasspier.core.InstanceId;
import org.brasspier.core.ServiceName;
import org.brasspier.core.keys.LeaseTiming;
import org.brasspier.core.keys.LeaseWatch;
import org.brasspier.core.keys.OwnLease;
import org.brasspier.daemon.mesh.MetadataStore;
import org.brasspier.daemon.mesh.MetadataStore.Commit;
import org.brasspier.daemon.mesh.MetadataStore.CommitResult;
import org.brasspier.daemon.mesh.MetadataStore.Expected;
import org.brasspier.daemon.mesh.MetadataStore.Put;

/**
 * Renews this instance's lease in the store and watches those of the others. After the
 * lease was taken away the map of keys may be out of date though nothing says so, so it
 * isn't trusted until it was read again. Belongs to the thread of requests.
 */
final class LeaseRenewal {

	/**
	 * A lost instance's keys wait for the end of its lease and up to two of these: with
	 * two seconds they were once unserved for 13.7 s, not 10. One call a look, by each
	 * holder.
	 */
	private static final long LOOK_EVERY_NANOS = Duration.ofMillis(500).toNanos();

	private static final String TAKEN = "taken by ";

	/**
	 * Until a renewal that failed is sent again: an answer that was lost leaves the lease
	 * a renewal shorter.
	 */
	private static final Duration RENEW_AGAIN = Duration.ofMillis(500);

	/** Until a map that could not be read is read again: nothing is granted before. */
	private static final Duration READ_AGAIN = Duration.ofMillis(250);

	private final NioReactor reactor;

	private final InstanceId self;

	private final ServiceName service;

	private final Directory directory;

	private final MetadataStore store;

	private final StoreHealth health;

	private final MeshLog log;

	private final LongSupplier clock;

	private final Runnable mapRead;

	private final LeaseTiming timing;

	private final OwnLease lease;

	private final LeaseWatch watch;

	private boolean renewing;

	private boolean looking;

	private boolean rowKnown;

	private boolean held;

	private boolean mapTrusted;

	private long renewedNanos;

	private long lookedNanos;

	LeaseRenewal(NioReactor reactor, InstanceId self, ServiceName service, Directory directory, MetadataStore store,
			StoreHealth health, MeshLog log, LongSupplier clock, LeaseTiming timing, Runnable mapRead) {
		this.reactor = reactor;
		this.self = self;
		this.service = service;
		this.directory = directory;
		this.store = store;
		this.health = health;
		this.log = log;
		this.clock = clock;
		this.timing = timing;
		this.mapRead = mapRead;
		this.lease = new OwnLease(timing);
		this.watch = new LeaseWatch(timing);
		long now = clock.getAsLong();
		this.renewedNanos = now - timing.lease().toNanos();
		this.lookedNanos = now - LOOK_EVERY_NANOS;
	}

	// Whether the own lease's row was read, so that conditions can name its version.
	boolean rowKnown() {
		return this.rowKnown;
	}

	boolean mapTrusted() {
		return this.mapTrusted;
	}

	long remainingNanos(long now) {
		return this.lease.remainingNanos(now);
	}

	boolean live(InstanceId instance, long now) {
		return this.watch.live(instance, now);
	}

	// The version at which another instance's lease ended, if it did.
	Optional<Long> ended(InstanceId instance, long now) {
		return this.watch.ended(instance, now);
	}

	// What whoever takes an instance's keys writes in place of its lease.
	static Put takenRow(InstanceId lost, InstanceId taker) {
		return row(lost, TAKEN + taker.value());
	}

	private static Put row(InstanceId instance, String text) {
		return new Put(StoredRows.LEASES, instance.value(), text.getBytes(StandardCharsets.UTF_8));
	}

	private static boolean taken(MetadataStore.Row row) {
		return row.value().filter((value) -> new String(value, StandardCharsets.UTF_8).startsWith(TAKEN)).isPresent();
	}

	void step(long now) {
		note(now);
		if (!this.looking && now - this.lookedNanos >= LOOK_EVERY_NANOS) {
			look(now);
		}
		if (this.rowKnown && !this.renewing && now - this.renewedNanos >= this.timing.renewEvery().toNanos()) {
			renew(now);
		}
	}

	private void note(long now) {
		boolean holds = this.lease.remainingNanos(now) > 0;
		if (holds != this.held) {
			this.held = holds;
			this.log.record(holds ? MeshEvent.LEASE_HELD : MeshEvent.LEASE_LOST, "row_version", this.lease.rowVersion(),
					"left_ms", Duration.ofNanos(this.lease.remainingNanos(now)).toMillis());
		}
	}

	private void look(long now) {
		this.looking = true;
		this.lookedNanos = now;
		this.store.read(StoredRows.LEASES).whenComplete((rows, ex) -> {
			this.looking = false;
			this.health.answered(StoredRows.LEASES, ex);
			if (ex == null) {
				looked(rows);
			}
		});
	}

	private void looked(MetadataStore.Rows rows) {
		Map<InstanceId, Long> versions = rows.rows()
			.stream()
			.collect(Collectors.toMap((row) -> new InstanceId(row.key()), MetadataStore.Row::version));
		Set<InstanceId> taken = rows.rows()
			.stream()
			.filter(LeaseRenewal::taken)
			.map((row) -> new InstanceId(row.key()))
			.collect(Collectors.toSet());
		this.watch.look(versions, taken, this.clock.getAsLong());
		long own = versions.getOrDefault(this.self, 0L);
		if (!this.rowKnown || own > this.lease.rowVersion()) {
			this.lease.overtaken(own);
			this.rowKnown = true;
			readMap();
		}
	}

	// Read after the lease row, so that whoever took the lease away has written the map
	// before.
	private void readMap() {
		this.mapTrusted = false;
		this.store.read(StoredRows.MESH).whenComplete((rows, ex) -> {
			this.health.answered(StoredRows.MESH, ex);
			if (ex == null) {
				this.directory.take(rows, true);
				this.mapTrusted = true;
				this.mapRead.run();
			}
			else {
				this.reactor.delay(READ_AGAIN, this::readMap);
			}
		});
	}

	private void renew(long now) {
		this.renewing = true;
		this.renewedNanos = now;
		Commit commit = new Commit(List.of(new Expected(StoredRows.LEASES, this.self.value(), this.lease.rowVersion())),
				List.of(row(this.self, this.service.value())));
		this.store.commit(commit).whenResult((result) -> {
			this.renewing = false;
			renewed(now, result);
		});
	}

	private void renewed(long sentNanos, CommitResult result) {
		switch (result) {
			case CommitResult.Done(long version) -> {
				this.lease.renewed(sentNanos, version);
				note(this.clock.getAsLong());
			}
			case CommitResult.Conflict ignored -> overtaken();
			case CommitResult.Refused(String reason) -> failed(reason);
			case CommitResult.Unknown(String reason) -> failed(reason);
		}
	}

	// Taken away, or a renewal whose answer was lost took effect: the row says which, and
	// nothing is granted until then.
	private void overtaken() {
		this.lease.overtaken(this.lease.rowVersion());
		this.rowKnown = false;
		this.mapTrusted = false;
		long now = this.clock.getAsLong();
		note(now);
		look(now);
	}

	private void failed(String reason) {
		this.health.answered(StoredRows.LEASES, new MetadataStore.StoreFailedException(reason));
		this.renewedNanos = this.clock.getAsLong() - this.timing.renewEvery().toNanos() + RENEW_AGAIN.toNanos();
	}

}
