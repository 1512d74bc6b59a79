package org.brasspier.core.crash;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

import org.brasspier.core.InstanceId;
import org.brasspier.core.keys.BackendIncarnation;

/**
 * Simulates daemons with a backend server each, and callers that send crashing and
 * harmless requests again and again, in virtual time. Crash state arrives late, twice, in
 * any order or not at all; daemons are cut off from all others for a time, or restart
 * without memory; servers restart under their own or another id.
 */
final class CrashModel {

	static final long MILLI = 1_000_000;

	private static final Duration IN_TOUCH = Duration.ofSeconds(3);

	private static final int SLOTS = 14;

	private final Settings settings;

	private final SplittableRandom random;

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::order));

	private final List<Daemon> daemons = new ArrayList<>();

	private final Map<RequestFingerprint, Culprit> culprits = new HashMap<>();

	private final Map<RequestFingerprint, Long> refusedSince = new HashMap<>();

	private long longestRefusalNanos;

	private long harmlessSent;

	private long harmlessRefused;

	private long now;

	private long order;

	private long crashIds;

	CrashModel(Settings settings, long seed) {
		this.settings = settings;
		this.random = new SplittableRandom(seed);
		IntStream.range(0, settings.daemons).forEach((i) -> this.daemons.add(new Daemon(i)));
		for (int i = 0; i < settings.culprits; i++) {
			RequestFingerprint request = new RequestFingerprint(1000 + i, 2000 + i, 3000 + i);
			this.culprits.put(request, new Culprit());
			repeat(settings.resendMillis, () -> send(request, true));
			RequestFingerprint otherQuery = new RequestFingerprint(4000 + i, 2000 + i, 3000 + i);
			RequestFingerprint otherCaller = new RequestFingerprint(5000 + i, 6000 + i, 3000 + i);
			repeat(settings.twinMillis, () -> send(otherQuery, false));
			repeat(settings.twinMillis, () -> send(otherCaller, false));
		}
		for (int i = 0; i < settings.harmless; i++) {
			RequestFingerprint request = new RequestFingerprint(7000 + i, 8000 + i, 9000 + i);
			repeat(settings.harmlessMillis, () -> send(request, false));
		}
	}

	private void at(long delayNanos, Runnable action) {
		this.order++;
		this.events.add(new Event(this.now + delayNanos, this.order, action));
	}

	private void repeat(int meanMillis, Runnable action) {
		at(1 + this.random.nextLong(2 * meanMillis * MILLI), () -> {
			action.run();
			repeat(meanMillis, action);
		});
	}

	CrashModel run(Duration time) {
		while (this.events.peek().atNanos < time.toNanos()) {
			Event next = this.events.poll();
			this.now = next.atNanos;
			next.action.run();
		}
		return this;
	}

	// Disconnects a random daemon from all others for a time.
	void cutOff(Duration from, Duration duration) {
		at(from.toNanos(), () -> {
			Daemon daemon = randomDaemon();
			daemon.cutOff = true;
			at(duration.toNanos(), () -> daemon.reconnect());
		});
	}

	// Replaces a random daemon by a new process, which knows only what the others tell.
	void restartDaemon(Duration from) {
		at(from.toNanos(), () -> randomDaemon().restart());
	}

	private Daemon randomDaemon() {
		return this.daemons.get(this.random.nextInt(this.daemons.size()));
	}

	private void send(RequestFingerprint request, boolean crashes) {
		Daemon gate = randomDaemon();
		if (!gate.up || gate.running.size() >= SLOTS) {
			return;
		}
		boolean blocked = gate.suspects.isBlocked(request, this.now);
		if (!crashes) {
			this.harmlessSent++;
			this.harmlessRefused += blocked ? 1 : 0;
			recordRefusal(request, blocked);
		}
		if (!blocked && !gate.mustWait(request)) {
			gate.run(request, crashes);
		}
	}

	private void recordRefusal(RequestFingerprint request, boolean refused) {
		if (refused) {
			long since = this.refusedSince.computeIfAbsent(request, (key) -> this.now);
			this.longestRefusalNanos = Math.max(this.longestRefusalNanos, this.now - since);
		}
		else {
			this.refusedSince.remove(request);
		}
	}

	// Returns the most sends of any crashing request that daemons in touch should have
	// prevented.
	int mostLateSends() {
		return this.culprits.values().stream().mapToInt((each) -> each.lateSends).max().orElse(0);
	}

	int mostCrashesOfOneRequest() {
		return this.culprits.values().stream().mapToInt((each) -> each.crashes).max().orElse(0);
	}

	Duration longestRefusalOfHarmless() {
		return Duration.ofNanos(this.longestRefusalNanos);
	}

	double harmlessRefusedShare() {
		return this.harmlessRefused / (double) this.harmlessSent;
	}

	/**
	 * What happens in a run.
	 *
	 * @param daemons number of daemons
	 * @param culprits number of crashing requests
	 * @param harmless number of harmless requests besides two twins of each culprit
	 * @param resendMillis mean time between two sends of a culprit
	 * @param twinMillis mean time between two sends of a twin
	 * @param harmlessMillis mean time between two sends of a harmless request
	 * @param abandonPercent share of the culprits' sends whose caller leaves
	 * @param lossPercent share of the messages between daemons that are lost
	 */
	record Settings(int daemons, int culprits, int harmless, int resendMillis, int twinMillis, int harmlessMillis,
			int abandonPercent, int lossPercent) {

	}

	private record Event(long atNanos, long order, Runnable action) {

	}

	private static final class Culprit {

		private int crashes;

		private long thirdCrashNanos = Long.MAX_VALUE;

		private int lateSends;

		void onCrash(long atNanos) {
			this.crashes++;
			if (this.crashes == 3) {
				this.thirdCrashNanos = atNanos;
			}
		}

		void onSend(long atNanos) {
			if (this.crashes >= 3 && atNanos - this.thirdCrashNanos > IN_TOUCH.toNanos()) {
				this.lateSends++;
			}
		}

	}

	private record Running(RequestFingerprint request, long sentNanos, boolean suspect) {

	}

	private final class Daemon {

		private final InstanceId instance;

		private CrashSuspects suspects;

		private CrashDetector detector = new CrashDetector(() -> ++CrashModel.this.crashIds);

		private final List<Running> running = new ArrayList<>();

		private int started = 1;

		private int reported = 1;

		private boolean up = true;

		private boolean cutOff;

		private long connectedSinceNanos;

		Daemon(int number) {
			this.instance = new InstanceId("instance-" + number);
			this.suspects = new CrashSuspects(this.instance);
		}

		private BackendIncarnation incarnation() {
			return new BackendIncarnation(this.instance.value(), this.reported);
		}

		boolean mustWait(RequestFingerprint request) {
			return this.suspects.isSuspect(request)
					&& this.running.stream().anyMatch((each) -> each.suspect && !each.request.equals(request));
		}

		void run(RequestFingerprint request, boolean crashes) {
			Running run = new Running(request, CrashModel.this.now, this.suspects.isSuspect(request));
			this.running.add(run);
			if (crashes && !this.cutOff && CrashModel.this.now - this.connectedSinceNanos > IN_TOUCH.toNanos()) {
				CrashModel.this.culprits.get(request).onSend(CrashModel.this.now);
			}
			int process = this.started;
			long takes = (20 + CrashModel.this.random.nextLong(120)) * MILLI;
			boolean abandoned = crashes
					&& CrashModel.this.random.nextInt(100) < CrashModel.this.settings.abandonPercent;
			if (abandoned) {
				at(takes / 2, () -> abandon(run));
			}
			at(takes, () -> {
				if (this.up && this.started == process) {
					end(run, crashes);
				}
			});
		}

		private void abandon(Running run) {
			if (this.running.remove(run)) {
				this.detector.onAbandoned(incarnation(), run.request, CrashModel.this.now);
			}
		}

		private void end(Running run, boolean crashes) {
			if (crashes) {
				CrashModel.this.culprits.get(run.request).onCrash(CrashModel.this.now);
				crash();
			}
			else if (this.running.remove(run)) {
				this.detector.onAnswer(incarnation(), run.sentNanos);
				if (this.suspects.recordAnswer(run.request, 200, run.sentNanos, CrashModel.this.now)) {
					at(CrashModel.this.random.nextLong(250 * MILLI), this::tellOthers);
				}
			}
		}

		private void crash() {
			this.up = false;
			this.running.forEach((each) -> this.detector.onConnectionLost(incarnation(), each.request, each.sentNanos,
					each.sentNanos, CrashModel.this.now));
			this.running.clear();
			at(20 * MILLI,
					() -> this.detector.onServerEnded(incarnation(), this.suspects::isSuspect, CrashModel.this.now)
						.ifPresent((report) -> {
							this.suspects.recordCrash(report, CrashModel.this.now);
							tellOthers();
							at(1000 * MILLI, this::tellOthers);
						}));
			at((500 + CrashModel.this.random.nextLong(3000)) * MILLI, this::start);
		}

		private void start() {
			this.up = true;
			this.started++;
			// The heartbeat of the new process comes late, or the server keeps its id.
			if (CrashModel.this.random.nextBoolean()) {
				at(CrashModel.this.random.nextLong(1500 * MILLI), () -> this.reported = this.started);
			}
		}

		private void tellOthers() {
			CrashState state = this.suspects.ownState(CrashModel.this.now);
			CrashModel.this.daemons.stream()
				.filter((other) -> other != this && !this.cutOff && !other.cutOff)
				.filter((other) -> CrashModel.this.random.nextInt(100) >= CrashModel.this.settings.lossPercent)
				.forEach((other) -> {
					at(CrashModel.this.random.nextLong(40 * MILLI), () -> other.receive(this.instance, state));
					at(CrashModel.this.random.nextLong(400 * MILLI), () -> other.receive(this.instance, state));
				});
		}

		private void receive(InstanceId from, CrashState state) {
			this.suspects.merge(from, state, CrashModel.this.now);
		}

		void reconnect() {
			this.cutOff = false;
			this.connectedSinceNanos = CrashModel.this.now;
			readRows();
			tellOthers();
		}

		// A process that starts reads what all have written to the store.
		private void readRows() {
			CrashModel.this.daemons.forEach((each) -> at(500 * MILLI,
					() -> receive(each.instance, each.suspects.ownState(CrashModel.this.now))));
		}

		void restart() {
			CrashState own = this.suspects.ownState(CrashModel.this.now);
			this.running.clear();
			this.suspects = new CrashSuspects(this.instance);
			this.detector = new CrashDetector(() -> ++CrashModel.this.crashIds);
			this.connectedSinceNanos = CrashModel.this.now;
			this.suspects.merge(this.instance, own, CrashModel.this.now);
			readRows();
		}

	}

}
