package org.brasspier.daemon.internal.mesh;

import java.security.SecureRandom;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;

import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import io.vavr.control.Either;
import org.brasspier.core.Failure;
import org.brasspier.core.InstanceId;
import org.brasspier.core.ServiceName;
import org.brasspier.core.keys.Deputy;
import org.brasspier.core.keys.LeaseMonitor;
import org.brasspier.core.keys.LeaseRow;
import org.brasspier.core.keys.LeaseTiming;
import org.brasspier.core.keys.OwnLease;
import org.brasspier.core.keys.PromiseTracker;
import org.brasspier.daemon.mesh.MeshSettings;
import org.brasspier.daemon.mesh.MetadataStore;
import org.brasspier.daemon.mesh.MetadataStore.Commit;
import org.brasspier.daemon.mesh.MetadataStore.CommitResult;
import org.brasspier.daemon.mesh.MetadataStore.Precondition;
import org.brasspier.daemon.mesh.MetadataStore.Put;

/**
 * Renews this instance's lease in the store and watches those of the others. After the
 * lease was taken away the map of keys may be out of date though nothing says so, so it
 * isn't trusted until it was read again. Belongs to the thread of requests.
 */
final class LeaseRenewal {

	/**
	 * How often leases are looked at while all are renewed: as often as that is due.
	 */
	private static final long LOOK_EVERY_NANOS = Duration.ofSeconds(2).toNanos();

	/**
	 * A lost instance's keys wait for the end of its lease and up to two looks: with two
	 * seconds they were once unserved for 13.7 s, not 10.
	 */
	private static final long LOOK_CLOSELY_NANOS = Duration.ofMillis(500).toNanos();

	/**
	 * How old a look may be, as a share of the time between two: then one daemon's serves
	 * all that look in turn, and no renewal is overlooked for longer than a look and a
	 * half.
	 */
	private static final double OLDEST_SHARE = 0.75;

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

	private final LeaseReader looks;

	private final StoreHealth health;

	private final MeshLog log;

	private final LongSupplier clock;

	private final Runnable mapRead;

	private final LeaseTiming timing;

	private final OwnLease lease;

	private final PromiseTracker promises;

	private final Deputy process;

	private final LeaseMonitor watch;

	private final DeputySelector deputies;

	private Optional<Deputy> named = Optional.empty();

	private boolean renewing;

	private boolean looking;

	private boolean rowKnown;

	private boolean held;

	private boolean mapTrusted;

	private long renewedNanos;

	private long lookedNanos;

	LeaseRenewal(NioReactor reactor, MeshSettings settings, Directory directory, MetadataStore store, LeaseReader looks,
			HopClient hops, StoreHealth health, MeshLog log, LongSupplier clock, LeaseTiming timing, Runnable mapRead) {
		this.reactor = reactor;
		this.self = settings.instance();
		this.service = settings.backend().service();
		this.directory = directory;
		this.store = store;
		this.looks = looks;
		this.health = health;
		this.log = log;
		this.clock = clock;
		this.timing = timing;
		this.mapRead = mapRead;
		this.lease = new OwnLease(timing);
		this.promises = new PromiseTracker(timing);
		this.process = new Deputy(this.self, processNumber(clock));
		this.watch = new LeaseMonitor(timing, this.process, this.promises);
		this.deputies = new DeputySelector(settings, directory, hops, this.lease, clock);
		long now = clock.getAsLong();
		this.renewedNanos = now - timing.lease().toNanos();
		this.lookedNanos = now - LOOK_EVERY_NANOS;
	}

	// No two processes of an instance may have the same, or one would answer for what the
	// other promised. The clock sees to that where machines start from one image and draw
	// the same numbers.
	private static long processNumber(LongSupplier clock) {
		return new SecureRandom().nextLong() ^ clock.getAsLong();
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

	// Whether an instance may be given keys and may plan, as far as the store shows.
	boolean isRenewing(InstanceId instance, long now) {
		if (instance.equals(this.self)) {
			return this.lease.nanosSinceRenewal(now) <= this.timing.renewalInterval().toNanos() * 2
					+ RENEW_AGAIN.toNanos();
		}
		return this.watch.isRenewing(instance, this.deputies.isEligible(instance, now), now);
	}

	// Whether an instance has a lease's row, as far as was looked.
	boolean hasRow(InstanceId instance) {
		return this.watch.hasRow(instance);
	}

	boolean inGrace(long now) {
		return this.watch.inGracePeriod(now);
	}

	// The version of another instance's lease, as far as was looked.
	Optional<Long> versionOf(InstanceId instance) {
		return this.watch.rowVersion(instance);
	}

	// The version at which another instance's lease ended, if it did.
	Optional<Long> endedRowVersion(InstanceId instance, long now) {
		return this.watch.endedRowVersion(instance, now);
	}

	// What whoever takes an instance's keys writes in place of its lease.
	static Put takeoverPut(InstanceId lost, InstanceId taker) {
		return new Put(StoredRows.LEASES, lost.value(), StoredRows.leaseTakenBy(taker));
	}

	/**
	 * Answers a holder that asks this instance to leave its keys alone.
	 * @param asked what it asks
	 * @param able whether this instance could take keys
	 * @return the answer
	 */
	HopMessage.PromiseResponse promise(HopMessage.PromiseRequest asked, boolean able) {
		boolean promised = this.promises.promise(asked.holder(), asked.rowVersion(), this.clock.getAsLong());
		return new HopMessage.PromiseResponse(asked.exchange(), this.process.process(), promised, able);
	}

	void onPromiseReleased(InstanceId holder) {
		this.promises.release(holder);
	}

	// Called before the write that takes keys is sent.
	void recordTakeoverAttempt(Map<InstanceId, Long> lost) {
		lost.forEach(this.promises::recordTakeoverAttempt);
	}

	/**
	 * Looks at leases, asks for promises and renews, if it is time.
	 * @param holders whose leases matter
	 * @param granting whether there is a backend server that could be granted anything
	 * @param now the time
	 */
	void step(Set<InstanceId> holders, boolean granting, long now) {
		note(now);
		long lookEvery = this.watch.anySuspect(holders, now) ? LOOK_CLOSELY_NANOS : LOOK_EVERY_NANOS;
		if (!this.looking && now - this.lookedNanos >= lookEvery) {
			look(now, lookEvery);
		}
		if (!this.rowKnown) {
			return;
		}
		if (!granting) {
			giveUp(now);
			return;
		}
		this.deputies.step(now);
		long sinceRenewed = now - this.renewedNanos;
		boolean change = sinceRenewed >= RENEW_AGAIN.toNanos() && this.deputies.replacementNeeded(now);
		if (!this.renewing && (change || sinceRenewed >= this.timing.renewalInterval().toNanos())) {
			renew(now);
		}
	}

	// The backend server is dead, and this daemon may end with it while the store is
	// away.
	// The deputy then takes the keys as the store returns; without being told it waited
	// for the last promise's end, four seconds more.
	private void giveUp(long now) {
		if (this.lease.remainingNanos(now) > 0) {
			this.lease.relinquish(now);
			this.deputies.releasePromise();
			note(now);
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

	// What the own row's version is only the store can say, after it was written last.
	private void look(long now, long every) {
		this.looking = true;
		this.lookedNanos = now;
		Promise<MetadataStore.Rows> shown = this.rowKnown
				? this.looks.readShared(Duration.ofNanos((long) (every * OLDEST_SHARE)))
				: this.looks.read(Duration.ZERO);
		shown.whenComplete((rows, ex) -> {
			this.looking = false;
			if (ex == null) {
				looked(rows);
			}
		});
	}

	private void looked(MetadataStore.Rows rows) {
		Map<InstanceId, LeaseRow> leases = rows.rows()
			.stream()
			.collect(Collectors.toMap((row) -> new InstanceId(row.key()), this::row));
		this.watch.onRowsRead(leases, this.clock.getAsLong());
		long own = Optional.ofNullable(leases.get(this.self)).map(LeaseRow::version).orElse(0L);
		if (!this.rowKnown || own > this.lease.rowVersion()) {
			this.lease.onRowChanged(own);
			this.rowKnown = true;
			readMap();
		}
	}

	// A row that can't be read still counts by its version.
	private LeaseRow row(MetadataStore.Row row) {
		Either<Failure, LeaseRow> read = StoredRows.lease(row.version(), row.value().orElseGet(() -> new byte[0]));
		if (read.isLeft()) {
			this.log.record(MeshEvent.LEASE_DEPUTY, "holder", row.key(), "unreadable", read.getLeft().detail());
		}
		return read.getOrElse(LeaseRow.of(row.version(), Optional.empty()));
	}

	// Read after the lease row, so that whoever took the lease away has written the map
	// before.
	private void readMap() {
		this.mapTrusted = false;
		this.store.read(StoredRows.MESH).whenComplete((rows, ex) -> {
			this.health.recordCall(StoredRows.MESH, ex);
			if (ex == null) {
				this.directory.apply(rows, true);
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
		Optional<Deputy> deputy = this.deputies.select(now);
		this.lease.onRenewalStarted(deputy);
		Commit commit = new Commit(
				List.of(new Precondition(StoredRows.LEASES, this.self.value(), this.lease.rowVersion())),
				List.of(new Put(StoredRows.LEASES, this.self.value(), StoredRows.lease(this.service, deputy))));
		this.store.commit(commit).whenResult((result) -> {
			this.renewing = false;
			renewed(now, deputy, result);
		});
	}

	private void renewed(long sentNanos, Optional<Deputy> deputy, CommitResult result) {
		switch (result) {
			case CommitResult.Done(long version) -> {
				this.lease.onRenewed(sentNanos, version, deputy);
				noteDeputy(deputy);
				note(this.clock.getAsLong());
			}
			case CommitResult.Conflict ignored -> overtaken();
			case CommitResult.Refused(String reason) -> failed(reason);
			case CommitResult.Unknown(String reason) -> failed(reason);
		}
	}

	private void noteDeputy(Optional<Deputy> deputy) {
		if (!deputy.equals(this.named)) {
			this.named = deputy;
			this.log.record(MeshEvent.LEASE_DEPUTY, "deputy",
					deputy.map((each) -> each.instance().value()).orElse("none"), "row_version",
					this.lease.rowVersion());
		}
	}

	// Taken away, or a renewal whose answer was lost took effect: the row says which, and
	// nothing is granted until then.
	private void overtaken() {
		this.lease.onRowChanged(this.lease.rowVersion());
		this.rowKnown = false;
		this.mapTrusted = false;
		long now = this.clock.getAsLong();
		note(now);
		look(now, LOOK_EVERY_NANOS);
	}

	private void failed(String reason) {
		this.health.recordCall(StoredRows.LEASES, new MetadataStore.StoreFailedException(reason));
		this.renewedNanos = this.clock.getAsLong() - this.timing.renewalInterval().toNanos() + RENEW_AGAIN.toNanos();
	}

}
