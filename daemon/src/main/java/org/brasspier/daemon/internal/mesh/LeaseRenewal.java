package org.brasspier.daemon.internal.mesh;

import java.security.SecureRandom;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;

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
 * Renews this instance's lease in the store and monitors the leases of the others. After
 * the lease was taken over by another instance, the key map may be stale without any sign
 * of it, so it is not trusted until it was read again. Not thread-safe; confined to the
 * request thread.
 */
final class LeaseRenewal {

	/**
	 * Interval for reading the lease rows while all leases are renewed. Equal to the
	 * renewal interval.
	 */
	private static final long READ_INTERVAL_NANOS = Duration.ofSeconds(2).toNanos();

	/**
	 * Interval for reading the lease rows while a lease is suspect. The keys of a lost
	 * instance wait for the end of its lease and up to two of these reads. With an
	 * interval of 2 s they were once unserved for 13.7 s instead of 10 s.
	 */
	private static final long SUSPECT_READ_INTERVAL_NANOS = Duration.ofMillis(500).toNanos();

	/**
	 * Maximum age of lease rows, as a share of the interval between reads. One daemon's
	 * read then serves all daemons that read within that time, and a renewal is noticed
	 * after one and a half intervals at most.
	 */
	private static final double MAX_AGE_RATIO = 0.75;

	/**
	 * Delay before a failed renewal is sent again. A lost answer shortens the lease by a
	 * renewal.
	 */
	private static final Duration RENEWAL_RETRY_DELAY = Duration.ofMillis(500);

	/**
	 * Delay before a failed read of the key map is repeated. Nothing is granted until it
	 * succeeds.
	 */
	private static final Duration MAP_RETRY_DELAY = Duration.ofMillis(250);

	private final NioReactor reactor;

	private final InstanceId self;

	private final ServiceName service;

	private final Directory directory;

	private final MetadataStore store;

	private final LeaseReader leaseReader;

	private final StoreHealth health;

	private final MeshLog log;

	private final LongSupplier clock;

	private final Runnable mapRead;

	private final LeaseTiming timing;

	private final OwnLease lease;

	private final PromiseTracker promises;

	private final Deputy ownProcess;

	private final LeaseMonitor monitor;

	private final DeputySelector deputies;

	private Optional<Deputy> loggedDeputy = Optional.empty();

	private boolean renewing;

	private long newestIgnoredVersion;

	private boolean readingRows;

	private boolean rowKnown;

	private boolean loggedHeld;

	private boolean mapTrusted;

	private long lastRenewalNanos;

	private long lastReadNanos;

	LeaseRenewal(NioReactor reactor, MeshSettings settings, Directory directory, MetadataStore store,
			LeaseReader leaseReader, HopClient hops, StoreHealth health, MeshLog log, LongSupplier clock,
			LeaseTiming timing, Runnable mapRead) {
		this.reactor = reactor;
		this.self = settings.instance();
		this.service = settings.backend().service();
		this.directory = directory;
		this.store = store;
		this.leaseReader = leaseReader;
		this.health = health;
		this.log = log;
		this.clock = clock;
		this.timing = timing;
		this.mapRead = mapRead;
		this.lease = new OwnLease(timing);
		this.promises = new PromiseTracker(timing);
		this.ownProcess = new Deputy(this.self, processNumber(clock));
		this.monitor = new LeaseMonitor(timing, this.ownProcess, this.promises);
		this.deputies = new DeputySelector(settings, directory, hops, this.lease, clock, this.ownProcess.process());
		long now = clock.getAsLong();
		this.lastRenewalNanos = now - timing.lease().toNanos();
		this.lastReadNanos = now - READ_INTERVAL_NANOS;
	}

	// No two processes of an instance may have the same number, or one would answer for
	// the promises of the other. The clock is mixed in because machines that start from
	// the same image may draw the same random numbers.
	private static long processNumber(LongSupplier clock) {
		return new SecureRandom().nextLong() ^ clock.getAsLong();
	}

	// Returns whether the row of the own lease was read, so that preconditions can name
	// its version.
	boolean rowKnown() {
		return this.rowKnown;
	}

	boolean mapTrusted() {
		return this.mapTrusted;
	}

	long remainingNanos(long now) {
		return this.lease.remainingNanos(now);
	}

	// Returns whether an instance renews its lease, as far as the known rows show. Only
	// such an instance may be assigned keys and may plan.
	boolean isRenewing(InstanceId instance, long now) {
		if (instance.equals(this.self)) {
			return this.lease.nanosSinceRenewal(now) <= this.timing.renewalInterval().toNanos() * 2
					+ RENEWAL_RETRY_DELAY.toNanos();
		}
		return this.monitor.isRenewing(instance, this.deputies.isEligible(instance, now), now);
	}

	// Returns whether an instance has a lease row, as of the last read.
	boolean hasRow(InstanceId instance) {
		return this.monitor.hasRow(instance);
	}

	boolean inGrace(long now) {
		return this.monitor.inGracePeriod(now);
	}

	// Returns the version of another instance's lease row, as of the last read.
	Optional<Long> versionOf(InstanceId instance) {
		return this.monitor.rowVersion(instance);
	}

	// Returns the row version at which another instance's lease ended; empty if it has
	// not ended.
	Optional<Long> endedRowVersion(InstanceId instance, long now) {
		return this.monitor.endedRowVersion(instance, now);
	}

	// Returns the write that replaces the lease row of an instance whose keys are taken
	// over.
	static Put takeoverPut(InstanceId lost, InstanceId newHolder) {
		return new Put(StoredRows.LEASES, lost.value(), StoredRows.leaseTakenBy(newHolder));
	}

	/**
	 * Answers a holder that requests the promise not to take over its keys.
	 * @param request the request
	 * @param canTakeOver whether this instance could take over keys
	 * @return the answer
	 */
	HopMessage.PromiseResponse promise(HopMessage.PromiseRequest request, boolean canTakeOver) {
		boolean promised = this.promises.promise(request.holder(), request.rowVersion(), request.mark(),
				this.clock.getAsLong());
		return new HopMessage.PromiseResponse(request.exchange(), this.ownProcess.process(), promised, canTakeOver);
	}

	void onPromiseReleased(HopMessage.PromiseRelease release) {
		this.promises.release(release.holder(), release.mark());
	}

	// Must be called before the write that takes over keys is sent.
	void recordTakeoverAttempt(Map<InstanceId, Long> lost) {
		lost.forEach(this.promises::recordTakeoverAttempt);
	}

	/**
	 * Reads the lease rows, requests promises and renews the own lease, each if it is
	 * due.
	 * @param holders instances whose leases are monitored
	 * @param granting whether there is a backend server that can be granted keys
	 * @param now current time, nanoseconds of the lease clock
	 */
	void step(Set<InstanceId> holders, boolean granting, long now) {
		logHeldChange(now);
		long readInterval = this.monitor.anySuspect(holders, now) ? SUSPECT_READ_INTERVAL_NANOS : READ_INTERVAL_NANOS;
		if (!this.readingRows && now - this.lastReadNanos >= readInterval) {
			readRows(now, readInterval);
		}
		if (!this.rowKnown) {
			return;
		}
		if (!granting) {
			relinquish(now);
			return;
		}
		long sinceRenewed = now - this.lastRenewalNanos;
		boolean overdue = this.lease.nanosSinceRenewal(now) > 2 * this.timing.renewalInterval().toNanos();
		this.deputies.step(overdue || this.monitor.inGracePeriod(now), now);
		boolean change = sinceRenewed >= RENEWAL_RETRY_DELAY.toNanos() && this.deputies.replacementNeeded(now);
		if (!this.renewing && (change || sinceRenewed >= this.timing.renewalInterval().toNanos())) {
			renew(now);
		}
	}

	// Gives up the lease, since the backend server is dead and this daemon may stop with
	// it while the store is unavailable. The deputy can then take over the keys as soon
	// as the store is available again. Without this notification, it waited until its
	// last promise ended, 4 s longer.
	private void relinquish(long now) {
		if (this.lease.remainingNanos(now) > 0) {
			this.lease.relinquish(now);
			this.deputies.releasePromise();
			logHeldChange(now);
		}
	}

	private void logHeldChange(long now) {
		boolean holds = this.lease.remainingNanos(now) > 0;
		if (holds != this.loggedHeld) {
			this.loggedHeld = holds;
			this.log.record(holds ? MeshEvent.LEASE_HELD : MeshEvent.LEASE_LOST, "row_version", this.lease.rowVersion(),
					"left_ms", Duration.ofNanos(this.lease.remainingNanos(now)).toMillis());
		}
	}

	// Only a read of the store itself can tell the version of the own row while that is
	// unknown; rows from another daemon may be older than the last write.
	private void readRows(long now, long readInterval) {
		this.readingRows = true;
		this.lastReadNanos = now;
		Promise<MetadataStore.Rows> read = this.rowKnown
				? this.leaseReader.readShared(Duration.ofNanos((long) (readInterval * MAX_AGE_RATIO)))
				: this.leaseReader.read(Duration.ZERO);
		read.whenComplete((rows, ex) -> {
			this.readingRows = false;
			if (ex == null) {
				onRowsRead(rows);
			}
		});
	}

	private void onRowsRead(MetadataStore.Rows rows) {
		Map<InstanceId, LeaseRow> leases = new HashMap<>();
		rows.rows()
			.forEach((row) -> StoredRows.leaseInstance(row.key())
				.peek((instance) -> leases.put(instance, row(row)))
				.peekLeft((failure) -> logIgnored(row, failure)));
		this.monitor.onRowsRead(leases, this.clock.getAsLong());
		long own = Optional.ofNullable(leases.get(this.self)).map(LeaseRow::version).orElse(0L);
		if (!this.rowKnown || own > this.lease.rowVersion()) {
			this.lease.onRowChanged(own);
			this.rowKnown = true;
			readMap();
		}
	}

	// The table is read again and again, and an unreadable row stays in it.
	private void logIgnored(MetadataStore.Row row, Failure failure) {
		if (row.version() > this.newestIgnoredVersion) {
			this.newestIgnoredVersion = row.version();
			this.log.record(MeshEvent.ROW_IGNORED, "key", row.key(), "version", row.version(), "reason",
					failure.detail());
		}
	}

	// A row that can't be parsed still counts with its version.
	private LeaseRow row(MetadataStore.Row row) {
		Either<Failure, LeaseRow> read = StoredRows.lease(row.version(), row.value().orElseGet(() -> new byte[0]));
		if (read.isLeft()) {
			this.log.record(MeshEvent.LEASE_DEPUTY, "holder", row.key(), "unreadable", read.getLeft().detail());
		}
		return read.getOrElse(LeaseRow.of(row.version(), Optional.empty()));
	}

	// Reads the key map after the lease row, so that the map contains the changes of an
	// instance that took over the lease.
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
				this.reactor.delay(MAP_RETRY_DELAY, this::readMap);
			}
		});
	}

	private void renew(long now) {
		this.renewing = true;
		this.lastRenewalNanos = now;
		Optional<Deputy> deputy = this.deputies.select(now);
		this.lease.onRenewalStarted(deputy);
		Commit commit = new Commit(
				List.of(new Precondition(StoredRows.LEASES, this.self.value(), this.lease.rowVersion())),
				List.of(new Put(StoredRows.LEASES, this.self.value(), StoredRows.lease(this.service, deputy))));
		this.store.commit(commit).whenResult((result) -> {
			this.renewing = false;
			onRenewalResult(now, deputy, result);
		});
	}

	private void onRenewalResult(long sentNanos, Optional<Deputy> deputy, CommitResult result) {
		switch (result) {
			case CommitResult.Done(long version) -> {
				this.lease.onRenewed(sentNanos, version, deputy);
				logDeputyChange(deputy);
				logHeldChange(this.clock.getAsLong());
			}
			case CommitResult.Conflict ignored -> onConflict();
			case CommitResult.Refused(String reason) -> onRenewalFailed(reason);
			case CommitResult.Unknown(String reason) -> onRenewalFailed(reason);
		}
	}

	private void logDeputyChange(Optional<Deputy> deputy) {
		if (!deputy.equals(this.loggedDeputy)) {
			this.loggedDeputy = deputy;
			this.log.record(MeshEvent.LEASE_DEPUTY, "deputy",
					deputy.map((each) -> each.instance().value()).orElse("none"), "row_version",
					this.lease.rowVersion());
		}
	}

	// Either another instance took over the lease, or an earlier renewal was applied
	// although its answer was lost. The row tells which; nothing is granted until it was
	// read.
	private void onConflict() {
		this.lease.onRowChanged(this.lease.rowVersion());
		this.rowKnown = false;
		this.mapTrusted = false;
		long now = this.clock.getAsLong();
		logHeldChange(now);
		readRows(now, READ_INTERVAL_NANOS);
	}

	private void onRenewalFailed(String reason) {
		this.health.recordCall(StoredRows.LEASES, new MetadataStore.StoreFailedException(reason));
		this.lastRenewalNanos = this.clock.getAsLong() - this.timing.renewalInterval().toNanos()
				+ RENEWAL_RETRY_DELAY.toNanos();
	}

}
