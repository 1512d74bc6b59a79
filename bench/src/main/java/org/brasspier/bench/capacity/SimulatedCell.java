package org.brasspier.bench.capacity;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.brasspier.core.FailureDomain;
import org.brasspier.core.InstanceId;
import org.brasspier.core.ServiceName;
import org.brasspier.core.event.HybridTime;
import org.brasspier.core.ownership.CellRow;
import org.brasspier.core.ownership.ControlMessage;
import org.brasspier.core.ownership.ManagerPair;
import org.brasspier.core.ownership.MemberInfo;
import org.brasspier.core.ownership.MemberKey;
import org.brasspier.core.ownership.MemberPhase;
import org.brasspier.core.ownership.OwnershipAction;
import org.brasspier.core.ownership.OwnershipMachine;
import org.brasspier.core.ownership.Timing;
import org.brasspier.core.ownership.VersionedRow;
import org.brasspier.core.placement.BalancingPlacement;
import org.brasspier.core.routing.PeerAddress;
import org.brasspier.wire.CellRowCodec;
import org.brasspier.wire.ControlCodec;
import org.brasspier.wire.FrameDecoder;
import org.brasspier.wire.FrameReader;
import org.brasspier.wire.WireException;

/**
 * A cell's ownership machines in one thread, with the real codecs between them and a
 * table that answers at once: what steady state costs each role in bytes, processor time
 * and calls of the table, without a network to blur it. Not thread-safe.
 */
final class SimulatedCell {

	/** As large as the stamps of our time are. */
	private static final HybridTime STAMP = new HybridTime(System.currentTimeMillis() << 16);

	private static final int TICK_MILLIS = 25;

	private static final int DOMAINS = 4;

	private static final int SLOTS = 17;

	private static final ServiceName SERVICE = new ServiceName("hullbook");

	/** As long as Linux waits for something to send an acknowledgement with. */
	private static final int ACK_MILLIS = 40;

	private final Map<InstanceId, Process> processes = new HashMap<>();

	/** When a process received what it has sent nothing back for. */
	private final Map<Way, Long> unacknowledged = new HashMap<>();

	private VersionedRow row = VersionedRow.NONE;

	private long now;

	private long writes;

	private long reads;

	private int started;

	SimulatedCell(int members) {
		IntStream.range(0, members).forEach((i) -> join());
	}

	/** Starts another member. */
	void join() {
		start(member(this.started++));
	}

	/**
	 * Ends a process without warning.
	 * @param instance which one
	 */
	void lose(InstanceId instance) {
		this.processes.remove(instance);
	}

	/**
	 * Ends all processes of the failure domain that the primary is in.
	 */
	void loseDomainOfPrimary() {
		FailureDomain domain = this.row.row().member(primaryInstance()).orElseThrow().domain();
		this.row.row()
			.members()
			.stream()
			.filter((member) -> member.domain().equals(domain))
			.forEach((member) -> lose(member.instance()));
	}

	/**
	 * Lets a member leave as planned.
	 * @param instance which one
	 */
	void leave(InstanceId instance) {
		step(instance, (machine) -> machine.leave(this.now));
	}

	InstanceId primaryInstance() {
		return managers().primary().instance();
	}

	/**
	 * A member that manages nothing.
	 * @return its identity
	 */
	InstanceId plainMember() {
		return this.row.row()
			.members()
			.stream()
			.filter((info) -> !managers().includes(info.key()))
			.findFirst()
			.orElseThrow()
			.instance();
	}

	private ManagerPair managers() {
		return this.row.row().managers().orElseThrow();
	}

	private static MemberInfo member(int index) {
		return new MemberInfo(new MemberKey(new InstanceId("hullbook-%03d".formatted(index)), 1),
				new FailureDomain("domain-" + index % DOMAINS),
				new PeerAddress("10.0.0." + index, 7002, 7001, 7000, 7004), MemberPhase.ACTIVE,
				Optional.of(new MemberInfo.Backend(SERVICE, SLOTS, true, 0, 0)));
	}

	private void start(MemberInfo member) {
		this.processes.put(member.instance(),
				new Process(new OwnershipMachine(member, Timing.STANDARD, new BalancingPlacement(), 0)));
	}

	/**
	 * Runs the cell for a while.
	 * @param millis how long, on its own clock
	 */
	void run(long millis) {
		long end = this.now + millis;
		while (this.now < end) {
			this.now += TICK_MILLIS;
			this.processes.keySet().stream().sorted().toList().forEach((instance) -> {
				step(instance, (machine) -> machine.tick(this.now));
				flush(instance);
			});
			acknowledge();
		}
	}

	/** Forgets what was counted so far. */
	void resetCounts() {
		this.processes.values().forEach(Process::reset);
		this.writes = 0;
		this.reads = 0;
	}

	/**
	 * What a process sent, received and computed since the counts were reset.
	 * @param instance which one
	 * @return the counts
	 */
	Counts counts(InstanceId instance) {
		return process(instance).counts();
	}

	long tableWrites() {
		return this.writes;
	}

	long tableCalls() {
		return this.reads + this.writes;
	}

	CellRow row() {
		return this.row.row();
	}

	private void step(InstanceId instance, Step step) {
		Process process = process(instance);
		long begin = Probe.cpuNanos();
		List<OwnershipAction> actions = step.take(process.machine);
		process.nanos += Probe.cpuNanos() - begin;
		actions.forEach((action) -> carryOut(instance, action));
	}

	private void carryOut(InstanceId instance, OwnershipAction action) {
		switch (action) {
			case OwnershipAction.Send send -> send(instance, send);
			case OwnershipAction.ReadRow read -> {
				this.reads++;
				step(instance, (machine) -> machine.onRowRead(this.row, this.now));
			}
			case OwnershipAction.WriteRow write -> write(instance, write);
			case OwnershipAction.Drain drain ->
				step(instance, (machine) -> machine.onDrained(drain.held(), List.of(), this.now));
			case OwnershipAction.Publish publish -> {
			}
			case OwnershipAction.RecordEvent tell -> {
			}
			case OwnershipAction.OrderDone done -> {
			}
			case OwnershipAction.Left left -> lose(instance);
		}
	}

	private void write(InstanceId instance, OwnershipAction.WriteRow write) {
		this.writes++;
		if (write.expectedVersion() != this.row.version()) {
			step(instance, (machine) -> machine.onWriteConflict(this.now));
			return;
		}
		this.row = new VersionedRow(this.row.version() + 1, CellRowCodec.decode(CellRowCodec.encode(write.row()))
			.getOrElseThrow((failure) -> new IllegalStateException(failure.detail())));
		step(instance, (machine) -> machine.onWritten(this.row.version(), this.now));
	}

	private void send(InstanceId from, OwnershipAction.Send send) {
		Process sender = process(from);
		long begin = Probe.cpuNanos();
		byte[] frame = ControlCodec.encode(send.message(), STAMP);
		sender.nanos += Probe.cpuNanos() - begin;
		sender.outgoing.computeIfAbsent(send.to(), (to) -> new ArrayList<>()).add(frame);
	}

	// As a daemon does at the end of each turn of its loop: all for one peer in a
	// segment.
	private void flush(InstanceId from) {
		if (!this.processes.containsKey(from)) {
			return;
		}
		Map<InstanceId, List<byte[]>> segments = Map.copyOf(process(from).outgoing);
		process(from).outgoing.clear();
		segments.forEach((to, frames) -> deliver(new Way(from, to), frames));
	}

	private void deliver(Way way, List<byte[]> frames) {
		if (!this.processes.containsKey(way.to())) {
			return;
		}
		count(way, frames.stream().mapToInt((frame) -> frame.length).sum());
		frames.forEach((frame) -> {
			Process receiver = process(way.to());
			long begin = Probe.cpuNanos();
			ControlMessage message = decode(frame);
			receiver.nanos += Probe.cpuNanos() - begin;
			receiver.kind(message, frame.length);
			process(way.from()).kind(message, frame.length);
			step(way.to(), (machine) -> machine.onMessage(way.from(), message, this.now));
		});
		this.unacknowledged.putIfAbsent(way.back(), this.now);
		this.unacknowledged.remove(way);
		flush(way.to());
	}

	private void acknowledge() {
		this.unacknowledged.entrySet()
			.stream()
			.filter((entry) -> this.now - entry.getValue() >= ACK_MILLIS)
			.map(Map.Entry::getKey)
			.toList()
			.forEach((way) -> {
				this.unacknowledged.remove(way);
				count(way, 0);
			});
	}

	private void count(Way way, int bytes) {
		Stream.of(way.from(), way.to()).map(this.processes::get).filter(Objects::nonNull).forEach((process) -> {
			process.segments++;
			process.frameBytes += bytes;
		});
	}

	private static ControlMessage decode(byte[] frame) {
		try {
			FrameReader reader = new FrameDecoder(ControlCodec.MAX_FRAME_BYTES).accept(frame).getFirst();
			ControlCodec.stamp(reader);
			return ControlCodec.decode(reader);
		}
		catch (WireException ex) {
			throw new IllegalStateException("a frame did not survive its own codec", ex);
		}
	}

	private Process process(InstanceId instance) {
		return Objects.requireNonNull(this.processes.get(instance), instance::value);
	}

	private interface Step {

		List<OwnershipAction> take(OwnershipMachine machine);

	}

	/**
	 * One direction between two processes.
	 *
	 * @param from the sender
	 * @param to the receiver
	 */
	private record Way(InstanceId from, InstanceId to) {

		Way back() {
			return new Way(this.to, this.from);
		}

	}

	/**
	 * What a process sent, received and computed.
	 *
	 * @param segments segments sent and received, acknowledgements included
	 * @param frameBytes the bytes of the frames in them
	 * @param nanos the time its decisions and codecs took, in nanoseconds
	 * @param kinds the bytes of the frames by kind of message
	 */
	record Counts(long segments, long frameBytes, long nanos, Map<String, Long> kinds) {

	}

	private static final class Process {

		private final OwnershipMachine machine;

		private final Map<InstanceId, List<byte[]>> outgoing = new HashMap<>();

		private final Map<String, Long> kinds = new TreeMap<>();

		private long segments;

		private long frameBytes;

		private long nanos;

		Process(OwnershipMachine machine) {
			this.machine = machine;
		}

		void kind(ControlMessage message, int bytes) {
			this.kinds.merge(message.getClass().getSimpleName(), (long) bytes, Long::sum);
		}

		Counts counts() {
			return new Counts(this.segments, this.frameBytes, this.nanos, Map.copyOf(this.kinds));
		}

		void reset() {
			this.segments = 0;
			this.frameBytes = 0;
			this.nanos = 0;
			this.kinds.clear();
		}

	}

}
