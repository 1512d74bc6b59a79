package org.brasspier.daemon.internal.mesh;

import java.io.IOException;
import java.time.Duration;
import java.util.Locale;
import java.util.stream.Stream;

import com.codahale.metrics.MetricRegistry;
import io.activej.reactor.nio.NioReactor;
import org.brasspier.core.mesh.RoutingConfig;
import org.brasspier.daemon.internal.http.BackendPool;
import org.brasspier.daemon.internal.http.CallerServer;
import org.brasspier.daemon.internal.operator.MetricsText;
import org.brasspier.daemon.mesh.MeshAdapter;
import org.brasspier.daemon.mesh.MeshSettings;

/**
 * The parts of a daemon of a mesh, joined. Belongs to the thread of requests.
 */
public final class MeshNode {

	/**
	 * How long a leaving daemon takes new connections. The platform asks once a second
	 * whether it takes work and believes the second no, so callers come for up to two
	 * seconds more.
	 */
	private static final Duration OPEN_ON = Duration.ofMillis(2500);

	/**
	 * Other daemons know by then that nothing new is taken, and what they had sent before
	 * has been answered: many round trips between failure domains.
	 */
	private static final Duration TOLD_AFTER = Duration.ofMillis(250);

	private static final Duration LOOK_AGAIN = Duration.ofMillis(20);

	private static final Duration PROCESSOR_TIMES_EVERY = Duration.ofSeconds(10);

	private static final int MAX_ANSWER_BYTES = 64 << 20;

	private final NioReactor reactor;

	private final MeshSettings settings;

	private final MeshAdapter adapter;

	private final MeshLog log;

	private final MetricRegistry metrics = new MetricRegistry();

	private final Directory directory;

	private final ConfigHolder config;

	private final BackendGate gate;

	private final KeyOwnership keys;

	private final BackendCrashes crashes;

	private final MemberWriter member;

	private final MeshEntry entry;

	private final CallerServer callers;

	private final HopServer hops;

	private final BackendRegistration registration;

	private final StoreFollowing following;

	private final ControlPorts ports;

	private final ProcessorTimes processorTimes = new ProcessorTimes();

	private boolean leaving;

	private long leavingSinceNanos;

	/**
	 * Joins the parts; nothing listens yet.
	 * @param reactor the reactor of the thread of requests
	 * @param settings what the daemon knows before it starts
	 * @param adapter how the platform speaks
	 */
	public MeshNode(NioReactor reactor, MeshSettings settings, MeshAdapter adapter) {
		this.reactor = reactor;
		this.settings = settings;
		this.adapter = adapter;
		this.log = new MeshLog(settings.instance(), this.metrics);
		StoreHealth health = new StoreHealth(this.log, this.metrics);
		this.directory = new Directory(this.log);
		this.config = new ConfigHolder(adapter.config(), this.log);
		this.registration = new BackendRegistration(settings.backend(), this.log);
		BootClock clock = new BootClock();
		SharedRows shared = new SharedRows(this.config, this.directory, this.log);
		HopClient hopClient = new HopClient(reactor, shared);
		this.keys = new KeyOwnership(reactor, settings, this.registration, this.directory, adapter.store(),
				adapter.grants(), hopClient, this.config, clock::nanos, health, this.log);
		this.registration.setGrantSource((beat, now) -> this.keys.grantAnswer(beat));
		LagTimer lag = new LagTimer(reactor);
		BackendPool pool = new BackendPool(reactor, settings.backend().address(), MAX_ANSWER_BYTES);
		this.crashes = new BackendCrashes(reactor, settings.instance(), this.registration, pool, this.directory,
				hopClient, adapter.store(), health, this.log);
		this.gate = new BackendGate(reactor, settings, this.registration, pool, adapter.backends(), this.config,
				this.keys, this.crashes, this.log);
		this.keys.setCapacitySource(this.gate::lookupsPerSecond);
		this.member = new MemberWriter(reactor, settings, this.registration, this.directory, adapter.store(), health);
		Dispatcher dispatcher = new Dispatcher(settings, this.directory, this.config, this.gate,
				new HopClient(reactor, shared), this.crashes, this.log);
		this.entry = new MeshEntry(adapter.callers(), this.config, dispatcher, lag, this.log, this.metrics);
		this.callers = new CallerServer(reactor, settings.listen().callers(), this.entry,
				() -> this.config.get().limits());
		this.following = new StoreFollowing(reactor, settings, adapter, this.config, this.directory, hopClient, shared,
				health, this.log);
		this.hops = new HopServer(reactor, settings.listen().peers(), this.gate, this.keys, shared,
				this.following.followers(), this.crashes, this.log);
		new MeshGauges(this.metrics).gate(this.gate, this.registration)
			.keys(this.keys)
			.known(this.config, this.directory)
			.process(lag);
		this.ports = new ControlPorts(reactor, this.log);
		this.directory.addRowsListener(this::takeOwnRow);
	}

	// What an earlier process of this instance acknowledged binds this one as well.
	private void takeOwnRow() {
		this.directory.member(this.settings.instance())
			.filter((own) -> !own.ready())
			.flatMap(Member::incarnation)
			.ifPresent(this.registration::restoreDeparture);
	}

	/**
	 * Opens all ports and begins to follow the store.
	 * @throws IOException if a port can't be opened
	 */
	public void start() throws IOException {
		this.ports.heartbeats(this.settings.listen().backend(), this.adapter.heartbeats(), this.registration);
		this.ports.readiness(this.settings.listen().readiness(), this.adapter.readinessPath(), this::ready);
		this.ports.metrics(this.settings.listen(), new MetricsText(this.metrics)::text);
		this.hops.listen();
		this.callers.listen();
		this.following.start();
		this.member.start();
		this.crashes.start();
		this.keys.start();
		this.log.record(MeshEvent.STARTED, "service", this.settings.backend().service(), "failure_domain",
				this.settings.failureDomain());
		recordProcessorTimesLater();
	}

	private void recordProcessorTimesLater() {
		this.reactor.delay(PROCESSOR_TIMES_EVERY, () -> {
			recordProcessorTimes();
			recordProcessorTimesLater();
		});
	}

	private void recordProcessorTimes() {
		this.log.record(MeshEvent.PROCESSOR_TIMES,
				this.processorTimes.read()
					.entrySet()
					.stream()
					.flatMap((time) -> Stream.of(time.getKey().name().toLowerCase(Locale.ROOT) + "_ms",
							time.getValue().toMillis()))
					.toArray());
	}

	private boolean ready() {
		RoutingConfig inForce = this.config.get();
		return !this.leaving && inForce.isKnown() && this.directory.isLoaded();
	}

	/**
	 * Logs that the settings were read again.
	 * @param outcome what came of it
	 */
	public void onSettingsReloaded(String outcome) {
		this.log.record(MeshEvent.RELOADED, "outcome", outcome);
	}

	/**
	 * Sends callers and other daemons elsewhere, answers what is asked for until nothing
	 * is left, and then says so.
	 * @param ended called once nothing is in flight any more
	 */
	public void stop(Runnable ended) {
		this.leaving = true;
		this.leavingSinceNanos = System.nanoTime();
		this.log.record(MeshEvent.STOPPING, "open", this.entry.openRequests(), "gate", this.gate.load());
		this.callers.leave();
		this.hops.leave();
		this.reactor.delay(OPEN_ON, () -> {
			this.callers.refuseNew();
			this.gate.stop();
			this.hops.stop();
			whenIdle(ended);
		});
	}

	private void whenIdle(Runnable ended) {
		boolean closed = this.callers.closeIdle();
		boolean told = System.nanoTime() - this.leavingSinceNanos >= OPEN_ON.plus(TOLD_AFTER).toNanos();
		long left = this.settings.bounds().stopTimeout().toNanos() - (System.nanoTime() - this.leavingSinceNanos);
		if (closed && told && this.gate.idle() || left <= 0) {
			recordProcessorTimes();
			this.log.record(MeshEvent.STOPPED, "open", this.entry.openRequests(), "gate", this.gate.load());
			this.ports.close();
			this.hops.close();
			// A listening port stays open until the loop has looked for events once more;
			// told sooner, a daemon that starts in this one's place finds it in use.
			this.reactor.delay(LOOK_AGAIN, ended::run);
			return;
		}
		this.reactor.delay(LOOK_AGAIN, () -> whenIdle(ended));
	}

}
