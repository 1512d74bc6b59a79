package org.brasspier.core.ownership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import org.brasspier.core.InstanceId;
import org.brasspier.core.KeyRange;

/**
 * Simulates a cell in one thread: processes with separate clocks, messages that are
 * delayed or lost, and a table that may be unavailable, slow or lose answers. After each
 * event it checks that no range is served by two processes, that no range is served under
 * an older fence again, and that each row that a process knows matches the table.
 */
final class CellModel {

	/** Interval of the periodic work of each process. */
	static final long TICK_MILLIS = 25;

	final Setup setup;

	final Random random;

	final Map<InstanceId, ModelProcess> processes = new TreeMap<>();

	/**
	 * Broken connections, each as sender, {@code >} and receiver; the table is
	 * {@code store}.
	 */
	final Set<String> brokenLinks = new HashSet<>();

	final List<String> violations = new ArrayList<>();

	/** Events that the processes recorded, to investigate violations. */
	final List<String> trace = new ArrayList<>();

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::at).thenComparingLong(Event::number));

	private final Map<Integer, Long> highestFence = new HashMap<>();

	private final Map<Long, CellRow> writtenRows = new HashMap<>();

	long now;

	VersionedRow storedRow = VersionedRow.NONE;

	boolean storeDown;

	long storeDelay = 3;

	/** Number of further writes whose answers are lost. */
	int answersToLose;

	/**
	 * Whether writes whose answers are lost take effect immediately; else half are
	 * delayed.
	 */
	boolean lostWritesTakeEffect;

	int messagesLostPermille;

	int messagesDuplicatedPermille;

	long reads;

	long writes;

	private long nextEventNumber;

	private int nextIncarnation = 1;

	CellModel(Setup setup, long seed) {
		this.setup = setup;
		this.random = new Random(seed);
	}

	ModelProcess start(String name, String domain, long ratePermille) {
		ModelProcess process = new ModelProcess(name, domain, this.nextIncarnation++, ratePermille, this.now,
				this.setup);
		this.processes.put(process.instance, process);
		after(1, () -> tick(process));
		return process;
	}

	void kill(ModelProcess process) {
		this.processes.remove(process.instance, process);
	}

	boolean isAlive(ModelProcess process) {
		return this.processes.get(process.instance) == process;
	}

	void resume(ModelProcess process) {
		process.paused = false;
		List<Runnable> waiting = List.copyOf(process.backlog);
		process.backlog.clear();
		waiting.forEach(Runnable::run);
	}

	/**
	 * Disconnects two groups of processes from each other in both directions, and the
	 * first group from the table.
	 * @param first the processes that lose the table too
	 * @param others the other processes
	 */
	void partition(List<ModelProcess> first, List<ModelProcess> others) {
		for (ModelProcess from : first) {
			this.brokenLinks.add(from.instance + ">store");
			for (ModelProcess to : others) {
				this.brokenLinks.add(from.instance + ">" + to.instance);
				this.brokenLinks.add(to.instance + ">" + from.instance);
			}
		}
	}

	private void tick(ModelProcess process) {
		if (!isAlive(process)) {
			return;
		}
		after(TICK_MILLIS, () -> tick(process));
		if (!process.paused) {
			run(process, process.machine.tick(process.clock(this.now)));
		}
	}

	void after(long delay, Runnable event) {
		this.events.add(new Event(this.now + delay, this.nextEventNumber++, event));
	}

	/**
	 * Advances the time.
	 * @param millis how far, in milliseconds
	 */
	void run(long millis) {
		long end = this.now + millis;
		while (!this.events.isEmpty() && this.events.peek().at() <= end && this.violations.isEmpty()) {
			Event event = this.events.poll();
			this.now = event.at();
			event.action().run();
			checkInvariants();
		}
		this.now = end;
	}

	/**
	 * Advances the time until a condition holds.
	 * @param limit the maximum time, in milliseconds
	 * @param condition the condition
	 * @return the time that passed, or the limit
	 */
	long runUntil(long limit, BooleanSupplier condition) {
		long startedAt = this.now;
		while (this.now - startedAt < limit && !condition.getAsBoolean() && this.violations.isEmpty()) {
			run(1);
		}
		return this.now - startedAt;
	}

	/**
	 * Runs a step of a process, or queues it until the process is resumed.
	 * @param process the process
	 * @param step the step
	 */
	void step(ModelProcess process, Consumer<ModelProcess> step) {
		if (!isAlive(process)) {
			return;
		}
		if (process.paused) {
			process.backlog.add(() -> step(process, step));
			return;
		}
		step.accept(process);
	}

	void run(ModelProcess process, List<OwnershipAction> actions) {
		for (OwnershipAction action : actions) {
			switch (action) {
				case OwnershipAction.Send send -> send(process, send);
				case OwnershipAction.ReadRow read -> read(process);
				case OwnershipAction.WriteRow write -> write(process, write);
				case OwnershipAction.Drain drain -> after(this.random.nextInt(20) + 1L, () -> step(process,
						(p) -> run(p, p.machine.onDrained(drain.held(), List.of(), p.clock(this.now)))));
				case OwnershipAction.Left left -> process.left = true;
				case OwnershipAction.Publish publish -> {
				}
				case OwnershipAction.RecordEvent event -> {
					this.trace.add(this.now + " " + process.instance + " " + event);
				}
				case OwnershipAction.OrderDone done -> {
				}
			}
		}
	}

	private void send(ModelProcess from, OwnershipAction.Send send) {
		int copies = (this.random.nextInt(1000) < this.messagesDuplicatedPermille) ? 2 : 1;
		for (int i = 0; i < copies; i++) {
			boolean isLost = this.random.nextInt(1000) < this.messagesLostPermille;
			long delay = (i == 0) ? 1 + this.random.nextInt(4) : this.random.nextInt(1500);
			if (!isLost && !this.brokenLinks.contains(from.instance + ">" + send.to())) {
				ModelProcess to = this.processes.get(send.to());
				after(delay, () -> deliver(from.instance, to, send));
			}
		}
	}

	private void deliver(InstanceId from, ModelProcess to, OwnershipAction.Send send) {
		if (to != null) {
			step(to, (p) -> run(p, p.machine.onMessage(from, send.message(), p.clock(this.now))));
		}
	}

	private long randomStoreDelay() {
		return this.storeDelay + this.random.nextInt(3);
	}

	private boolean reachesStore(ModelProcess process) {
		return !this.storeDown && !this.brokenLinks.contains(process.instance + ">store");
	}

	private void read(ModelProcess process) {
		this.reads++;
		after(randomStoreDelay(), () -> {
			boolean isAnswered = reachesStore(process);
			VersionedRow row = this.storedRow;
			after(1, () -> step(process, (p) -> run(p, (isAnswered) ? p.machine.onRowRead(row, p.clock(this.now))
					: p.machine.onReadFailed(p.clock(this.now)))));
		});
	}

	private void write(ModelProcess process, OwnershipAction.WriteRow write) {
		this.writes++;
		if (!reachesStore(process)) {
			after(1, () -> step(process, (p) -> run(p, p.machine.onWriteFailed(p.clock(this.now)))));
			return;
		}
		after(randomStoreDelay(), () -> applyWrite(process, write));
	}

	private void applyWrite(ModelProcess process, OwnershipAction.WriteRow write) {
		boolean lost = this.answersToLose > 0 || !reachesStore(process);
		boolean versionMatches = this.storedRow.version() == write.expectedVersion();
		boolean takesEffect = versionMatches && !(lost && !this.lostWritesTakeEffect && this.random.nextBoolean());
		this.answersToLose = Math.max(0, this.answersToLose - 1);
		if (takesEffect) {
			this.storedRow = new VersionedRow(write.expectedVersion() + 1, write.row());
			this.writtenRows.put(this.storedRow.version(), write.row());
		}
		else if (versionMatches) {
			// The write reaches the table much later, when other processes may have made
			// other plans.
			after(this.random.nextInt(2000), () -> applyDelayedWrite(write));
		}
		long version = this.storedRow.version();
		after(1, () -> step(process, (p) -> run(p, reportWriteOutcome(p, lost, versionMatches, version))));
	}

	private List<OwnershipAction> reportWriteOutcome(ModelProcess process, boolean lost, boolean matches,
			long version) {
		long processTime = process.clock(this.now);
		if (lost) {
			return process.machine.onWriteUnknown(processTime);
		}
		return (matches) ? process.machine.onWritten(version, processTime)
				: process.machine.onWriteConflict(processTime);
	}

	private void applyDelayedWrite(OwnershipAction.WriteRow write) {
		if (this.storedRow.version() == write.expectedVersion()) {
			this.storedRow = new VersionedRow(write.expectedVersion() + 1, write.row());
			this.writtenRows.put(this.storedRow.version(), write.row());
		}
	}

	/**
	 * Returns the processes that serve a range now by their own checks.
	 * @param range the index of the range
	 * @return the processes
	 */
	List<ModelProcess> processesServing(int range) {
		long point = KeyRange.split(this.setup.ranges()).get(range).low();
		return this.processes.values()
			.stream()
			.filter((process) -> process.serves(this.now)
				.stream()
				.anyMatch((held) -> held.range().low() <= point && point < held.range().high()))
			.toList();
	}

	/**
	 * Spreads the ranges over all processes by operators' orders.
	 */
	void spreadRanges() {
		List<ModelProcess> all = List.copyOf(this.processes.values());
		List<KeyRange> ranges = KeyRange.split(this.setup.ranges());
		for (int range = 0; range < ranges.size() && this.violations.isEmpty(); range++) {
			InstanceId to = all.get(range % all.size()).instance;
			ModelProcess primary = primary();
			run(primary,
					primary.machine.order(1, new ControlMessage.Order.Move(ModelProcess.SERVICE, ranges.get(range), to),
							primary.clock(this.now)));
		}
		run(2000);
	}

	boolean allServed() {
		for (int range = 0; range < this.setup.ranges(); range++) {
			if (processesServing(range).isEmpty()) {
				return false;
			}
		}
		return true;
	}

	ModelProcess primary() {
		InstanceId instance = this.storedRow.row().managers().orElseThrow().primary().instance();
		return Optional.ofNullable(this.processes.get(instance)).orElseThrow();
	}

	ModelProcess secondary() {
		InstanceId instance = this.storedRow.row().managers().orElseThrow().secondary().orElseThrow().instance();
		return Optional.ofNullable(this.processes.get(instance)).orElseThrow();
	}

	ModelProcess nonManager() {
		ManagerPair pair = this.storedRow.row().managers().orElseThrow();
		return this.processes.values()
			.stream()
			.filter((process) -> pair.find(process.instance).isEmpty())
			.findFirst()
			.orElseThrow();
	}

	void checkInvariants() {
		Map<Long, InstanceId> owners = new HashMap<>();
		for (ModelProcess process : this.processes.values()) {
			for (HeldRange held : process.serves(this.now)) {
				InstanceId otherOwner = owners.put(held.range().low(), process.instance);
				if (otherOwner != null) {
					addViolation("%s and %s both serve %s".formatted(otherOwner, process.instance, held.range()));
				}
				checkFence(process, held);
			}
			checkKnownRow(process);
		}
	}

	private void checkFence(ModelProcess process, HeldRange held) {
		int point = (int) held.range().low();
		long highest = this.highestFence.merge(point, held.fence().value(), Math::max);
		if (held.fence().value() < highest) {
			addViolation(
					"%s serves %s under %s after %d".formatted(process.instance, held.range(), held.fence(), highest));
		}
	}

	private void checkKnownRow(ModelProcess process) {
		VersionedRow known = process.machine.view().known();
		if (known.version() > 0 && !known.row().equals(this.writtenRows.get(known.version()))) {
			addViolation("%s knows version %d, which the table never had".formatted(process.instance, known.version()));
		}
	}

	private void addViolation(String description) {
		this.violations.add(this.now + " ms: " + description);
	}

	private record Event(long at, long number, Runnable action) {

	}

	/**
	 * Common settings of all processes of a model.
	 *
	 * @param timing the time limits
	 * @param guards the enabled guards
	 * @param ranges how many ranges the only service has
	 */
	record Setup(Timing timing, EnabledGuards guards, int ranges) {

		static Setup standard(int ranges) {
			return new Setup(Timing.STANDARD, EnabledGuards.ALL, ranges);
		}

	}

}
