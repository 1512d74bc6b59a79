package org.brasspier.daemon.internal.mesh;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.stream.Collectors;

import io.activej.reactor.nio.NioReactor;
import org.brasspier.core.InstanceId;
import org.brasspier.core.ServiceName;
import org.brasspier.core.keys.BackendLife;
import org.brasspier.core.keys.GrantAnswer;
import org.brasspier.core.keys.GrantBook;
import org.brasspier.core.keys.HolderLoad;
import org.brasspier.core.keys.KeyBalance;
import org.brasspier.core.keys.KeyHolder;
import org.brasspier.core.keys.KeyHolding;
import org.brasspier.core.keys.KeyMap;
import org.brasspier.core.keys.KeyMeter;
import org.brasspier.core.keys.KeyPlanner;
import org.brasspier.core.keys.KeySpan;
import org.brasspier.core.keys.LeaseTiming;
import org.brasspier.core.keys.LeaseWatch;
import org.brasspier.core.keys.OwnLease;
import org.brasspier.core.mesh.RoutingConfig;
import org.brasspier.daemon.mesh.Heartbeat;
import org.brasspier.daemon.mesh.MeshSettings;
import org.brasspier.daemon.mesh.MetadataStore;
import org.brasspier.daemon.mesh.MetadataStore.Commit;
import org.brasspier.daemon.mesh.MetadataStore.CommitResult;
import org.brasspier.daemon.mesh.MetadataStore.Expected;
import org.brasspier.daemon.mesh.MetadataStore.Put;

/**
 * Sees to it that the backend server beside this daemon holds the keys that the store
 * says are its own, as long as this instance's lease goes on, and that keys of a service
 * divided by key always find a holder. Any instance of the service may plan; the one with
 * the lowest name does, and the store's conditions settle who wins if two do. Belongs to
 * the thread of requests.
 */
final class KeyKeeper {

	private static final Duration STEP = Duration.ofMillis(250);

	private static final long LOOK_EVERY_NANOS = Duration.ofSeconds(2).toNanos();

	/**
	 * The first dealing waits until no holder has come for so long: instances start
	 * within a fraction of a second of each other, and their backend servers announce
	 * themselves within a second or two.
	 */
	private static final long SETTLED_NANOS = Duration.ofSeconds(2).toNanos();

	/**
	 * A backend server that was silent for so long gives its keys up. Longer than a hold,
	 * since one that crashed is often back within five seconds and then goes on with its
	 * own keys, and a move costs more than the wait.
	 */
	private static final long SILENT_NANOS = Duration.ofSeconds(6).toNanos();

	private static final long REPORT_EVERY_NANOS = Duration.ofSeconds(1).toNanos();

	/** Two reports and the way of the second. */
	private static final long FRESH_NANOS = Duration.ofMillis(2500).toNanos();

	/**
	 * After a move loads are counted anew before the next one is planned: half of what
	 * the meter remembers is then from after the move.
	 */
	private static final long REST_NANOS = Duration.ofSeconds(2).toNanos();

	private final NioReactor reactor;

	private final InstanceId self;

	private final ServiceName service;

	private final BackendDesk desk;

	private final Directory directory;

	private final MetadataStore store;

	private final StoreHealth health;

	private final MeshLog log;

	private final LongSupplier clock;

	private final Supplier<RoutingConfig> config;

	private final LeaseTiming timing = LeaseTiming.DEFAULT;

	private final OwnLease lease = new OwnLease(this.timing);

	private final LeaseWatch watch = new LeaseWatch(this.timing);

	private final GrantBook book;

	private boolean committing;

	private boolean renewing;

	private boolean looking;

	private boolean rowKnown;

	private boolean leaseHeld;

	// After the lease was taken away the map may be out of date, though nothing says so.
	private boolean mapTrusted;

	private long renewedNanos;

	private long lookedNanos;

	private Set<InstanceId> latestHolders = Set.of();

	private long holdersSinceNanos;

	private Map<InstanceId, Long> rowVersions = Map.of();

	private final KeyMeter meter;

	private final HopClient hops;

	private DoubleSupplier capacity = () -> 1;

	private final Map<InstanceId, Reported> loads = new HashMap<>();

	private long reportedNanos;

	private long movedNanos;

	KeyKeeper(NioReactor reactor, MeshSettings settings, BackendDesk desk, Directory directory, MetadataStore store,
			HopClient hops, Supplier<RoutingConfig> config, LongSupplier clock, StoreHealth health, MeshLog log) {
		this.reactor = reactor;
		this.self = settings.instance();
		this.service = settings.backend().service();
		this.desk = desk;
		this.directory = directory;
		this.store = store;
		this.hops = hops;
		this.config = config;
		this.clock = clock;
		this.health = health;
		this.log = log;
		long now = clock.getAsLong();
		this.book = new GrantBook(this.self, this.timing, now);
		this.renewedNanos = now - this.timing.lease().toNanos();
		this.lookedNanos = now - LOOK_EVERY_NANOS;
		this.holdersSinceNanos = now;
		this.meter = new KeyMeter(now);
		this.reportedNanos = now;
		this.movedNanos = now;
		desk.listen(this::step);
	}

	// How many requests a second the backend server can run.
	void capacityFrom(DoubleSupplier source) {
		this.capacity = source;
	}

	void start() {
		this.reactor.delayBackground(STEP, () -> {
			step();
			start();
		});
	}

	private boolean byKey() {
		return this.config.get().service(this.service).filter((rule) -> rule.byKey()).isPresent();
	}

	/**
	 * Whether the backend server may be given a request for a key now.
	 * @param key the key
	 * @return true if it holds it
	 */
	boolean usable(int key) {
		Optional<BackendLife> life = this.desk.life();
		Optional<KeyMap> map = this.directory.keys(this.service);
		return life.isPresent() && map.isPresent()
				&& this.book.usable(key, map.get().holding(key), life.get(), this.clock.getAsLong());
	}

	/**
	 * Counts a request for a key.
	 * @param key the key
	 */
	void asked(int key) {
		this.meter.asked(key);
	}

	Optional<GrantAnswer> answer(Heartbeat beat) {
		Optional<KeyMap> map = this.directory.keys(this.service);
		if (!byKey() || map.isEmpty() || !this.mapTrusted) {
			return Optional.empty();
		}
		long now = this.clock.getAsLong();
		Optional<GrantAnswer> answer = this.book.answer(map.get(), beat.holds(), this.lease.remainingNanos(now), now);
		if (map.get().of(this.self).stream().anyMatch((held) -> held.next().isPresent())) {
			this.reactor.post(this::step);
		}
		return answer;
	}

	private void step() {
		if (!byKey() || this.desk.life().isEmpty() || !this.directory.known()) {
			return;
		}
		long now = this.clock.getAsLong();
		noteLease(now);
		if (!this.looking && now - this.lookedNanos >= LOOK_EVERY_NANOS) {
			look(now);
		}
		if (this.rowKnown && !this.renewing && now - this.renewedNanos >= this.timing.renewEvery().toNanos()) {
			renew(now);
		}
		if (!this.committing && this.rowKnown) {
			plan(now);
		}
	}

	private void noteLease(long now) {
		boolean holds = this.lease.remainingNanos(now) > 0;
		if (holds != this.leaseHeld) {
			this.leaseHeld = holds;
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
		this.rowVersions = rows.rows()
			.stream()
			.collect(Collectors.toMap((row) -> new InstanceId(row.key()), MetadataStore.Row::version));
		this.watch.look(this.rowVersions, this.clock.getAsLong());
		long own = this.rowVersions.getOrDefault(this.self, 0L);
		if (!this.rowKnown || own > this.lease.rowVersion()) {
			this.lease.overtaken(own);
			this.rowKnown = true;
			refreshMap();
		}
	}

	// Read after the lease row, so that whoever took the lease away has written the map
	// before.
	private void refreshMap() {
		this.mapTrusted = false;
		this.store.read(StoredRows.MESH).whenComplete((rows, ex) -> {
			this.health.answered(StoredRows.MESH, ex);
			if (ex == null) {
				this.directory.take(rows, true);
				this.mapTrusted = true;
				step();
			}
			else {
				this.reactor.delay(STEP, this::refreshMap);
			}
		});
	}

	private void renew(long now) {
		this.renewing = true;
		this.renewedNanos = now;
		Commit commit = new Commit(List.of(new Expected(StoredRows.LEASES, this.self.value(), this.lease.rowVersion())),
				List.of(leaseRow(this.self, this.service.value())));
		this.store.commit(commit).whenResult((result) -> {
			this.renewing = false;
			renewed(now, result);
		});
	}

	private static Put leaseRow(InstanceId instance, String text) {
		return new Put(StoredRows.LEASES, instance.value(), text.getBytes(StandardCharsets.UTF_8));
	}

	private void renewed(long sentNanos, CommitResult result) {
		switch (result) {
			case CommitResult.Done(long version) -> {
				this.lease.renewed(sentNanos, version);
				noteLease(this.clock.getAsLong());
			}
			case CommitResult.Conflict ignored -> {
				// Taken away, or a renewal whose answer was lost took effect: the row
				// says which, and nothing is granted until then.
				this.lease.overtaken(this.lease.rowVersion());
				this.rowKnown = false;
				this.mapTrusted = false;
				noteLease(this.clock.getAsLong());
				look(this.clock.getAsLong());
			}
			case CommitResult.Refused(String reason) -> storeFailed(reason);
			case CommitResult.Unknown(String reason) -> storeFailed(reason);
		}
	}

	private void storeFailed(String reason) {
		this.health.answered(StoredRows.LEASES, new MetadataStore.StoreFailedException(reason));
		// Soon again: an answer that was lost leaves the lease a renewal shorter.
		this.renewedNanos = this.clock.getAsLong() - this.timing.renewEvery().toNanos() + STEP.toNanos() * 2;
	}

	private List<KeyHolder> holders(long now) {
		return this.directory.serving(this.service)
			.stream()
			.filter((member) -> member.life().isPresent())
			.filter((member) -> member.instance().equals(this.self) ? this.desk.ready() && !silent()
					: this.watch.live(member.instance(), now))
			.map(KeyKeeper::holder)
			.sorted((one, other) -> one.instance().compareTo(other.instance()))
			.toList();
	}

	private static KeyHolder holder(Member member) {
		return new KeyHolder(member.instance(), member.life().orElseThrow());
	}

	private boolean silent() {
		return this.desk.silentNanos(System.nanoTime()) > SILENT_NANOS;
	}

	private void plan(long now) {
		List<KeyHolder> holders = holders(now);
		Set<InstanceId> names = holders.stream().map(KeyHolder::instance).collect(Collectors.toSet());
		if (!names.equals(this.latestHolders)) {
			this.latestHolders = names;
			this.holdersSinceNanos = now;
		}
		Optional<KeyMap> map = this.directory.keys(this.service);
		map.ifPresent((known) -> report(known, holders, now));
		boolean leads = !holders.isEmpty() && holders.get(0).instance().equals(this.self);
		boolean settled = now - this.holdersSinceNanos >= SETTLED_NANOS;
		if (map.isEmpty()) {
			if (leads && settled) {
				commit(KeyMap.first(holders), List.of(), "first");
			}
			return;
		}
		if (this.mapTrusted && planOwn(map.get(), holders, now)) {
			return;
		}
		if (leads) {
			planAll(map.get(), holders, settled, now);
		}
	}

	// What only this instance may do: it knows what its backend server holds.
	private boolean planOwn(KeyMap map, List<KeyHolder> holders, long now) {
		Optional<KeyMap> renewedLife = this.desk.ready()
				? KeyPlanner.withLife(map, new KeyHolder(this.self, this.desk.life().orElseThrow())) : Optional.empty();
		if (renewedLife.isPresent()) {
			commit(renewedLife.get(), List.of(), "new life");
			return true;
		}
		Optional<KeyMap> handedOver = handedOver(map, holders, now);
		if (handedOver.isPresent()) {
			commit(handedOver.get(), List.of(), "handed over");
			return true;
		}
		if (!this.desk.ready() || silent()) {
			List<KeyHolder> others = holders.stream().filter((each) -> !each.instance().equals(this.self)).toList();
			Optional<KeyMap> leaving = KeyPlanner.withoutLeaving(map, Set.of(this.self), others);
			leaving.ifPresent((planned) -> commit(planned, List.of(), "leaving"));
			return leaving.isPresent();
		}
		return false;
	}

	private Optional<KeyMap> handedOver(KeyMap map, List<KeyHolder> holders, long now) {
		Map<InstanceId, KeyHolder> able = holders.stream()
			.collect(Collectors.toMap(KeyHolder::instance, (holder) -> holder));
		Map<KeyHolding, String> released = new HashMap<>();
		map.of(this.self)
			.stream()
			.filter((held) -> held.next().filter(able::containsKey).isPresent())
			.forEach((held) -> this.book.released(held, now).ifPresent((token) -> released.put(held, token)));
		if (released.isEmpty()) {
			return Optional.empty();
		}
		return Optional.of(map.moved(released::containsKey, (held) -> able.get(held.next().orElseThrow()),
				(held) -> released.getOrDefault(held, "")));
	}

	/**
	 * Takes what another holder is asked for.
	 * @param load its load
	 */
	void reported(HolderLoad load) {
		this.loads.put(load.instance(), new Reported(load, this.clock.getAsLong()));
	}

	// Once a second each holder tells the one that plans what it is asked for.
	private void report(KeyMap map, List<KeyHolder> holders, long now) {
		if (now - this.reportedNanos < REPORT_EVERY_NANOS) {
			return;
		}
		this.reportedNanos = now;
		this.meter.tick(now);
		List<KeySpan> spans = map.of(this.self).stream().map(KeyHolding::span).toList();
		HolderLoad own = new HolderLoad(this.self, this.capacity.getAsDouble(), this.meter.pieces(spans));
		reported(own);
		holders.stream()
			.map(KeyHolder::instance)
			.findFirst()
			.filter((leader) -> !leader.equals(this.self))
			.flatMap(this.directory::member)
			.ifPresent((leader) -> this.hops.tell(leader, new HopMessage.Load(own)));
	}

	private Optional<KeyMap> balanced(KeyMap map, List<KeyHolder> holders, long now) {
		boolean moving = map.holdings().stream().anyMatch((held) -> held.next().isPresent());
		if (moving || now - this.movedNanos < REST_NANOS) {
			return Optional.empty();
		}
		List<HolderLoad> fresh = holders.stream()
			.map((holder) -> this.loads.get(holder.instance()))
			.filter((reported) -> reported != null && now - reported.sinceNanos < FRESH_NANOS)
			.map((reported) -> reported.load)
			.toList();
		return (fresh.size() == holders.size()) ? KeyBalance.plan(map, fresh) : Optional.empty();
	}

	private void planAll(KeyMap map, List<KeyHolder> holders, boolean settled, long now) {
		Map<InstanceId, Long> lost = new HashMap<>();
		map.holdings()
			.stream()
			.map(KeyHolding::owner)
			.distinct()
			.filter((owner) -> !owner.equals(this.self))
			.forEach((owner) -> this.watch.ended(owner, now).ifPresent((version) -> lost.put(owner, version)));
		Optional<KeyMap> withoutLost = KeyPlanner.withoutLost(map, lost.keySet(), holders);
		if (withoutLost.isPresent()) {
			commit(withoutLost.get(), taken(lost), "lost " + lost.keySet());
			return;
		}
		Set<InstanceId> none = new HashSet<>();
		Optional<KeyMap> retargeted = KeyPlanner.withoutLeaving(map, none, holders);
		if (retargeted.isPresent()) {
			commit(retargeted.get(), List.of(), "other targets");
			return;
		}
		Optional<KeyMap> evened = settled ? KeyPlanner.evened(map, holders) : Optional.empty();
		if (evened.isPresent()) {
			commit(evened.get(), List.of(), "evened");
			return;
		}
		balanced(map, holders, now).ifPresent((planned) -> commit(planned, List.of(), "balanced"));
	}

	// Writing the lease rows of those whose keys are taken makes their next renewals
	// fail, so that none of them goes on with what it held.
	private static List<Taken> taken(Map<InstanceId, Long> lost) {
		return lost.entrySet().stream().map((entry) -> new Taken(entry.getKey(), entry.getValue())).toList();
	}

	private void commit(KeyMap planned, List<Taken> taken, String why) {
		KeyMap map = planned.joined();
		this.committing = true;
		this.movedNanos = this.clock.getAsLong();
		String key = StoredRows.KEYS_PREFIX + this.service.value();
		List<Expected> expected = new ArrayList<>();
		List<Put> puts = new ArrayList<>();
		expected.add(new Expected(StoredRows.MESH, key, this.directory.keysVersion(this.service)));
		puts.add(new Put(StoredRows.MESH, key, StoredRows.keys(map)));
		taken.forEach((each) -> {
			expected.add(new Expected(StoredRows.LEASES, each.instance.value(), each.version));
			puts.add(leaseRow(each.instance, "taken by " + this.self.value()));
		});
		this.store.commit(new Commit(expected, puts)).whenResult((result) -> {
			this.committing = false;
			committed(map, why, result);
		});
	}

	private void committed(KeyMap map, String why, CommitResult result) {
		switch (result) {
			case CommitResult.Done(long version) -> {
				this.directory.learnt(this.service, map, version);
				this.log.record(MeshEvent.KEYS_MOVED, "service", this.service, "why", why, "version", version,
						"next_fence", map.nextFence(), "own", map.of(this.self).size());
				step();
			}
			case CommitResult.Conflict ignored -> refreshAfterConflict(why);
			case CommitResult.Refused(String reason) -> commitFailed(reason);
			case CommitResult.Unknown(String reason) -> commitFailed(reason);
		}
	}

	private void commitFailed(String reason) {
		this.health.answered(StoredRows.MESH, new MetadataStore.StoreFailedException(reason));
		this.committing = true;
		this.reactor.delay(STEP, () -> this.committing = false);
	}

	private void refreshAfterConflict(String why) {
		this.committing = true;
		this.store.read(StoredRows.MESH).whenComplete((rows, ex) -> {
			this.committing = false;
			this.health.answered(StoredRows.MESH, ex);
			if (ex == null) {
				this.directory.take(rows, true);
				this.log.record(MeshEvent.KEYS_MOVED, "service", this.service, "why", why, "outcome", "overtaken");
			}
		});
	}

	private record Reported(HolderLoad load, long sinceNanos) {
	}

	private record Taken(InstanceId instance, long version) {
	}

}
