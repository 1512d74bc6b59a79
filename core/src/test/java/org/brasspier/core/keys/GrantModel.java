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
 * Daemons that grant keys to the servers beside them while the keys move to and fro.
 * Calls and heartbeats are lost, answered late, or carried out seconds after they were
 * given up; daemons and servers start again. Leases are taken to go on, since
 * {@link LeaseModel} plays those. Time is in nanoseconds.
 */
final class GrantModel {

	static final int INSTANCES = 3;

	private static final LeaseTiming TIMING = LeaseTiming.DEFAULT;

	private static final long LEASE = TIMING.lease().toNanos();

	private static final long STEP = Duration.ofMillis(100).toNanos();

	private static final long BEAT = Duration.ofMillis(870).toNanos();

	private static final long CALL_TIMEOUT = Duration.ofMillis(400).toNanos();

	private static final long RELEASE_TIMEOUT = Duration.ofSeconds(5).toNanos();

	/** More of them say nothing new. */
	private static final int MOST_VIOLATIONS = 10;

	private static final long DAY = Duration.ofSeconds(60).toNanos();

	private final SplittableRandom random;

	private final GrantDelivery delivery;

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::at).thenComparingLong(Event::number));

	private final List<Instance> instances = new ArrayList<>();

	private final List<String> violations = new ArrayList<>();

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

	void play() {
		this.instances.forEach(Instance::start);
		after(millis(500, 1_000), this::planMove);
		while (!this.events.isEmpty() && this.now < DAY) {
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

	private void check() {
		for (int key = 0; key <= KeySpan.LAST_KEY; key += 1_024) {
			int probe = key;
			List<InstanceId> holding = this.instances.stream()
				.filter((instance) -> instance.holds(probe))
				.map((instance) -> instance.id)
				.toList();
			if (holding.size() > 1 && this.violations.size() < MOST_VIOLATIONS) {
				this.violations
					.add("key %d held by %s at %d ms".formatted(probe, holding, Duration.ofNanos(this.now).toMillis()));
			}
		}
	}

	private record Event(long at, long number, Runnable action) {
	}

	/**
	 * Keys in a server's hands.
	 *
	 * @param span the keys
	 * @param fence their fence
	 * @param until when the hold ends by the server's clock
	 */
	private record Held(KeySpan span, long fence, long until) {
	}

	/**
	 * A daemon and the server beside it.
	 */
	private final class Instance {

		private final InstanceId id;

		private final Map<KeySpan, Held> server = new HashMap<>();

		private final Map<KeySpan, Long> seen = new HashMap<>();

		private final Set<ReleasedKeys> freed = new HashSet<>();

		private int born = 1;

		private GrantTracker book;

		private GrantCallScheduler calls;

		Instance(int index) {
			this.id = new InstanceId("instance-" + index);
			this.book = new GrantTracker(this.id, TIMING, 0);
			this.calls = new GrantCallScheduler(this.book);
		}

		KeyHolder holder() {
			return new KeyHolder(this.id, new BackendIncarnation("server", this.born));
		}

		void start() {
			after(millis(0, 100), this::step);
			after(millis(0, 800), this::beat);
			after(millis(5_000, 40_000), this::restartDaemon);
			after(millis(5_000, 40_000), this::restartServer);
		}

		private void restartDaemon() {
			this.book = new GrantTracker(this.id, TIMING, GrantModel.this.now);
			this.calls = new GrantCallScheduler(this.book);
		}

		private void restartServer() {
			this.server.clear();
			this.seen.clear();
			this.freed.clear();
			this.born++;
			GrantModel.this.map = KeyPlanner.reassignToIncarnation(GrantModel.this.map, holder())
				.orElse(GrantModel.this.map);
		}

		boolean holds(int key) {
			return this.server.values()
				.stream()
				.anyMatch((held) -> held.span.contains(key) && GrantModel.this.now < held.until);
		}

		private void step() {
			after(STEP, this::step);
			if (GrantModel.this.delivery instanceof GrantDelivery.ByCall) {
				this.calls.dueCalls(GrantModel.this.map, holder().incarnation(), LEASE, GrantModel.this.now)
					.forEach(this::call);
			}
			handOver();
		}

		private void handOver() {
			for (KeyHolding held : GrantModel.this.map.heldBy(this.id)) {
				if (held.nextHolder().isEmpty() || this.calls.isGrantPending(held.span())) {
					continue;
				}
				this.book.released(held, GrantModel.this.now).ifPresent((handover) -> {
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
			GrantCallScheduler by = this.calls;
			int livedBy = this.born;
			long sent = GrantModel.this.now;
			boolean lost = chance(25);
			switch (call) {
				case GrantCall.Grant grant -> {
					long delay = lost ? millis(10, 6_000) : millis(1, 20);
					after(delay, () -> {
						boolean accepted = livedBy == this.born && apply(grant, sent);
						if (!lost) {
							after(millis(1, 5), () -> answered(by, grant, accepted, sent));
						}
					});
					if (lost) {
						after(CALL_TIMEOUT, () -> by.onUnanswered(grant, GrantModel.this.now));
					}
				}
				case GrantCall.Release release -> {
					this.server.values().removeIf((held) -> release.span().overlaps(held.span) && livedBy == this.born);
					if (lost) {
						after(RELEASE_TIMEOUT, () -> by.onUnanswered(release, GrantModel.this.now));
					}
					else {
						after(millis(1, 300), () -> by.onReleased(release, "token"));
					}
				}
			}
		}

		private void answered(GrantCallScheduler by, GrantCall.Grant grant, boolean accepted, long sent) {
			if (accepted) {
				by.onGranted(grant, sent, GrantModel.this.now);
			}
			else {
				by.onSuperseded(grant, GrantModel.this.now);
			}
		}

		// Counted from when the call arrived, by a clock that runs up to 2 % slow.
		private boolean apply(GrantCall.Grant grant, long arrived) {
			boolean superseded = this.seen.entrySet()
				.stream()
				.anyMatch((entry) -> entry.getKey().overlaps(grant.span()) && entry.getValue() > grant.fence().value());
			if (superseded) {
				return false;
			}
			this.seen.merge(grant.span(), grant.fence().value(), Math::max);
			long until = arrived + TIMING.plusDrift(grant.hold().toNanos());
			GrantModel.this.lateGrants += (GrantModel.this.now - arrived > CALL_TIMEOUT) ? 1 : 0;
			this.server.values().removeIf((held) -> held.span.overlaps(grant.span()));
			this.server.put(grant.span(), new Held(grant.span(), grant.fence().value(), until));
			return true;
		}

		private void beat() {
			after(BEAT, this::beat);
			if (!(GrantModel.this.delivery instanceof GrantDelivery.InHeartbeats)) {
				return;
			}
			long sent = GrantModel.this.now;
			this.server.values().removeIf((held) -> held.until <= sent);
			List<HeldKeys> holds = this.server.values()
				.stream()
				.map((held) -> new HeldKeys(held.span, new org.brasspier.core.Fence(held.fence)))
				.toList();
			List<ReleasedKeys> released = List.copyOf(this.freed);
			HoldReport report = new HoldReport(holder().incarnation(), holds, released);
			after(millis(1, 20),
					() -> this.book.answerHeartbeat(GrantModel.this.map, report, LEASE, GrantModel.this.now)
						.filter((answer) -> !chance(25))
						.ifPresent((answer) -> after(millis(1, 900), () -> take(answer, report, sent))));
		}

		private void take(GrantAnswer answer, HoldReport report, long sent) {
			if (!report.incarnation().equals(holder().incarnation())) {
				return;
			}
			this.freed.removeAll(report.freed());
			Map<KeySpan, Held> before = new HashMap<>(this.server);
			this.server.clear();
			long until = sent + TIMING.plusDrift(answer.hold().toNanos());
			answer.grants()
				.forEach(
						(grant) -> this.server.put(grant.span(), new Held(grant.span(), grant.fence().value(), until)));
			before.keySet()
				.stream()
				.filter((span) -> this.server.keySet().stream().noneMatch(span::overlaps))
				.forEach((span) -> this.freed.add(new ReleasedKeys(span, "token")));
		}

	}

}
