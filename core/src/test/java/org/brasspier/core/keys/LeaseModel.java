package org.brasspier.core.keys;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.stream.IntStream;

import org.brasspier.core.InstanceId;

/**
 * Simulates instances that renew leases, give promises and take keys over, with a store
 * and links that delay, lose or hold back messages. Processes are killed, restarted and
 * suspended, and their clocks run at different rates. Time is in nanoseconds of an ideal
 * clock.
 */
final class LeaseModel {

	static final int INSTANCES = 4;

	private static final LeaseTiming TIMING = LeaseTiming.DEFAULT;

	/**
	 * Clock rates from 0.991 to 1.009, so that two clocks differ by nearly the permitted
	 * 2 %.
	 */
	private static final double MAX_CLOCK_DRIFT = 0.009;

	private static final long STEP_NANOS = Duration.ofMillis(250).toNanos();

	private static final long PROMISE_REQUEST_INTERVAL_NANOS = Duration.ofMillis(500).toNanos();

	private static final long FRESH_PROMISE_AGE_NANOS = Duration.ofMillis(1200).toNanos();

	private static final long RUN_TIME_NANOS = Duration.ofSeconds(60).toNanos();

	private final SplittableRandom random;

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::at).thenComparingLong(Event::number));

	private final List<Instance> instances = new ArrayList<>();

	private final Map<InstanceId, LeaseRow> rows = new HashMap<>();

	private final List<String> violations = new ArrayList<>();

	private long now;

	private long nextNumber;

	private long storeVersion;

	private int takeovers;

	private int takeoversByDeputy;

	LeaseModel(long seed) {
		this.random = new SplittableRandom(seed);
		IntStream.range(0, INSTANCES).forEach((index) -> this.instances.add(new Instance(index)));
	}

	void run() {
		this.instances.forEach(Instance::start);
		this.instances.forEach(this::planFaults);
		while (!this.events.isEmpty() && this.now < RUN_TIME_NANOS) {
			Event next = this.events.poll();
			this.now = next.at;
			next.action.run();
			this.instances.forEach(Instance::check);
		}
	}

	List<String> violations() {
		return this.violations;
	}

	int takeovers() {
		return this.takeovers;
	}

	int takeoversByDeputy() {
		return this.takeoversByDeputy;
	}

	private void after(long nanos, Runnable action) {
		this.events.add(new Event(this.now + Math.max(1, nanos), this.nextNumber++, action));
	}

	private long millis(int from, int to) {
		return Duration.ofMillis(this.random.nextInt(from, to)).toNanos();
	}

	private void planFaults(Instance instance) {
		for (int fault = 0; fault < 4; fault++) {
			long begins = millis(2_000, 55_000);
			long lasts = millis(300, 12_000);
			switch (this.random.nextInt(5)) {
				case 0 -> scheduleFault(begins, lasts, (on) -> instance.storeAway = on);
				case 1 -> scheduleFault(begins, lasts, (on) -> instance.linksCut = on);
				case 2 -> scheduleFault(begins, lasts, (on) -> instance.suspended = on);
				case 3 -> scheduleFault(begins, lasts, (on) -> instance.serverDead = on);
				default -> scheduleFault(begins, lasts, instance::killed);
			}
		}
	}

	private void scheduleFault(long begins, long lasts, Consumer<Boolean> fault) {
		after(begins, () -> fault.accept(true));
		after(begins + lasts, () -> fault.accept(false));
	}

	// A link delivers quickly, rarely late, or not at all; messages held back by a cut
	// arrive later.
	private void deliver(Instance from, Instance to, Runnable delivery) {
		boolean cut = from.linksCut || to.linksCut;
		if (this.random.nextInt(100) < 3 || cut && this.random.nextInt(3) > 0) {
			return;
		}
		boolean late = cut || this.random.nextInt(100) < 5;
		after(late ? millis(100, 6_000) : millis(1, 5), () -> to.runWhenAwake(delivery));
	}

	// A write is refused, applied with or without an answer, or applied seconds later if
	// its condition still holds.
	private void commit(Instance writer, InstanceId row, long expected, LeaseRow written, Consumer<Reply> reply) {
		Process by = writer.process;
		if (writer.storeAway) {
			after(millis(500, 1_500), () -> writer.answer(by, () -> reply.accept(Reply.LOST)));
			return;
		}
		int draw = this.random.nextInt(100);
		long delay = (draw < 10) ? millis(1_000, 6_000) : millis(2, 300);
		boolean answered = draw >= 20;
		after(delay, () -> {
			boolean holds = this.rows.getOrDefault(row, LeaseRow.of(0, Optional.empty())).version() == expected;
			long version = holds ? applyWrite(row, written) : 0;
			if (answered) {
				after(millis(1, 5), () -> writer.answer(by, () -> reply.accept(new Reply(true, version))));
			}
		});
		if (!answered) {
			after(Duration.ofMillis(1_500).toNanos(), () -> writer.answer(by, () -> reply.accept(Reply.LOST)));
		}
	}

	private long applyWrite(InstanceId row, LeaseRow written) {
		this.storeVersion++;
		LeaseRow before = this.rows.put(row, new LeaseRow(this.storeVersion, written.takenBy(), written.deputy()));
		if (written.taken()) {
			this.takeovers++;
			this.takeoversByDeputy += (before != null
					&& before.deputy().map(Deputy::instance).equals(written.takenBy())) ? 1 : 0;
		}
		return this.storeVersion;
	}

	/**
	 * The store's answer to a write.
	 *
	 * @param heard whether the store answered at all
	 * @param version the new row version; 0 if the condition did not hold
	 */
	private record Reply(boolean heard, long version) {

		private static final Reply LOST = new Reply(false, 0);

	}

	private record Event(long at, long number, Runnable action) {
	}

	/**
	 * State of a process, which is lost when the process ends.
	 */
	private static final class Process {

		private final Deputy deputy;

		private final OwnLease lease = new OwnLease(TIMING);

		private final PromiseTracker promises = new PromiseTracker(TIMING);

		private final LeaseMonitor monitor;

		private final Map<Deputy, Long> heard = new HashMap<>();

		private boolean rowKnown;

		private boolean renewing;

		private boolean takeoverPending;

		private long renewed;

		private long requested;

		Process(InstanceId instance, long number) {
			this.deputy = new Deputy(instance, number);
			this.monitor = new LeaseMonitor(TIMING, this.deputy, this.promises);
		}

	}

	/**
	 * An instance, whose processes start and end.
	 */
	private final class Instance {

		private final InstanceId id;

		private final double rate;

		private final long offset;

		private Process process;

		private boolean alive = true;

		private boolean storeAway;

		private boolean linksCut;

		private boolean suspended;

		private boolean serverDead;

		Instance(int index) {
			this.id = new InstanceId("instance-" + index);
			this.rate = 1 + LeaseModel.this.random.nextDouble(-MAX_CLOCK_DRIFT, MAX_CLOCK_DRIFT);
			this.offset = millis(1_000, 1_000_000);
			this.process = new Process(this.id, index);
		}

		private long clock() {
			return this.offset + (long) (LeaseModel.this.now * this.rate);
		}

		void start() {
			after(millis(0, 250), this::tick);
		}

		void killed(boolean down) {
			this.alive = !down;
			if (!down) {
				this.process = new Process(this.id, LeaseModel.this.nextNumber++);
			}
		}

		void runWhenAwake(Runnable action) {
			if (this.suspended) {
				after(millis(10, 50), () -> runWhenAwake(action));
			}
			else if (this.alive) {
				action.run();
			}
		}

		void answer(Process asker, Runnable action) {
			runWhenAwake(() -> {
				if (asker == this.process) {
					action.run();
				}
			});
		}

		private void tick() {
			after(STEP_NANOS, this::tick);
			if (this.alive && !this.suspended) {
				step(this.process, clock());
			}
		}

		private void step(Process own, long localNanos) {
			if (!this.storeAway) {
				after(millis(2, 400), () -> answer(own, () -> onRowsRead(own, Map.copyOf(LeaseModel.this.rows))));
			}
			if (!own.rowKnown) {
				return;
			}
			if (this.serverDead) {
				giveUp(own, localNanos);
				return;
			}
			if (localNanos - own.requested >= PROMISE_REQUEST_INTERVAL_NANOS) {
				own.requested = localNanos;
				others().forEach((other) -> requestPromise(own, other, localNanos));
			}
			boolean replace = own.lease.deputy().filter((named) -> !fresh(own, named, localNanos)).isPresent();
			if (!own.renewing && (replace || localNanos - own.renewed >= TIMING.renewalInterval().toNanos())) {
				renew(own, localNanos);
			}
			if (!own.takeoverPending) {
				others().forEach((other) -> takeOver(own, other, localNanos));
			}
		}

		private List<Instance> others() {
			return LeaseModel.this.instances.stream().filter((other) -> other != this).toList();
		}

		private void onRowsRead(Process own, Map<InstanceId, LeaseRow> rows) {
			own.monitor.onRowsRead(rows, clock());
			long version = Optional.ofNullable(rows.get(this.id)).map(LeaseRow::version).orElse(0L);
			if (!own.rowKnown || version > own.lease.rowVersion()) {
				own.lease.onRowChanged(version);
				own.rowKnown = true;
			}
		}

		private void requestPromise(Process own, Instance other, long localNanos) {
			long version = own.lease.rowVersion();
			Optional<PromiseMark> mark = Optional.of(new PromiseMark(own.deputy.process(), localNanos));
			deliver(this, other, () -> {
				Process promising = other.process;
				boolean promised = promising.promises.promise(this.id, version, mark, other.clock());
				deliver(other, this, () -> answer(own, () -> {
					own.lease.onProcessSeen(promising.deputy, clock());
					if (promised) {
						own.lease.onPromise(promising.deputy, localNanos);
						own.heard.put(promising.deputy, localNanos);
					}
				}));
			});
		}

		private void giveUp(Process own, long localNanos) {
			if (own.lease.remainingNanos(localNanos) == 0) {
				return;
			}
			own.lease.relinquish(localNanos);
			Optional<PromiseMark> mark = Optional.of(new PromiseMark(own.deputy.process(), localNanos));
			LeaseModel.this.instances.stream()
				.filter((other) -> own.lease.deputy().filter(other.process.deputy::equals).isPresent())
				.forEach((deputy) -> deliver(this, deputy, () -> deputy.process.promises.release(this.id, mark)));
		}

		private boolean fresh(Process own, Deputy deputy, long localNanos) {
			Long latest = own.heard.get(deputy);
			return latest != null && localNanos - latest < FRESH_PROMISE_AGE_NANOS
					&& own.lease.promiseRemainingNanos(deputy, localNanos) > 0;
		}

		private void renew(Process own, long localNanos) {
			own.renewing = true;
			own.renewed = localNanos;
			Optional<Deputy> named = own.lease.deputy()
				.filter((deputy) -> fresh(own, deputy, localNanos))
				.or(() -> own.heard.keySet().stream().filter((deputy) -> fresh(own, deputy, localNanos)).findFirst());
			own.lease.onRenewalStarted(named);
			commit(this, this.id, own.lease.rowVersion(), LeaseRow.of(0, named), (reply) -> {
				own.renewing = false;
				if (reply.heard() && reply.version() > 0) {
					own.lease.onRenewed(localNanos, reply.version(), named);
				}
				else if (reply.heard()) {
					own.lease.onRowChanged(own.lease.rowVersion());
					own.rowKnown = false;
				}
			});
		}

		private void takeOver(Process own, Instance other, long localNanos) {
			own.monitor.endedRowVersion(other.id, localNanos)
				.filter((version) -> !rowTaken(other))
				.ifPresent((version) -> {
					own.takeoverPending = true;
					own.promises.recordTakeoverAttempt(other.id, version);
					commit(this, other.id, version, new LeaseRow(0, Optional.of(this.id), Optional.empty()),
							(reply) -> own.takeoverPending = false);
				});
		}

		private boolean rowTaken(Instance other) {
			LeaseRow row = LeaseModel.this.rows.get(other.id);
			return row != null && row.taken();
		}

		// The instance that took the keys may grant them from now on.
		void check() {
			if (rowTaken(this) && this.alive && this.process.lease.remainingNanos(clock()) > 0) {
				LeaseModel.this.violations.add("%s still holds its lease after its keys were taken, at %d ms"
					.formatted(this.id, Duration.ofNanos(LeaseModel.this.now).toMillis()));
			}
		}

	}

}
