package org.brasspier.core.ownership;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

import org.brasspier.core.InstanceId;

/**
 * Simulates a cell of three, two lease managers and a member, in coarse steps. It can be
 * copied and compared, so that every order of faults can be explored. A message that is
 * sent in one step arrives in the next.
 */
final class SmallCell {

	/** Time that one step represents. */
	static final long STEP_MILLIS = 50;

	/** Time limits of a few steps each, so that all of them expire within one path. */
	static final Timing TIMING = new Timing(100, 500, 150, 50, 150, 500, 1_000_000, 100_000, 0);

	final List<ModelProcess> processes = new ArrayList<>();

	private List<SentMessage> sentMessages = new ArrayList<>();

	private List<PendingCall> pendingCalls = new ArrayList<>();

	private final Set<Fault> faults = new TreeSet<>();

	private VersionedRow storedRow = VersionedRow.NONE;

	private long now;

	static SmallCell started(EnabledGuards guards) {
		SmallCell cell = new SmallCell();
		CellModel.Setup setup = new CellModel.Setup(TIMING, guards, 3);
		for (String name : List.of("a", "b", "c")) {
			cell.processes.add(new ModelProcess(name, "domain-" + name, 1, 1000, 0, setup));
			cell.run(8);
		}
		cell.run(20);
		return cell;
	}

	SmallCell copy() {
		SmallCell copy = new SmallCell();
		this.processes.forEach((process) -> copy.processes.add(process.copy()));
		copy.sentMessages = new ArrayList<>(this.sentMessages);
		copy.pendingCalls = new ArrayList<>(this.pendingCalls);
		copy.faults.addAll(this.faults);
		copy.storedRow = this.storedRow;
		copy.now = this.now;
		return copy;
	}

	List<Object> state() {
		return List.of(this.processes.stream().map((process) -> process.machine.state()).toList(), this.sentMessages,
				this.pendingCalls, Set.copyOf(this.faults), this.storedRow, this.now);
	}

	void toggle(Fault fault) {
		if (!this.faults.remove(fault)) {
			this.faults.add(fault);
		}
	}

	void run(int steps) {
		for (int i = 0; i < steps; i++) {
			step();
		}
	}

	/**
	 * Runs one step: messages arrive, then every process that is not paused does its due
	 * work.
	 */
	void step() {
		this.now += STEP_MILLIS;
		List<SentMessage> arrivingMessages = this.sentMessages;
		List<PendingCall> answeredCalls = this.pendingCalls;
		this.sentMessages = new ArrayList<>();
		this.pendingCalls = new ArrayList<>();
		answeredCalls.forEach(this::answer);
		arrivingMessages.forEach(this::deliver);
		this.processes.stream()
			.filter((process) -> !isPaused(process))
			.forEach((process) -> run(process, process.machine.tick(process.clock(this.now))));
	}

	private boolean isPaused(ModelProcess process) {
		return this.faults.contains(new Fault("pause", process.instance.value()));
	}

	private boolean isCut(String from, String to) {
		return this.faults.contains(new Fault("cut", from + to)) || this.faults.contains(new Fault("cut", to + from));
	}

	private boolean isStoreDown(ModelProcess process) {
		return this.faults.contains(new Fault("store", process.instance.value()));
	}

	private ModelProcess process(InstanceId instance) {
		return this.processes.stream().filter((process) -> process.instance.equals(instance)).findFirst().orElseThrow();
	}

	private void deliver(SentMessage message) {
		ModelProcess to = process(message.to());
		if (isCut(message.from().value(), message.to().value())) {
			return;
		}
		if (isPaused(to)) {
			this.sentMessages.add(message);
			return;
		}
		run(to, to.machine.onMessage(message.from(), message.message(), to.clock(this.now)));
	}

	private void answer(PendingCall call) {
		ModelProcess process = process(call.from());
		if (isPaused(process)) {
			this.pendingCalls.add(call);
			return;
		}
		long processTime = process.clock(this.now);
		boolean lost = isStoreDown(process);
		switch (call.action()) {
			case OwnershipAction.ReadRow read -> run(process, (lost) ? process.machine.onReadFailed(processTime)
					: process.machine.onRowRead(call.row(), processTime));
			case OwnershipAction.WriteRow write -> run(process, reportWriteOutcome(process, call, lost, processTime));
			default -> throw new IllegalStateException("no call: " + call);
		}
	}

	private static List<OwnershipAction> reportWriteOutcome(ModelProcess process, PendingCall call, boolean lost,
			long processTime) {
		if (lost) {
			return process.machine.onWriteUnknown(processTime);
		}
		return (call.tookEffect()) ? process.machine.onWritten(call.row().version(), processTime)
				: process.machine.onWriteConflict(processTime);
	}

	// A call reaches the table at once and its answer arrives in the next step, so a
	// store fault that starts between them loses the answer of a write that took effect.
	private void run(ModelProcess process, List<OwnershipAction> actions) {
		for (OwnershipAction action : actions) {
			switch (action) {
				case OwnershipAction.Send(InstanceId to, ControlMessage message) -> {
					if (this.processes.stream().anyMatch((other) -> other.instance.equals(to))) {
						this.sentMessages.add(new SentMessage(process.instance, to, message));
					}
				}
				case OwnershipAction.ReadRow read ->
					this.pendingCalls.add(new PendingCall(process.instance, read, this.storedRow, false));
				case OwnershipAction.WriteRow write -> this.pendingCalls.add(applyWrite(process, write));
				case OwnershipAction.Drain(HeldRange held) ->
					run(process, process.machine.onDrained(held, List.of(), process.clock(this.now)));
				default -> {
				}
			}
		}
	}

	private PendingCall applyWrite(ModelProcess process, OwnershipAction.WriteRow write) {
		boolean takesEffect = !isStoreDown(process) && this.storedRow.version() == write.expectedVersion();
		if (takesEffect) {
			this.storedRow = new VersionedRow(write.expectedVersion() + 1, write.row());
		}
		return new PendingCall(process.instance, write, this.storedRow, takesEffect);
	}

	/**
	 * Returns whether at most one process serves each range now, by its own checks.
	 * @return false if two do
	 */
	boolean hasSingleOwners() {
		Set<Long> served = new TreeSet<>();
		return this.processes.stream()
			.flatMap((process) -> process.serves(this.now).stream())
			.allMatch((held) -> served.add(held.range().low()));
	}

	boolean allServed() {
		return this.processes.stream().mapToInt((process) -> process.serves(this.now).size()).sum() == 3;
	}

	private record SentMessage(InstanceId from, InstanceId to, ControlMessage message) {

	}

	private record PendingCall(InstanceId from, OwnershipAction action, VersionedRow row, boolean tookEffect) {

	}

	/**
	 * A fault that lasts until it is toggled again.
	 *
	 * @param kind pause, cut or store
	 * @param target the process, or the two processes
	 */
	record Fault(String kind, String target) implements Comparable<Fault> {

		static final List<Fault> ALL = List.of(new Fault("pause", "a"), new Fault("pause", "b"),
				new Fault("pause", "c"), new Fault("cut", "ab"), new Fault("cut", "ac"), new Fault("cut", "bc"),
				new Fault("store", "a"), new Fault("store", "b"), new Fault("store", "c"));

		@Override
		public int compareTo(Fault other) {
			return (this.kind + this.target).compareTo(other.kind + other.target);
		}

	}

}
