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
 * What the store shows of the leases. Daemons of a service ask the one of them with the
 * lowest name, which has to look anyway; only where it does not answer they read the
 * table themselves. What is shown may be somewhat old: whoever acts on it names the
 * versions that it saw, and a renewal since then makes its write fail. Belongs to the
 * thread of requests.
 */
final class LeaseReader {

	private final InstanceId self;

	private final ServiceName service;

	private final Directory directory;

	private final MetadataStore store;

	private final HopClient hops;

	private final StoreHealth health;

	private Optional<MetadataStore.Rows> latest = Optional.empty();

	private long latestNanos;

	@Nullable private Promise<MetadataStore.Rows> reading;

	LeaseReader(MeshSettings settings, Directory directory, MetadataStore store, HopClient hops, StoreHealth health) {
		this.self = settings.instance();
		this.service = settings.backend().service();
		this.directory = directory;
		this.store = store;
		this.hops = hops;
		this.health = health;
	}

	/**
	 * Looks at the leases, through another daemon where that can be.
	 * @param oldest how old the answer may be
	 * @return the rows; fails with a {@link MetadataStore.StoreFailedException} if the
	 * store did not answer
	 */
	Promise<MetadataStore.Rows> readShared(Duration oldest) {
		Optional<Member> reader = reader();
		if (reader.isEmpty()) {
			return read(oldest);
		}
		return this.hops.requestLeases(reader.get(), oldest)
			.then((answer) -> answer.flatMap(HopMessage.LeasesResponse::rows)
				.map((rows) -> Promise.of(new MetadataStore.Rows(rows, 0)))
				.orElseGet(() -> read(oldest)));
	}

	// Empty if this daemon is the one to read.
	private Optional<Member> reader() {
		long now = System.nanoTime();
		return this.directory.serving(this.service)
			.stream()
			.filter((member) -> member.instance().equals(this.self)
					|| (member.passesRows() && !this.hops.shouldAvoid(member.instance(), now)))
			.min(Comparator.comparing(Member::instance))
			.filter((member) -> !member.instance().equals(this.self));
	}

	/**
	 * Reads the leases from the store, unless that was done lately. Calls that come while
	 * it is under way share its answer.
	 * @param oldest how old the answer may be
	 * @return the rows; fails with a {@link MetadataStore.StoreFailedException} if the
	 * store did not answer
	 */
	Promise<MetadataStore.Rows> read(Duration oldest) {
		if (this.latest.isPresent() && System.nanoTime() - this.latestNanos < oldest.toNanos()) {
			return Promise.of(this.latest.get());
		}
		Promise<MetadataStore.Rows> under = this.reading;
		if (under != null) {
			return under;
		}
		long asked = System.nanoTime();
		Promise<MetadataStore.Rows> answer = this.store.read(StoredRows.LEASES);
		this.reading = answer;
		return answer.whenComplete((rows, ex) -> {
			this.reading = null;
			this.health.recordCall(StoredRows.LEASES, ex);
			if (ex == null) {
				this.latest = Optional.of(rows);
				this.latestNanos = asked;
			}
		});
	}

	/**
	 * Answers another daemon that looks.
	 * @param asked its question
	 * @return the answer; never fails
	 */
	Promise<HopMessage> answer(HopMessage.LeasesRequest asked) {
		return read(Duration.ofMillis(asked.maxAgeMillis()))
			.then((rows, ex) -> Promise.of(new HopMessage.LeasesResponse(asked.exchange(),
					Optional.ofNullable(rows).map(MetadataStore.Rows::rows))));
	}

}
