package org.brasspier.daemon.internal.mesh;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import org.brasspier.core.InstanceId;
import org.brasspier.core.ServiceName;
import org.brasspier.core.keys.BackendIncarnation;
import org.brasspier.core.keys.GrantAnswer;
import org.brasspier.core.keys.GrantDelivery;
import org.brasspier.core.keys.GrantTracker;
import org.brasspier.core.keys.HolderLoad;
import org.brasspier.core.keys.KeyHolding;
import org.brasspier.core.keys.KeyMap;
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

	private final NioReactor reactor;

	private final InstanceId self;

	private final ServiceName service;

	private final BackendRegistration registration;

	private final Directory directory;

	private final LongSupplier clock;

	private final Supplier<RoutingConfig> config;

	private final GrantTracker book;

	private final LeaseReader looks;

	private final LeaseRenewal lease;

	private final KeyMapWriter writer;

	private final GrantDelivery delivery;

	private final GrantSender sender;

	private boolean stepPosted;

	private final LoadReports loads;

	private final KeyPlanning planning;

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
		LeaseTiming timing = LeaseTiming.DEFAULT.withMaxHold(settings.bounds().maxHold());
		this.book = new GrantTracker(this.self, timing, now);
		this.looks = new LeaseReader(settings, directory, store, hops, health);
		this.lease = new LeaseRenewal(reactor, settings, directory, store, this.looks, hops, health, log, clock, timing,
				this::step);
		this.writer = new KeyMapWriter(reactor, this.self, this.service, directory, store, hops, health, log, clock,
				this::step);
		this.delivery = settings.backend().grants();
		this.sender = new GrantSender(reactor, settings.backend().address(), grants, registration, this.book, clock,
				log, this::step);
		this.loads = new LoadReports(this.self, directory, hops, now);
		this.planning = new KeyPlanning(settings, registration, directory, this.lease, this.writer, this.loads,
				this::handover, this.sender::needsNewFence, now);
		registration.addListener(this::step);
		directory.addKeysListener(this::stepSoon);
	}

	// How many requests a second the backend server can run.
	void setCapacitySource(DoubleSupplier source) {
		this.loads.setCapacitySource(source);
	}

	long leaseMillisLeft() {
		return Duration.ofNanos(this.lease.remainingNanos(this.clock.getAsLong())).toMillis();
	}

	int spansHeld() {
		return this.directory.keys(this.service).map((map) -> map.heldBy(this.self).size()).orElse(0);
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
		return this.config.get().service(this.service).filter((rule) -> rule.sharded()).isPresent();
	}

	/**
	 * Whether the backend server may be given a request for a key now.
	 * @param key the key
	 * @return true if it holds it
	 */
	boolean usable(int key) {
		Optional<BackendIncarnation> life = this.registration.incarnation();
		Optional<KeyMap> map = this.directory.keys(this.service);
		return life.isPresent() && map.isPresent()
				&& this.book.usable(key, map.get().holding(key), life.get(), this.clock.getAsLong());
	}

	/**
	 * Whether a key is to go to another holder.
	 * @param key the key
	 * @return true if so, as far as is known
	 */
	boolean isMoving(int key) {
		return this.directory.keys(this.service).filter((map) -> map.holding(key).nextHolder().isPresent()).isPresent();
	}

	/**
	 * Counts a request for a key.
	 * @param key the key
	 */
	void recordRequest(int key) {
		this.loads.recordRequest(key);
	}

	Optional<GrantAnswer> grantAnswer(Heartbeat beat) {
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
		Optional<GrantAnswer> answer = this.book.answerHeartbeat(map.get(), beat.holds(),
				this.lease.remainingNanos(now), now);
		if (map.get().heldBy(this.self).stream().anyMatch((held) -> held.nextHolder().isPresent())) {
			this.reactor.post(this::step);
		}
		return answer;
	}

	private void step() {
		if (!byKey() || this.registration.incarnation().isEmpty() || !this.directory.isLoaded()) {
			return;
		}
		long now = this.clock.getAsLong();
		this.lease.step(leasesThatMatter(), !this.registration.isDead(), now);
		sendGrants(now);
		if (!this.writer.isWriting() && this.lease.rowKnown()) {
			this.planning.step(now);
		}
	}

	private void sendGrants(long now) {
		switch (delivery()) {
			case GrantDelivery.ByCall ignored when this.lease.mapTrusted() -> this.directory.keys(this.service)
				.ifPresent((map) -> this.sender.sendDue(map, this.registration.incarnation().orElseThrow(),
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
			.map(KeyHolding::holder);
		Stream<InstanceId> unlisted = this.directory.serving(this.service)
			.stream()
			.map(Member::instance)
			.filter((instance) -> !this.lease.hasRow(instance));
		return Stream.concat(owners, unlisted)
			.filter((instance) -> !instance.equals(this.self))
			.collect(Collectors.toSet());
	}

	/**
	 * Answers a holder that asks this instance to leave its keys alone.
	 * @param asked what it asks
	 * @return the answer
	 */
	HopMessage.PromiseResponse promise(HopMessage.PromiseRequest asked) {
		return this.lease.promise(asked, this.planning.canTakeOver());
	}

	/**
	 * Answers another instance that asks what the store shows of the leases.
	 * @param asked its question
	 * @return the answer; never fails
	 */
	Promise<HopMessage> leaseRows(HopMessage.LeasesRequest asked) {
		return this.looks.answer(asked);
	}

	/**
	 * Takes that a holder grants nothing any more.
	 * @param holder the holder
	 */
	void onPromiseReleased(InstanceId holder) {
		this.lease.onPromiseReleased(holder);
		step();
	}

	// A server that is dead holds nothing, whatever it was granted.
	private Optional<String> handover(KeyHolding held, long now) {
		if (this.registration.isDead()) {
			return Optional.of("");
		}
		return this.sender.isGrantPending(held.span()) ? Optional.empty() : this.book.released(held, now);
	}

	/**
	 * Takes what another holder is asked for.
	 * @param load its load
	 */
	void onLoadReport(HolderLoad load) {
		this.loads.onLoadReport(load, this.clock.getAsLong());
	}

}
