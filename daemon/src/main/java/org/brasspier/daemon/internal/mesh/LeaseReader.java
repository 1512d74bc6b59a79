package org.brasspier.daemon.internal.mesh;

import java.time.Duration;
import java.util.Comparator;
import java.util.Optional;

import io.activej.promise.Promise;
import org.brasspier.core.InstanceId;
import org.brasspier.core.ServiceName;
import org.brasspier.daemon.mesh.MeshSettings;
import org.brasspier.daemon.mesh.MetadataStore;
import org.jspecify.annotations.Nullable;

/**
 * Reads the lease rows. The daemons of a service request them from the daemon with the
 * lowest name, which reads them anyway, and read the table themselves only if that one
 * does not answer. The rows may be slightly stale. A write that is based on them names
 * the row versions as preconditions, so it fails if a lease was renewed since. Not
 * thread-safe; confined to the request thread.
 */
final class LeaseReader {

	private final InstanceId self;

	private final ServiceName service;

	private final Directory directory;

	private final MetadataStore store;

	private final HopClient hops;

	private final StoreHealth health;

	private Optional<MetadataStore.Rows> cachedRows = Optional.empty();

	private long cachedNanos;

	@Nullable private Promise<MetadataStore.Rows> pendingRead;

	LeaseReader(MeshSettings settings, Directory directory, MetadataStore store, HopClient hops, StoreHealth health) {
		this.self = settings.instance();
		this.service = settings.backend().service();
		this.directory = directory;
		this.store = store;
		this.hops = hops;
		this.health = health;
	}

	/**
	 * Reads the lease rows, through another daemon if possible.
	 * @param maxAge maximum age of the rows
	 * @return the rows; fails with a {@link MetadataStore.StoreFailedException} if the
	 * store did not answer
	 */
	Promise<MetadataStore.Rows> readShared(Duration maxAge) {
		Optional<Member> reader = readerToAsk();
		if (reader.isEmpty()) {
			return read(maxAge);
		}
		return this.hops.requestLeases(reader.get(), maxAge)
			.then((answer) -> answer.flatMap(HopMessage.LeasesResponse::rows)
				.map((rows) -> Promise.of(new MetadataStore.Rows(rows, 0)))
				.orElseGet(() -> read(maxAge)));
	}

	// Returns the daemon to ask; empty if this daemon has to read the store itself.
	private Optional<Member> readerToAsk() {
		long now = System.nanoTime();
		return this.directory.serving(this.service)
			.stream()
			.filter((member) -> member.instance().equals(this.self)
					|| (member.passesRows() && !this.hops.shouldAvoid(member.instance(), now)))
			.min(Comparator.comparing(Member::instance))
			.filter((member) -> !member.instance().equals(this.self));
	}

	/**
	 * Reads the lease rows from the store, or returns the cached rows if they are recent
	 * enough. Calls during a read share its result.
	 * @param maxAge maximum age of the rows
	 * @return the rows; fails with a {@link MetadataStore.StoreFailedException} if the
	 * store did not answer
	 */
	Promise<MetadataStore.Rows> read(Duration maxAge) {
		if (this.cachedRows.isPresent() && System.nanoTime() - this.cachedNanos < maxAge.toNanos()) {
			return Promise.of(this.cachedRows.get());
		}
		Promise<MetadataStore.Rows> pending = this.pendingRead;
		if (pending != null) {
			return pending;
		}
		long requestedNanos = System.nanoTime();
		Promise<MetadataStore.Rows> answer = this.store.read(StoredRows.LEASES);
		this.pendingRead = answer;
		return answer.whenComplete((rows, ex) -> {
			this.pendingRead = null;
			this.health.recordCall(StoredRows.LEASES, ex);
			if (ex == null) {
				this.cachedRows = Optional.of(rows);
				this.cachedNanos = requestedNanos;
			}
		});
	}

	/**
	 * Answers the request of another daemon.
	 * @param request the request
	 * @return the answer; the promise never fails
	 */
	Promise<HopMessage> answer(HopMessage.LeasesRequest request) {
		return read(Duration.ofMillis(request.maxAgeMillis()))
			.then((rows, ex) -> Promise.of(new HopMessage.LeasesResponse(request.exchange(),
					Optional.ofNullable(rows).map(MetadataStore.Rows::rows))));
	}

}
