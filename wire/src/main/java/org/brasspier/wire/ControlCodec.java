package org.brasspier.wire;

import java.util.List;
import java.util.Optional;

import org.brasspier.core.Fence;
import org.brasspier.core.InstanceId;
import org.brasspier.core.KeyRange;
import org.brasspier.core.ServiceName;
import org.brasspier.core.event.HybridTime;
import org.brasspier.core.ownership.ControlMessage;
import org.brasspier.core.ownership.CrashMark;
import org.brasspier.core.ownership.HeldRange;
import org.brasspier.core.ownership.MemberInfo;
import org.brasspier.core.ownership.MemberKey;
import org.brasspier.core.ownership.RangeLoad;
import org.brasspier.core.ownership.RowDelta;
import org.brasspier.core.ownership.VersionedRow;
import org.brasspier.core.placement.PlacementInput.HotPoint;

/**
 * Encodes {@link ControlMessage}s as frames and decodes them. Heartbeats and renewals are
 * sent all the time, so they consist of numbers only. Stateless and thread-safe.
 */
public final class ControlCodec {

	/**
	 * The largest control frame: large enough for the row of a full cell, with a margin.
	 */
	public static final int MAX_FRAME_BYTES = 1 << 20;

	private static final int HEARTBEAT = 1;

	private static final int RENEWAL = 2;

	private static final int BEAT = 3;

	private static final int BEAT_ANSWER = 4;

	private static final int ROW_UPDATE = 5;

	private static final int ANNOUNCE = 6;

	private static final int RELEASE = 7;

	private static final int RELEASED = 8;

	private static final int LOADS = 9;

	private static final int PROBE = 10;

	private static final int PROBE_ANSWER = 11;

	private static final int ORDER_SENT = 12;

	private static final int ORDER_ANSWER = 13;

	private static final int ROW_DIFFERENCE = 14;

	private static final int ROW_REQUEST = 15;

	private static final int ORDER_DRAIN = 1;

	private static final int ORDER_MOVE = 2;

	private static final int ORDER_DECLARE_LOST = 3;

	private ControlCodec() {
	}

	/**
	 * Encodes a message.
	 * @param message the message
	 * @param stamp the sender's hybrid timestamp; the receiver stamps the effects of the
	 * message later than this
	 * @return the frame to send
	 */
	public static byte[] encode(ControlMessage message, HybridTime stamp) {
		FrameWriter out = new FrameWriter().number(stamp.packed());
		switch (message) {
			case ControlMessage.Heartbeat m -> out.number(HEARTBEAT)
				.number(m.incarnation())
				.number(m.sentAt())
				.number(m.epoch())
				.number(m.version())
				.number(m.leaseLeft())
				.number(m.document());
			case ControlMessage.Renewal m -> out.number(RENEWAL)
				.number(m.incarnation())
				.number(m.sentAt())
				.number(m.epoch())
				.number(m.version())
				.number(m.lease())
				.number(m.document());
			case ControlMessage.Beat m -> {
				out.number(BEAT).number(m.incarnation()).number(m.sentAt()).number(m.epoch()).number(m.version());
				out.count(m.revoking().size());
				m.revoking().forEach((key) -> writeKey(out, key));
			}
			case ControlMessage.BeatAnswer m -> {
				out.number(BEAT_ANSWER)
					.number(m.incarnation())
					.number(m.sentAt())
					.number(m.epoch())
					.flag(m.confirmed())
					.number(m.tableAge())
					.count(m.promises().size());
				m.promises().forEach((promise) -> writeKey(out, promise.member()).number(promise.leaseLeft()));
			}
			case ControlMessage.RowUpdate(VersionedRow row) ->
				RowFrames.write(out.number(ROW_UPDATE).number(row.version()), row.row());
			case ControlMessage.RowDifference(RowDelta delta) ->
				RowFrames.writeDelta(out.number(ROW_DIFFERENCE), delta);
			case ControlMessage.RowRequest(long version) -> out.number(ROW_REQUEST).number(version);
			case ControlMessage.Announce(MemberInfo member) -> RowFrames.writeMember(out.number(ANNOUNCE), member);
			case ControlMessage.Release(List<HeldRange> ranges) -> {
				out.number(RELEASE).count(ranges.size());
				ranges.forEach((held) -> writeHeld(out, held));
			}
			case ControlMessage.Released m -> {
				out.number(RELEASED).number(m.incarnation()).count(m.ranges().size());
				m.ranges().forEach((range) -> RowFrames.writeMarks(writeHeld(out, range.held()), range.marks()));
			}
			case ControlMessage.Loads(ServiceName service, List<RangeLoad> loads) -> {
				out.number(LOADS).text(service.value()).count(loads.size());
				loads.forEach((load) -> writeLoad(out, load));
			}
			case ControlMessage.Probe m -> out.number(PROBE);
			case ControlMessage.ProbeAnswer m ->
				out.number(PROBE_ANSWER).number(m.incarnation()).number(m.epoch()).number(m.heardAgo());
			case ControlMessage.OrderSent m -> writeOrder(out.number(ORDER_SENT).number(m.number()), m.order());
			case ControlMessage.OrderAnswer m ->
				out.number(ORDER_ANSWER).number(m.number()).flag(m.accepted()).text(m.detail());
		}
		return out.frame();
	}

	/**
	 * Decodes the stamp, which precedes the message.
	 * @param in the frame received
	 * @return the sender's stamp
	 * @throws WireException if the frame is malformed
	 */
	public static HybridTime stamp(FrameReader in) throws WireException {
		return new HybridTime(in.number());
	}

	/**
	 * Decodes a message, after its stamp.
	 * @param in the frame received
	 * @return the message
	 * @throws WireException if the frame is malformed
	 */
	public static ControlMessage decode(FrameReader in) throws WireException {
		try {
			int type = in.integer();
			return switch (type) {
				case HEARTBEAT -> new ControlMessage.Heartbeat(in.integer(), in.number(), in.number(), in.number(),
						in.number(), in.number());
				case RENEWAL -> new ControlMessage.Renewal(in.integer(), in.number(), in.number(), in.number(),
						in.number(), in.number());
				case BEAT -> new ControlMessage.Beat(in.integer(), in.number(), in.number(), in.number(),
						in.list(ControlCodec::readKey));
				case BEAT_ANSWER -> new ControlMessage.BeatAnswer(in.integer(), in.number(), in.number(), in.flag(),
						in.number(), in.list((frame) -> new ControlMessage.Promised(readKey(frame), frame.number())));
				case ROW_UPDATE -> new ControlMessage.RowUpdate(new VersionedRow(in.number(), RowFrames.read(in)));
				case ROW_DIFFERENCE -> new ControlMessage.RowDifference(RowFrames.readDelta(in));
				case ROW_REQUEST -> new ControlMessage.RowRequest(in.number());
				case ANNOUNCE -> new ControlMessage.Announce(RowFrames.readMember(in));
				case RELEASE -> new ControlMessage.Release(in.list(ControlCodec::readHeld));
				case RELEASED -> new ControlMessage.Released(in.integer(), in.list(ControlCodec::readReleased));
				case LOADS -> new ControlMessage.Loads(new ServiceName(in.text()), in.list(ControlCodec::readLoad));
				case PROBE -> new ControlMessage.Probe();
				case PROBE_ANSWER -> new ControlMessage.ProbeAnswer(in.integer(), in.number(), in.number());
				case ORDER_SENT -> new ControlMessage.OrderSent(in.number(), readOrder(in));
				case ORDER_ANSWER -> new ControlMessage.OrderAnswer(in.number(), in.flag(), in.text());
				default -> throw new WireException("control frame type %d is unknown".formatted(type));
			};
		}
		catch (IllegalArgumentException ex) {
			throw new WireException("a field of the control frame has a value out of range", ex);
		}
	}

	private static FrameWriter writeKey(FrameWriter out, MemberKey key) {
		return out.text(key.instance().value()).number(key.incarnation());
	}

	private static MemberKey readKey(FrameReader in) throws WireException {
		return new MemberKey(new InstanceId(in.text()), in.integer());
	}

	private static FrameWriter writeHeld(FrameWriter out, HeldRange held) {
		return out.text(held.service().value())
			.number(held.range().low())
			.number(held.range().high())
			.number(held.fence().value());
	}

	private static HeldRange readHeld(FrameReader in) throws WireException {
		return new HeldRange(new ServiceName(in.text()), new KeyRange(in.number(), in.number()),
				new Fence(in.number()));
	}

	private static ControlMessage.ReleasedRange readReleased(FrameReader in) throws WireException {
		HeldRange held = readHeld(in);
		List<CrashMark> marks = RowFrames.readMarks(in);
		return new ControlMessage.ReleasedRange(held, marks);
	}

	private static void writeLoad(FrameWriter out, RangeLoad load) {
		out.number(load.range().low())
			.number(load.range().high())
			.number(toThousandths(load.busySlots()))
			.number(load.hottest().map(HotPoint::point).orElse(-1L))
			.number(toThousandths(load.hottest().map(HotPoint::busySlots).orElse(0.0)));
	}

	private static RangeLoad readLoad(FrameReader in) throws WireException {
		KeyRange range = new KeyRange(in.number(), in.number());
		double busySlots = in.number() / 1000.0;
		long point = in.number();
		double hottestSlots = in.number() / 1000.0;
		return new RangeLoad(range, busySlots,
				(point < 0) ? Optional.empty() : Optional.of(new HotPoint(point, hottestSlots)));
	}

	private static long toThousandths(double value) {
		return Math.round(value * 1000);
	}

	private static void writeOrder(FrameWriter out, ControlMessage.Order order) {
		switch (order) {
			case ControlMessage.Order.Drain(InstanceId instance, boolean away) ->
				out.number(ORDER_DRAIN).text(instance.value()).flag(away);
			case ControlMessage.Order.Move(ServiceName service, KeyRange range, InstanceId to) ->
				out.number(ORDER_MOVE).text(service.value()).number(range.low()).number(range.high()).text(to.value());
			case ControlMessage.Order.DeclareLost(InstanceId instance) ->
				out.number(ORDER_DECLARE_LOST).text(instance.value());
		}
	}

	private static ControlMessage.Order readOrder(FrameReader in) throws WireException {
		int type = in.integer();
		return switch (type) {
			case ORDER_DRAIN -> new ControlMessage.Order.Drain(new InstanceId(in.text()), in.flag());
			case ORDER_MOVE -> new ControlMessage.Order.Move(new ServiceName(in.text()),
					new KeyRange(in.number(), in.number()), new InstanceId(in.text()));
			case ORDER_DECLARE_LOST -> new ControlMessage.Order.DeclareLost(new InstanceId(in.text()));
			default -> throw new WireException("order type %d is unknown".formatted(type));
		};
	}

}
