package org.brasspier.daemon.internal.mesh;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import io.activej.reactor.nio.NioReactor;
import org.brasspier.core.InstanceId;
import org.brasspier.core.ServiceName;
import org.brasspier.core.keys.BackendLife;
import org.brasspier.core.keys.GrantAnswer;
import org.brasspier.core.keys.GrantBook;
import org.brasspier.core.keys.GrantDelivery;
import org.brasspier.core.keys.HolderLoad;
import org.brasspier.core.keys.KeyBalance;
import org.brasspier.core.keys.KeyHolder;
import org.brasspier.core.keys.KeyHolding;
import org.brasspier.core.keys.KeyMap;
import org.brasspier.core.keys.KeyPlanner;
import org.brasspier.core.keys.LeaseTiming;
import org.brasspier.core.mesh.RoutingConfig;
import org.brasspier.core.mesh.ServiceRule;
import org.brasspier.daemon.mesh.GrantProtocol;
import org.brasspier.daemon.mesh.Heartbeat;
import org.brasspier.daemon.mesh.MeshSettings;
import org.brasspier.daemon.mesh.MetadataStore;

/**
 * Sees to it that the backend server beside this daemon holds the keys that the store
 * says are its own, as long as this instance's lease goes on, and that keys of a service
 * divided by key always find a holder. Any instance of the service may plan; the one with
 * the lowest name does, and the store's conditions settle who wins if two do. Belongs to
 * the thread of requests.
 */
final class KeyOwnership {

	private static final Duration STEP = Duration.ofMillis(250);

	/**
	 * The first dealing waits until no holder has come for so long: instances start
	 * within a fraction of a second of each other, and their backend servers announce
	 * themselves within a second or two.
	 */
	private static final long SETTLED_NANOS = Duration.ofSeconds(2).toNanos();

	/**
	 * A backend server that was silent for so long gives its keys up: as long as a hold,
	 * since nothing holds them after that.
	 */
	private static final long SILENT_NANOS = Duration.ofSeconds(4).toNanos();

	/**
	 * After a move loads are counted anew before the next one is planned: half of what
	 * the meter remembers is then from after the move.
	 */
	private static final long REST_NANOS = Duration.ofSeconds(1).toNanos();

	private final NioReactor reactor;

	private final InstanceId self;

	private final ServiceName service;

	private final BackendRegistration registration;

	private final Directory directory;

	private final LongSupplier clock;

	private final Supplier<RoutingConfig> config;

	private final GrantBook book;

	private final LeaseRenewal lease;

	private final KeyMapWriter writer;

	private final GrantDelivery delivery;

	private final GrantSender sender;

	private boolean stepPosted;

	private final LoadReports loads;

	private Set<InstanceId> latestHolders = Set.of();

	private long holdersSinceNanos;

	KeyOwnership(NioReactor reactor, MeshSettings settings, BackendRegistration registration, Directory directory,
			MetadataStore store, GrantProtocol grants, HopClient hops, Supplier<RoutingConfig> config,
			LongSupplier clock, StoreHealth health, MeshLog log) {
		this.reactor = reactor;
		this.self = settings.instance();
		this.service = settings.backend().service();
		this.registration = registration;
		this.directory = directory;
		this.config = config;
		this.clock = clock;
		long now = clock.getAsLong();
		LeaseTiming timing = LeaseTiming.DEFAULT.holdingAtMost(settings.bounds().maxHold());
		this.book = new GrantBook(this.self, timing, now);
		this.lease = new LeaseRenewal(reactor, settings, directory, store, hops, health, log, clock, timing,
				this::step);
		this.writer = new KeyMapWriter(reactor, this.self, this.service, directory, store, hops, health, log, clock,
				this::step);
		this.delivery = settings.backend().grants();
		this.sender = new GrantSender(reactor, settings.backend().address(), grants, registration, this.book, clock,
				log, this::step);
		this.loads = new LoadReports(this.self, directory, hops, now);
		this.holdersSinceNanos = now;
		registration.listen(this::step);
		directory.listen(this::stepSoon);
	}

	// How many requests a second the backend server can run.
	void capacityFrom(DoubleSupplier source) {
		this.loads.capacityFrom(source);
	}

	long leaseMillisLeft() {
		return Duration.ofNanos(this.lease.remainingNanos(this.clock.getAsLong())).toMillis();
	}

	int spansHeld() {
		return this.directory.keys(this.service).map((map) -> map.of(this.self).size()).orElse(0);
	}

	void start() {
		this.reactor.delayBackground(STEP, () -> {
			step();
			start();
		});
	}

	// Once for all changes of one turn of the loop.
	private void stepSoon() {
		if (!this.stepPosted) {
			this.stepPosted = true;
			this.reactor.post(() -> {
				this.stepPosted = false;
				step();
			});
		}
	}

	// The operators' word for the service goes before the settings of this process.
	private GrantDelivery delivery() {
		return this.config.get().service(this.service).flatMap(ServiceRule::grants).orElse(this.delivery);
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
		Optional<BackendLife> life = this.registration.life();
		Optional<KeyMap> map = this.directory.keys(this.service);
		return life.isPresent() && map.isPresent()
				&& this.book.usable(key, map.get().holding(key), life.get(), this.clock.getAsLong());
	}

	/**
	 * Whether a key is to go to another holder.
	 * @param key the key
	 * @return true if so, as far as is known
	 */
	boolean leaving(int key) {
		return this.directory.keys(this.service).filter((map) -> map.holding(key).next().isPresent()).isPresent();
	}

	/**
	 * Counts a request for a key.
	 * @param key the key
	 */
	void asked(int key) {
		this.loads.asked(key);
	}

	Optional<GrantAnswer> answer(Heartbeat beat) {
		return switch (delivery()) {
			case GrantDelivery.InHeartbeats ignored -> answerWithGrants(beat);
			case GrantDelivery.ByCall ignored -> Optional.empty();
		};
	}

	private Optional<GrantAnswer> answerWithGrants(Heartbeat beat) {
		Optional<KeyMap> map = this.directory.keys(this.service);
		if (!byKey() || map.isEmpty() || !this.lease.mapTrusted()) {
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
		if (!byKey() || this.registration.life().isEmpty() || !this.directory.known()) {
			return;
		}
		long now = this.clock.getAsLong();
		this.lease.step(leasesThatMatter(), !this.registration.dead(), now);
		sendGrants(now);
		if (!this.writer.busy() && this.lease.rowKnown()) {
			plan(now);
		}
	}

	private void sendGrants(long now) {
		switch (delivery()) {
			case GrantDelivery.ByCall ignored when this.lease.mapTrusted() -> this.directory.keys(this.service)
				.ifPresent((map) -> this.sender.step(map, this.registration.life().orElseThrow(),
						this.lease.remainingNanos(now)));
			case GrantDelivery.ByCall ignored -> {
				// Another instance may hold what the known map says is this one's.
			}
			case GrantDelivery.InHeartbeats ignored -> {
				// They go with the answer to the next heartbeat.
			}
		}
	}

	// Of those that have keys, and of those that might be given some.
	private Set<InstanceId> leasesThatMatter() {
		Stream<InstanceId> owners = this.directory.keys(this.service)
			.stream()
			.flatMap((map) -> map.holdings().stream())
			.map(KeyHolding::owner);
		Stream<InstanceId> unlisted = this.directory.serving(this.service)
			.stream()
			.map(Member::instance)
			.filter((instance) -> !this.lease.known(instance));
		return Stream.concat(owners, unlisted)
			.filter((instance) -> !instance.equals(this.self))
			.collect(Collectors.toSet());
	}

	/**
	 * Answers a holder that asks this instance to leave its keys alone.
	 * @param asked what it asks
	 * @return the answer
	 */
	HopMessage.Promised promise(HopMessage.PromiseAsked asked) {
		return this.lease.promise(asked, this.registration.ready() && !silent());
	}

	/**
	 * Takes that a holder grants nothing any more.
	 * @param holder the holder
	 */
	void released(InstanceId holder) {
		this.lease.released(holder);
		step();
	}

	private List<KeyHolder> holders(long now) {
		return this.directory.serving(this.service)
			.stream()
			.filter((member) -> member.life().isPresent())
			.filter((member) -> !member.instance().equals(this.self) || (this.registration.ready() && !silent()))
			.filter((member) -> this.lease.renewing(member.instance(), now))
			.map(KeyOwnership::holder)
			.sorted((one, other) -> one.instance().compareTo(other.instance()))
			.toList();
	}

	private static KeyHolder holder(Member member) {
		return new KeyHolder(member.instance(), member.life().orElseThrow());
	}

	private boolean silent() {
		return this.registration.silentNanos(System.nanoTime()) > SILENT_NANOS || this.registration.dead();
	}

	private void plan(long now) {
		List<KeyHolder> holders = holders(now);
		Set<InstanceId> names = holders.stream().map(KeyHolder::instance).collect(Collectors.toSet());
		if (!names.equals(this.latestHolders)) {
			this.latestHolders = names;
			this.holdersSinceNanos = now;
		}
		Optional<KeyMap> map = this.directory.keys(this.service);
		map.ifPresent((known) -> this.loads.report(known, holders, now));
		boolean leads = !holders.isEmpty() && holders.get(0).instance().equals(this.self);
		boolean settled = now - this.holdersSinceNanos >= SETTLED_NANOS;
		if (map.isEmpty()) {
			if (leads && settled && !this.lease.inGrace(now)) {
				this.writer.write(KeyMap.first(holders), "first");
			}
			return;
		}
		if (this.lease.mapTrusted() && planOwn(map.get(), holders, now)) {
			return;
		}
		if (names.contains(this.self) && planLost(map.get(), holders, now)) {
			return;
		}
		if (leads) {
			planAll(map.get(), holders, settled, now);
		}
	}

	// What only this instance may do: it knows what its backend server holds.
	private boolean planOwn(KeyMap map, List<KeyHolder> holders, long now) {
		Optional<KeyMap> renewedLife = this.registration.ready()
				? KeyPlanner.withLife(map, new KeyHolder(this.self, this.registration.life().orElseThrow()))
				: Optional.empty();
		if (renewedLife.isPresent()) {
			this.writer.write(renewedLife.get(), "new life");
			return true;
		}
		List<KeyHolding> superseded = map.of(this.self).stream().filter(this.sender::needsNewFence).toList();
		if (!superseded.isEmpty()) {
			KeyHolder own = new KeyHolder(this.self, this.registration.life().orElseThrow());
			this.writer.write(map.moved(superseded::contains, (held) -> own, KeyHolding::handover), "new fence");
			return true;
		}
		Optional<KeyMap> handedOver = handedOver(map, holders, now);
		if (handedOver.isPresent()) {
			this.writer.write(handedOver.get(), "handed over");
			return true;
		}
		Optional<KeyMap> retargeted = KeyPlanner.retargeted(map, (held) -> held.owner().equals(this.self), holders);
		if (retargeted.isPresent()) {
			this.writer.write(retargeted.get(), "other targets");
			return true;
		}
		if (!this.registration.ready() || silent()) {
			List<KeyHolder> others = holders.stream().filter((each) -> !each.instance().equals(this.self)).toList();
			Optional<KeyMap> leaving = KeyPlanner.withoutLeaving(map, Set.of(this.self), others);
			leaving.ifPresent((planned) -> this.writer.write(planned, "leaving"));
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
			.forEach((held) -> released(held, now).ifPresent((token) -> released.put(held, token)));
		if (released.isEmpty()) {
			return Optional.empty();
		}
		return Optional.of(map.moved(released::containsKey, (held) -> able.get(held.next().orElseThrow()),
				(held) -> released.getOrDefault(held, "")));
	}

	// A server that is dead holds nothing, whatever it was granted.
	private Optional<String> released(KeyHolding held, long now) {
		if (this.registration.dead()) {
			return Optional.of("");
		}
		return this.sender.granting(held.span()) ? Optional.empty() : this.book.released(held, now);
	}

	/**
	 * Takes what another holder is asked for.
	 * @param load its load
	 */
	void reported(HolderLoad load) {
		this.loads.reported(load, this.clock.getAsLong());
	}

	private Optional<KeyMap> balanced(KeyMap map, List<KeyHolder> holders, long now) {
		boolean moving = map.holdings().stream().anyMatch((held) -> held.next().isPresent());
		if (moving || this.writer.sinceLatestNanos(now) < REST_NANOS) {
			return Optional.empty();
		}
		return KeyBalance.plan(map, this.loads.fresh(holders, now));
	}

	// Whoever sees a lease end takes its keys, not only the one that plans: that one may
	// have come after the loss, and has to watch for a whole lease first. Others have
	// watched all along. The store lets one of them win.
	private boolean planLost(KeyMap map, List<KeyHolder> holders, long now) {
		Map<InstanceId, Long> lost = new HashMap<>();
		map.holdings()
			.stream()
			.map(KeyHolding::owner)
			.distinct()
			.filter((owner) -> !owner.equals(this.self))
			.forEach((owner) -> endedAt(owner, now).ifPresent((version) -> lost.put(owner, version)));
		Optional<KeyMap> withoutLost = KeyPlanner.withoutLost(map, lost.keySet(), holders);
		withoutLost.ifPresent((planned) -> {
			this.lease.attempting(lost);
			this.writer.write(planned, lost, "lost " + lost.keySet());
		});
		return withoutLost.isPresent();
	}

	// Addresses are given away only after the backend server that had them has ended, so
	// there is nobody left who could hold the keys.
	private Optional<Long> endedAt(InstanceId owner, long now) {
		return this.directory.replaced(owner) ? this.lease.versionOf(owner) : this.lease.ended(owner, now);
	}

	private void planAll(KeyMap map, List<KeyHolder> holders, boolean settled, long now) {
		Optional<KeyMap> retargeted = KeyPlanner.retargeted(map, (held) -> true, holders);
		if (retargeted.isPresent()) {
			this.writer.write(retargeted.get(), "other targets");
			return;
		}
		Optional<KeyMap> evened = settled ? KeyPlanner.evened(map, holders) : Optional.empty();
		if (evened.isPresent()) {
			this.writer.write(evened.get(), "evened");
			return;
		}
		balanced(map, holders, now).ifPresent((planned) -> this.writer.write(planned, "balanced"));
	}

}
