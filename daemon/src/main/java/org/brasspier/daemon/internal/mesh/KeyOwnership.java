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
import org.brasspier.daemon.internal.http.ServerConnections;
import org.brasspier.daemon.mesh.GrantProtocol;
import org.brasspier.daemon.mesh.Heartbeat;
import org.brasspier.daemon.mesh.MeshSettings;
import org.brasspier.daemon.mesh.MetadataStore;

/**
 * Ensures that the backend server on this instance holds the keys that the store assigns
 * to it for as long as this instance's lease is valid, and that all keys of a sharded
 * service have a holder. Any instance of the service may plan changes; normally the one
 * with the lowest name does. If two plan at once, the store's preconditions let one of
 * them win. Not thread-safe; confined to the request thread.
 */
final class KeyOwnership {

	private static final Duration STEP_INTERVAL = Duration.ofMillis(250);

	private final NioReactor reactor;

	private final InstanceId self;

	private final ServiceName service;

	private final BackendRegistration registration;

	private final Directory directory;

	private final LongSupplier clock;

	private final Supplier<RoutingConfig> config;

	private final GrantTracker grantTracker;

	private final LeaseReader leaseReader;

	private final LeaseRenewal lease;

	private final KeyMapWriter writer;

	private final GrantDelivery delivery;

	private final GrantSender grantSender;

	private boolean stepPosted;

	private boolean predecessorFencesRecorded;

	private final LoadReports loads;

	private final KeyPlanning planning;

	KeyOwnership(NioReactor reactor, MeshSettings settings, BackendRegistration registration,
			ServerConnections connections, Directory directory, MetadataStore store, GrantProtocol grants,
			HopClient hops, Supplier<RoutingConfig> config, LongSupplier clock, StoreHealth health, MeshLog log) {
		this.reactor = reactor;
		this.self = settings.instance();
		this.service = settings.backend().service();
		this.registration = registration;
		this.directory = directory;
		this.config = config;
		this.clock = clock;
		long now = clock.getAsLong();
		LeaseTiming timing = LeaseTiming.DEFAULT.withMaxHold(settings.bounds().maxHold());
		this.grantTracker = new GrantTracker(this.self, timing, now);
		this.leaseReader = new LeaseReader(settings, directory, store, hops, health);
		this.lease = new LeaseRenewal(reactor, settings, directory, store, this.leaseReader, hops, health, log, clock,
				timing, this::step);
		this.writer = new KeyMapWriter(reactor, this.self, this.service, directory, store, hops, health, log, clock,
				this::step);
		this.delivery = settings.backend().grants();
		this.grantSender = new GrantSender(reactor, this.self, settings.backend().address(), grants, registration,
				connections, this.grantTracker, clock, log, this::step);
		this.loads = new LoadReports(this.self, directory, hops, now);
		this.planning = new KeyPlanning(settings, registration, directory, this.lease, this.writer, this.loads,
				this::handover, this::needsNewFence, now);
		registration.addListener(this::step);
		directory.addKeysListener(this::scheduleStep);
	}

	// Sets the source of the number of requests per second that the backend server can
	// run.
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
		this.reactor.delayBackground(STEP_INTERVAL, () -> {
			start();
			step();
		});
	}

	// Keys leave an evacuated failure domain, and return to one that is in use again.
	void onEvacuationsChanged() {
		scheduleStep();
	}

	// Runs one step for all changes of one iteration of the event loop.
	private void scheduleStep() {
		if (!this.stepPosted) {
			this.stepPosted = true;
			this.reactor.post(() -> {
				this.stepPosted = false;
				step();
			});
		}
	}

	// The operators' configuration of the service takes precedence over the settings of
	// this process.
	private GrantDelivery delivery() {
		return this.config.get().service(this.service).flatMap(ServiceRule::grants).orElse(this.delivery);
	}

	// Answers to heartbeats reach their sender only, under whatever fence.
	private boolean needsNewFence(KeyHolding held) {
		return switch (delivery()) {
			case GrantDelivery.ByCall ignored -> this.grantSender.needsNewFence(held);
			case GrantDelivery.InHeartbeats ignored -> false;
		};
	}

	private boolean isSharded() {
		return this.config.get().service(this.service).filter((rule) -> rule.sharded()).isPresent();
	}

	/**
	 * Returns whether the backend server may run a request for a key now.
	 * @param key the key
	 * @return true if the backend server holds the key
	 */
	boolean usable(int key) {
		Optional<BackendIncarnation> incarnation = this.registration.incarnation();
		Optional<KeyMap> map = this.directory.keys(this.service);
		return incarnation.isPresent() && map.isPresent()
				&& this.grantTracker.usable(key, map.get().holding(key), incarnation.get(), this.clock.getAsLong());
	}

	/**
	 * Returns whether a key is assigned to the current process of the backend server,
	 * whether or not the server holds it yet or still.
	 * @param key the key
	 * @return true if the known key map names it as the holder
	 */
	boolean isAssigned(int key) {
		Optional<KeyHolding> held = this.directory.keys(this.service).map((map) -> map.holding(key));
		return held.filter((holding) -> holding.holder().equals(this.self))
			.map(KeyHolding::incarnation)
			.equals(this.registration.incarnation());
	}

	/**
	 * Returns whether a key is to move to another holder.
	 * @param key the key
	 * @return true if the known key map names a next holder of the key
	 */
	boolean isMoving(int key) {
		return this.directory.keys(this.service).filter((map) -> map.holding(key).nextHolder().isPresent()).isPresent();
	}

	/**
	 * Counts a request for a key as load.
	 * @param key the key
	 */
	void recordRequest(int key) {
		this.loads.recordRequest(key);
	}

	Optional<GrantAnswer> grantAnswer(Heartbeat heartbeat) {
		return switch (delivery()) {
			case GrantDelivery.InHeartbeats ignored -> answerWithGrants(heartbeat);
			case GrantDelivery.ByCall ignored -> Optional.empty();
		};
	}

	private Optional<GrantAnswer> answerWithGrants(Heartbeat heartbeat) {
		Optional<KeyMap> map = this.directory.keys(this.service);
		if (!isSharded() || map.isEmpty() || !this.lease.mapTrusted()) {
			return Optional.empty();
		}
		long now = this.clock.getAsLong();
		this.grantSender.recordSentBelow(map.get().nextFence());
		Optional<GrantAnswer> answer = this.grantTracker.answerHeartbeat(map.get(), heartbeat.holds(),
				this.lease.remainingNanos(now), now);
		if (map.get().heldBy(this.self).stream().anyMatch((held) -> held.nextHolder().isPresent())) {
			this.reactor.post(this::step);
		}
		return answer;
	}

	private void step() {
		if (!isSharded() || this.registration.incarnation().isEmpty() || !this.directory.isLoaded()) {
			return;
		}
		long now = this.clock.getAsLong();
		recordPredecessorFences();
		this.lease.step(monitoredInstances(), !this.registration.isDead(), now);
		sendGrants(now);
		if (!this.writer.isWriting() && this.lease.rowKnown()) {
			this.planning.step(now);
		}
	}

	// Grants that a previous process of this daemon has sent are in the first map that
	// this process reads after its own lease row.
	private void recordPredecessorFences() {
		if (!this.predecessorFencesRecorded && this.lease.mapTrusted()) {
			this.predecessorFencesRecorded = true;
			this.directory.keys(this.service).map(KeyMap::nextFence).ifPresent(this.grantSender::recordSentBelow);
		}
	}

	private void sendGrants(long now) {
		switch (delivery()) {
			case GrantDelivery.ByCall ignored when this.lease.mapTrusted() -> this.directory.keys(this.service)
				.ifPresent((map) -> this.grantSender.sendDue(map, this.registration.incarnation().orElseThrow(),
						this.lease.remainingNanos(now)));
			case GrantDelivery.ByCall ignored -> {
				// The known map may be stale: another instance may hold the keys that it
				// assigns to this one.
			}
			case GrantDelivery.InHeartbeats ignored -> {
				// Grants are sent in the answer to the next heartbeat.
			}
		}
	}

	// Returns the instances that hold keys and those that may be assigned some.
	private Set<InstanceId> monitoredInstances() {
		Stream<InstanceId> holders = this.directory.keys(this.service)
			.stream()
			.flatMap((map) -> map.holdings().stream())
			.map(KeyHolding::holder);
		Stream<InstanceId> unlisted = this.directory.serving(this.service)
			.stream()
			.map(Member::instance)
			.filter((instance) -> !this.lease.hasRow(instance));
		return Stream.concat(holders, unlisted)
			.filter((instance) -> !instance.equals(this.self))
			.collect(Collectors.toSet());
	}

	/**
	 * Answers a holder that requests the promise not to take over its keys.
	 * @param request the request
	 * @return the answer
	 */
	HopMessage.PromiseResponse promise(HopMessage.PromiseRequest request) {
		return this.lease.promise(request, this.planning.canTakeOver());
	}

	/**
	 * Answers another instance that requests the lease rows.
	 * @param request the request
	 * @return the answer; the promise never fails
	 */
	Promise<HopMessage> leaseRows(HopMessage.LeasesRequest request) {
		return this.leaseReader.answer(request);
	}

	/**
	 * Handles the notification that a holder grants no keys any more.
	 * @param release the notification
	 */
	void onPromiseReleased(HopMessage.PromiseRelease release) {
		this.lease.onPromiseReleased(release);
		step();
	}

	// A dead backend server holds no keys, whatever was granted to it.
	private Optional<String> handover(KeyHolding held, long now) {
		if (this.registration.isDead()) {
			return Optional.of("");
		}
		return this.grantSender.isGrantPending(held.span()) ? Optional.empty() : this.grantTracker.released(held, now);
	}

	/**
	 * Handles the load report of another holder.
	 * @param load the load of the holder
	 */
	void onLoadReport(HolderLoad load) {
		this.loads.onLoadReport(load, this.clock.getAsLong());
	}

}
