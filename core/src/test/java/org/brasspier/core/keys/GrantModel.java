package org.brasspier.core.keys;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

import org.brasspier.core.InstanceId;

/**
 * Simulates daemons that grant keys to their local servers while the keys move. Calls and
 * heartbeats are lost, answered late, or applied seconds after they were abandoned;
 * connections break; daemons and servers restart, and a daemon learns of another server
 * process at the same address only by its heartbeats, which may be late. Leases never
 * end, since {@link LeaseModel} covers those. Time is in nanoseconds.
 */
final class GrantModel {

	static final int INSTANCES = 3;

	private static final LeaseTiming TIMING = LeaseTiming.DEFAULT;

	private static final long LEASE_NANOS = TIMING.lease().toNanos();

	private static final long STEP_NANOS = Duration.ofMillis(100).toNanos();

	private static final long HEARTBEAT_INTERVAL_NANOS = Duration.ofMillis(870).toNanos();

	private static final long CALL_TIMEOUT_NANOS = Duration.ofMillis(400).toNanos();

	private static final long RELEASE_TIMEOUT_NANOS = Duration.ofSeconds(5).toNanos();

	/** Further violations add no information. */
	private static final int MAX_VIOLATIONS = 10;

	private static final int SAMPLE_STEP = 1_024;

	private static final long RUN_TIME_NANOS = Duration.ofSeconds(60).toNanos();

	private final SplittableRandom random;

	private final GrantDelivery delivery;

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::at).thenComparingLong(Event::number));

	private final List<Instance> instances = new ArrayList<>();

	private final List<String> violations = new ArrayList<>();

	// The highest fence of each sampled key, with the server process that received it.
	private final Map<Integer, ReceivedFence> highestFences = new HashMap<>();

	private int restarts;

	private KeyMap map;

	private long now;

	private long nextNumber;

	private int moves;

	private int lateGrants;

	GrantModel(long seed, GrantDelivery delivery) {
		this.random = new SplittableRandom(seed);
		this.delivery = delivery;
		IntStream.range(0, INSTANCES).forEach((index) -> this.instances.add(new Instance(index)));
		this.map = KeyMap.initial(this.instances.stream().map(Instance::holder).toList());
	}

	void run() {
		this.instances.forEach(Instance::start);
		after(millis(500, 1_000), this::planMove);
		while (!this.events.isEmpty() && this.now < RUN_TIME_NANOS) {
			Event next = this.events.poll();
			this.now = next.at;
			next.action.run();
			check();
		}
	}

	List<String> violations() {
		return this.violations;
	}

	int moves() {
		return this.moves;
	}

	int lateGrants() {
		return this.lateGrants;
	}

	int restarts() {
		return this.restarts;
	}

	private void after(long nanos, Runnable action) {
		this.events.add(new Event(this.now + Math.max(1, nanos), this.nextNumber++, action));
	}

	private long millis(int from, int to) {
		return Duration.ofMillis(this.random.nextInt(from, to)).toNanos();
	}

	private boolean chance(int percent) {
		return this.random.nextInt(100) < percent;
	}

	private void planMove() {
		after(millis(50, 600), this::planMove);
		KeyHolding held = this.map.holdings().get(this.random.nextInt(this.map.holdings().size()));
		InstanceId to = this.instances.get(this.random.nextInt(INSTANCES)).id;
		if (held.nextHolder().isEmpty() && !held.holder().equals(to)) {
			this.map = this.map.withPlannedMoves(Map.of(held.span(), to));
		}
	}

	private void checkFence(KeySpan span, long fence, String process) {
		for (int key = 0; key <= KeySpan.LAST_KEY; key += SAMPLE_STEP) {
			ReceivedFence highest = this.highestFences.get(key);
			if (!span.contains(key)) {
				continue;
			}
			if (highest != null && !highest.process.equals(process) && highest.fence >= fence) {
				addViolation("key %d went to %s under fence %d, %s had it under %d".formatted(key, process, fence,
						highest.process, highest.fence));
			}
			else {
				this.highestFences.put(key, new ReceivedFence(process, fence));
			}
		}
	}

	private void addViolation(String text) {
		if (this.violations.size() < MAX_VIOLATIONS) {
			this.violations.add(text);
		}
	}

	private void check() {
		for (int key = 0; key <= KeySpan.LAST_KEY; key += SAMPLE_STEP) {
			int sampledKey = key;
			List<InstanceId> holding = this.instances.stream()
				.filter((instance) -> instance.holds(sampledKey))
				.map((instance) -> instance.id)
				.toList();
			if (holding.size() > 1) {
				addViolation("key %d held by %s at %d ms".formatted(sampledKey, holding,
						Duration.ofNanos(this.now).toMillis()));
			}
		}
	}

	private record Event(long at, long number, Runnable action) {
	}

	private record ReceivedFence(String process, long fence) {
	}

	/**
	 * Keys held by a server.
	 *
	 * @param span the keys
	 * @param fence their fence
	 * @param until when the hold expires by the server's clock
	 */
	private record Held(KeySpan span, long fence, long until) {
	}

	/**
	 * A daemon and its local server.
	 */
	private final class Instance {

		private final InstanceId id;

		private final Map<KeySpan, Held> server = new HashMap<>();

		private final Map<KeySpan, Long> seenFences = new HashMap<>();

		private final Set<ReleasedKeys> unacknowledgedReleases = new HashSet<>();

		private int startCount = 1;

		// The start that the daemon knows by the server's heartbeats.
		private int knownStart = 1;

		private boolean down;

		private long session = 1;

		private boolean connected = true;

		private boolean heardFrom;

		private GrantTracker tracker;

		private GrantCallScheduler scheduler;

		Instance(int index) {
			this.id = new InstanceId("instance-" + index);
			this.tracker = new GrantTracker(this.id, TIMING, 0);
			this.scheduler = new GrantCallScheduler(this.tracker);
		}

		KeyHolder holder() {
			return new KeyHolder(this.id, incarnation(this.knownStart));
		}

		private BackendIncarnation incarnation(int start) {
			return new BackendIncarnation("server", start);
		}

		private String process() {
			return this.id + "#" + this.startCount;
		}

		private Optional<ServerSession> session() {
			return this.connected ? Optional.of(new ServerSession(this.session, this.heardFrom)) : Optional.empty();
		}

		private void connect() {
			if (!this.connected && !this.down) {
				this.connected = true;
				this.heardFrom = false;
				this.session++;
			}
		}

		private void breakConnections() {
			after(millis(500, 20_000), this::breakConnections);
			this.connected = false;
		}

		void start() {
			after(millis(0, 100), this::step);
			after(millis(0, 800), this::heartbeat);
			after(millis(5_000, 40_000), this::restartDaemon);
			after(millis(1_000, 20_000), this::crashServer);
			after(millis(500, 20_000), this::breakConnections);
		}

		private void restartDaemon() {
			after(millis(5_000, 40_000), this::restartDaemon);
			this.tracker = new GrantTracker(this.id, TIMING, GrantModel.this.now);
			this.scheduler = new GrantCallScheduler(this.tracker);
			this.scheduler.recordSentBelow(GrantModel.this.map.nextFence());
			this.connected = false;
		}

		private void crashServer() {
			this.down = true;
			this.connected = false;
			this.server.clear();
			this.seenFences.clear();
			this.unacknowledgedReleases.clear();
			this.startCount++;
			GrantModel.this.restarts++;
			after(millis(10, 1_500), () -> this.down = false);
			after(millis(1_600, 20_000), this::crashServer);
		}

		// Returns whether the heartbeat is of the current incarnation, as far as the
		// daemon knows.
		private boolean hear(int start) {
			if (start < this.knownStart) {
				return false;
			}
			if (start > this.knownStart) {
				this.knownStart = start;
				this.connected = false;
				GrantModel.this.map = KeyPlanner.reassignToIncarnation(GrantModel.this.map, holder())
					.orElse(GrantModel.this.map);
			}
			this.heardFrom = true;
			return true;
		}

		boolean holds(int key) {
			return this.server.values()
				.stream()
				.anyMatch((held) -> held.span.contains(key) && GrantModel.this.now < held.until);
		}

		private void step() {
			after(STEP_NANOS, this::step);
			if (GrantModel.this.delivery instanceof GrantDelivery.ByCall) {
				connect();
				this.scheduler
					.dueCalls(GrantModel.this.map, holder().incarnation(), session(), LEASE_NANOS, GrantModel.this.now)
					.forEach(this::call);
				raiseFences();
			}
			moveReleasedKeys();
		}

		private void raiseFences() {
			List<KeyHolding> outdated = GrantModel.this.map.heldBy(this.id)
				.stream()
				.filter((held) -> this.scheduler.needsNewFence(held, session()))
				.toList();
			if (!outdated.isEmpty()) {
				GrantModel.this.map = GrantModel.this.map.reassigned(outdated::contains, (held) -> holder(),
						KeyHolding::handover);
			}
		}

		private void moveReleasedKeys() {
			for (KeyHolding held : GrantModel.this.map.heldBy(this.id)) {
				if (held.nextHolder().isEmpty() || this.scheduler.isGrantPending(held.span())) {
					continue;
				}
				this.tracker.released(held, GrantModel.this.now).ifPresent((handover) -> {
					Instance next = GrantModel.this.instances.stream()
						.filter((other) -> held.nextHolder().equals(Optional.of(other.id)))
						.findFirst()
						.orElseThrow();
					GrantModel.this.map = GrantModel.this.map.reassigned(held::equals, (moved) -> next.holder(),
							(moved) -> handover);
					GrantModel.this.moves++;
				});
			}
		}

		private void call(GrantCall call) {
			GrantCallScheduler sender = this.scheduler;
			int sentTo = this.startCount;
			long sent = GrantModel.this.now;
			boolean lost = chance(25);
			if (this.down) {
				after(millis(1, 5), () -> sender.onNotSent(call, GrantModel.this.now));
				return;
			}
			switch (call) {
				case GrantCall.Grant grant -> {
					long delay = lost ? millis(10, 6_000) : millis(1, 20);
					after(delay, () -> {
						boolean alive = sentTo == this.startCount;
						boolean accepted = alive && apply(grant, sent);
						if (!lost && !alive) {
							sender.onUnanswered(grant, GrantModel.this.now);
						}
						else if (!lost) {
							after(millis(1, 5), () -> answered(sender, grant, accepted, sent));
						}
					});
					if (lost) {
						after(CALL_TIMEOUT_NANOS, () -> sender.onUnanswered(grant, GrantModel.this.now));
					}
				}
				case GrantCall.Release release -> {
					this.server.values()
						.removeIf((held) -> release.span().overlaps(held.span) && sentTo == this.startCount);
					if (lost) {
						after(RELEASE_TIMEOUT_NANOS, () -> sender.onUnanswered(release, GrantModel.this.now));
					}
					else {
						after(millis(1, 300), () -> sender.onReleased(release, "token"));
					}
				}
			}
		}

		private void answered(GrantCallScheduler sender, GrantCall.Grant grant, boolean accepted, long sent) {
			if (accepted) {
				sender.onGranted(grant, sent, GrantModel.this.now);
			}
			else {
				sender.onSuperseded(grant, GrantModel.this.now);
			}
		}

		// The hold starts when the call arrives, by a clock that runs up to 2 % slow.
		private boolean apply(GrantCall.Grant grant, long arrived) {
			boolean superseded = this.seenFences.entrySet()
				.stream()
				.anyMatch((entry) -> entry.getKey().overlaps(grant.span()) && entry.getValue() > grant.fence().value());
			if (superseded) {
				return false;
			}
			this.seenFences.merge(grant.span(), grant.fence().value(), Math::max);
			long until = arrived + TIMING.plusDrift(grant.hold().toNanos());
			if (GrantModel.this.now < until) {
				checkFence(grant.span(), grant.fence().value(), process());
			}
			GrantModel.this.lateGrants += (GrantModel.this.now - arrived > CALL_TIMEOUT_NANOS) ? 1 : 0;
			this.server.values().removeIf((held) -> held.span.overlaps(grant.span()));
			this.server.put(grant.span(), new Held(grant.span(), grant.fence().value(), until));
			return true;
		}

		private void heartbeat() {
			after(HEARTBEAT_INTERVAL_NANOS, this::heartbeat);
			if (this.down) {
				return;
			}
			int sender = this.startCount;
			long transit = chance(10) ? millis(500, 3_000) : millis(1, 20);
			if (!(GrantModel.this.delivery instanceof GrantDelivery.InHeartbeats)) {
				after(transit, () -> hear(sender));
				return;
			}
			long sent = GrantModel.this.now;
			this.server.values().removeIf((held) -> held.until <= sent);
			List<HeldKeys> holds = this.server.values()
				.stream()
				.map((held) -> new HeldKeys(held.span, new org.brasspier.core.Fence(held.fence)))
				.toList();
			List<ReleasedKeys> released = List.copyOf(this.unacknowledgedReleases);
			HoldReport report = new HoldReport(incarnation(sender), holds, released);
			after(transit, () -> {
				if (hear(sender)) {
					this.tracker.answerHeartbeat(GrantModel.this.map, report, LEASE_NANOS, GrantModel.this.now)
						.filter((answer) -> !chance(25))
						.ifPresent((answer) -> after(millis(1, 900), () -> applyAnswer(answer, report, sent)));
				}
			});
		}

		private void applyAnswer(GrantAnswer answer, HoldReport report, long sent) {
			if (!report.incarnation().equals(incarnation(this.startCount))) {
				return;
			}
			this.unacknowledgedReleases.removeAll(report.freed());
			Map<KeySpan, Held> before = new HashMap<>(this.server);
			this.server.clear();
			long until = sent + TIMING.plusDrift(answer.hold().toNanos());
			answer.grants().forEach((grant) -> {
				checkFence(grant.span(), grant.fence().value(), process());
				this.server.put(grant.span(), new Held(grant.span(), grant.fence().value(), until));
			});
			before.keySet()
				.stream()
				.filter((span) -> this.server.keySet().stream().noneMatch(span::overlaps))
				.forEach((span) -> this.unacknowledgedReleases.add(new ReleasedKeys(span, "token")));
		}

	}

}
