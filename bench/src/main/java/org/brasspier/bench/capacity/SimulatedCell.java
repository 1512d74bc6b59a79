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
 * Runs the ownership state machines of a cell in one thread, with the real codecs between
 * them and a table that answers immediately. Counts bytes, processor time and table calls
 * of each role in steady state without the variance of a network. Not thread-safe.
 */
final class SimulatedCell {

	/**
	 * Of a present-day magnitude, so that it is encoded in as many bytes as in
	 * production.
	 */
	private static final HybridTime STAMP = new HybridTime(System.currentTimeMillis() << 16);

	private static final int TICK_MILLIS = 25;

	private static final int DOMAINS = 4;

	private static final int SLOTS = 17;

	private static final ServiceName SERVICE = new ServiceName("hullbook");

	/** How long Linux delays an acknowledgement to send it along with data. */
	private static final int DELAYED_ACK_MILLIS = 40;

	private final Map<InstanceId, Process> processes = new HashMap<>();

	/** When the oldest segment arrived whose acknowledgement is still to be sent. */
	private final Map<Direction, Long> pendingAcks = new HashMap<>();

	private VersionedRow row = VersionedRow.NONE;

	private long now;

	private long writes;

	private long reads;

	private int startedMembers;

	SimulatedCell(int members) {
		IntStream.range(0, members).forEach((i) -> join());
	}

	/** Starts another member. */
	void join() {
		start(newMember(this.startedMembers++));
	}

	/**
	 * Ends a process without notice.
	 * @param instance the process's instance
	 */
	void crash(InstanceId instance) {
		this.processes.remove(instance);
	}

	/**
	 * Ends all processes in the failure domain of the primary without notice.
	 */
	void crashDomainOfPrimary() {
		FailureDomain domain = this.row.row().member(primaryInstance()).orElseThrow().domain();
		this.row.row()
			.members()
			.stream()
			.filter((member) -> member.domain().equals(domain))
			.forEach((member) -> crash(member.instance()));
	}

	/**
	 * Starts the planned departure of a member.
	 * @param instance the member's instance
	 */
	void leave(InstanceId instance) {
		step(instance, (machine) -> machine.leave(this.now));
	}

	InstanceId primaryInstance() {
		return managers().primary().instance();
	}

	/**
	 * Finds a member that is not a lease manager.
	 * @return its instance
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

	private static MemberInfo newMember(int index) {
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
	 * Runs the cell.
	 * @param millis how long, by the simulated clock
	 */
	void run(long millis) {
		long end = this.now + millis;
		while (this.now < end) {
			this.now += TICK_MILLIS;
			this.processes.keySet().stream().sorted().toList().forEach((instance) -> {
				step(instance, (machine) -> machine.tick(this.now));
				flush(instance);
			});
			sendDelayedAcks();
		}
	}

	void resetCounts() {
		this.processes.values().forEach(Process::reset);
		this.writes = 0;
		this.reads = 0;
	}

	/**
	 * Returns what a process sent, received and computed since the counts were reset.
	 * @param instance the process's instance
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
		long begin = ResourceProbe.cpuNanos();
		List<OwnershipAction> actions = step.apply(process.machine);
		process.nanos += ResourceProbe.cpuNanos() - begin;
		actions.forEach((action) -> execute(instance, action));
	}

	private void execute(InstanceId instance, OwnershipAction action) {
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
			case OwnershipAction.Left left -> crash(instance);
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
		long begin = ResourceProbe.cpuNanos();
		byte[] frame = ControlCodec.encode(send.message(), STAMP);
		sender.nanos += ResourceProbe.cpuNanos() - begin;
		sender.outgoing.computeIfAbsent(send.to(), (to) -> new ArrayList<>()).add(frame);
	}

	// Sends all frames for a peer in one segment, as a daemon does at the end of each
	// pass of its event loop.
	private void flush(InstanceId from) {
		if (!this.processes.containsKey(from)) {
			return;
		}
		Map<InstanceId, List<byte[]>> segments = Map.copyOf(process(from).outgoing);
		process(from).outgoing.clear();
		segments.forEach((to, frames) -> deliver(new Direction(from, to), frames));
	}

	private void deliver(Direction direction, List<byte[]> frames) {
		if (!this.processes.containsKey(direction.to())) {
			return;
		}
		countSegment(direction, frames.stream().mapToInt((frame) -> frame.length).sum());
		frames.forEach((frame) -> {
			Process receiver = process(direction.to());
			long begin = ResourceProbe.cpuNanos();
			ControlMessage message = decode(frame);
			receiver.nanos += ResourceProbe.cpuNanos() - begin;
			receiver.countBytes(message, frame.length);
			process(direction.from()).countBytes(message, frame.length);
			step(direction.to(), (machine) -> machine.onMessage(direction.from(), message, this.now));
		});
		this.pendingAcks.putIfAbsent(direction.reverse(), this.now);
		this.pendingAcks.remove(direction);
		flush(direction.to());
	}

	private void sendDelayedAcks() {
		this.pendingAcks.entrySet()
			.stream()
			.filter((entry) -> this.now - entry.getValue() >= DELAYED_ACK_MILLIS)
			.map(Map.Entry::getKey)
			.toList()
			.forEach((direction) -> {
				this.pendingAcks.remove(direction);
				countSegment(direction, 0);
			});
	}

	private void countSegment(Direction direction, int bytes) {
		Stream.of(direction.from(), direction.to())
			.map(this.processes::get)
			.filter(Objects::nonNull)
			.forEach((process) -> {
				process.segments++;
				process.frameBytes += bytes;
			});
	}

	private static ControlMessage decode(byte[] frame) {
		try {
			FrameReader reader = new FrameDecoder(ControlCodec.MAX_FRAME_BYTES).decode(frame).getFirst();
			ControlCodec.stamp(reader);
			return ControlCodec.decode(reader);
		}
		catch (WireException ex) {
			throw new IllegalStateException("a control message could not be decoded after encoding", ex);
		}
	}

	private Process process(InstanceId instance) {
		return Objects.requireNonNull(this.processes.get(instance), instance::value);
	}

	private interface Step {

		List<OwnershipAction> apply(OwnershipMachine machine);

	}

	/**
	 * One direction of the connection between two processes.
	 *
	 * @param from the sender
	 * @param to the receiver
	 */
	private record Direction(InstanceId from, InstanceId to) {

		Direction reverse() {
			return new Direction(this.to, this.from);
		}

	}

	/**
	 * What a process sent, received and computed.
	 *
	 * @param segments segments sent and received, acknowledgements included
	 * @param frameBytes the bytes of the frames in them
	 * @param nanos the processor time of its decisions and codecs, in nanoseconds
	 * @param bytesByMessageType the bytes of the frames by message type
	 */
	record Counts(long segments, long frameBytes, long nanos, Map<String, Long> bytesByMessageType) {

	}

	private static final class Process {

		private final OwnershipMachine machine;

		private final Map<InstanceId, List<byte[]>> outgoing = new HashMap<>();

		private final Map<String, Long> bytesByMessageType = new TreeMap<>();

		private long segments;

		private long frameBytes;

		private long nanos;

		Process(OwnershipMachine machine) {
			this.machine = machine;
		}

		void countBytes(ControlMessage message, int bytes) {
			this.bytesByMessageType.merge(message.getClass().getSimpleName(), (long) bytes, Long::sum);
		}

		Counts counts() {
			return new Counts(this.segments, this.frameBytes, this.nanos, Map.copyOf(this.bytesByMessageType));
		}

		void reset() {
			this.segments = 0;
			this.frameBytes = 0;
			this.nanos = 0;
			this.bytesByMessageType.clear();
		}

	}

}
