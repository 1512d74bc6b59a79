package org.brasspier.wire;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.brasspier.core.FailureDomain;
import org.brasspier.core.Fence;
import org.brasspier.core.InstanceId;
import org.brasspier.core.KeyRange;
import org.brasspier.core.ServiceName;
import org.brasspier.core.ownership.CellRow;
import org.brasspier.core.ownership.CrashMark;
import org.brasspier.core.ownership.ManagerPair;
import org.brasspier.core.ownership.MemberInfo;
import org.brasspier.core.ownership.MemberKey;
import org.brasspier.core.ownership.MemberPhase;
import org.brasspier.core.ownership.RangeState;
import org.brasspier.core.ownership.RowDelta;
import org.brasspier.core.routing.PeerAddress;

/**
 * Encodes and decodes the row of a cell and its parts as fields of a frame. The names of
 * owners are written once and ranges refer to them by number, since a row has a few
 * instances and hundreds of ranges. Stateless and thread-safe.
 */
final class RowFrames {

	private RowFrames() {
	}

	static void write(FrameWriter out, CellRow row) {
		out.number(row.epoch());
		writePairs(out, row.managers().stream().toList());
		writePairs(out, row.unclosed());
		out.count(row.members().size());
		row.members().forEach((member) -> writeMember(out, member));
		out.count(row.drained().size());
		row.drained().stream().map(InstanceId::value).sorted().forEach(out::text);
		out.count((row.challenger().isPresent()) ? 1 : 0);
		row.challenger().ifPresent((key) -> writeKey(out, key));
		writeRanges(out, row);
	}

	static CellRow read(FrameReader in) throws WireException {
		long epoch = in.number();
		Optional<ManagerPair> managers = in.list(RowFrames::readPair).stream().findFirst();
		List<ManagerPair> unclosed = in.list(RowFrames::readPair);
		List<MemberInfo> members = in.list(RowFrames::readMember);
		Set<InstanceId> drained = Set.copyOf(in.list((frame) -> new InstanceId(frame.text())));
		Optional<MemberKey> challenger = in.list(RowFrames::readKey).stream().findFirst();
		return new CellRow(epoch, managers, unclosed, members, drained, readRanges(in), challenger);
	}

	static void writeDelta(FrameWriter out, RowDelta delta) {
		out.number(delta.base()).number(delta.version()).number(delta.digest());
		write(out, delta.changed());
		out.count(delta.goneMembers().size());
		delta.goneMembers().forEach((instance) -> out.text(instance.value()));
		out.count(delta.goneRanges().size());
		delta.goneRanges()
			.forEach((place) -> out.text(place.service().value())
				.number(place.range().low())
				.number(place.range().high()));
	}

	static RowDelta readDelta(FrameReader in) throws WireException {
		return new RowDelta(in.number(), in.number(), in.number(), read(in),
				in.list((frame) -> new InstanceId(frame.text())), in.list(RowFrames::readPlace));
	}

	private static RowDelta.Place readPlace(FrameReader in) throws WireException {
		return new RowDelta.Place(new ServiceName(in.text()), new KeyRange(in.number(), in.number()));
	}

	private static void writeRanges(FrameWriter out, CellRow row) {
		List<InstanceId> owners = row.ranges().stream().flatMap((range) -> range.owner().stream()).distinct().toList();
		Map<InstanceId, Integer> numbers = new LinkedHashMap<>();
		owners.forEach((owner) -> numbers.put(owner, numbers.size() + 1));
		out.count(owners.size());
		owners.forEach((owner) -> out.text(owner.value()));
		TreeSet<ServiceName> services = row.ranges()
			.stream()
			.map(RangeState::service)
			.collect(Collectors.toCollection(TreeSet::new));
		out.count(services.size());
		for (ServiceName service : services) {
			List<RangeState> ranges = row.rangesOf(service);
			out.text(service.value()).count(ranges.size());
			ranges.forEach((range) -> writeRange(out, range, range.owner().map(numbers::get).orElse(0)));
		}
	}

	private static void writeRange(FrameWriter out, RangeState range, int owner) {
		out.number(range.range().low()).number(range.range().high()).number(owner).number(range.fence().value());
		writeMarks(out, range.marks());
	}

	private static List<RangeState> readRanges(FrameReader in) throws WireException {
		List<InstanceId> owners = in.list((frame) -> new InstanceId(frame.text()));
		List<List<RangeState>> services = in.list((frame) -> {
			ServiceName service = new ServiceName(frame.text());
			return frame.list((entry) -> readRange(entry, service, owners));
		});
		return services.stream().flatMap(List::stream).toList();
	}

	private static RangeState readRange(FrameReader in, ServiceName service, List<InstanceId> owners)
			throws WireException {
		KeyRange range = new KeyRange(in.number(), in.number());
		int owner = in.integer();
		if (owner < 0 || owner > owners.size()) {
			throw new WireException("owner %d of %d is unknown".formatted(owner, owners.size()));
		}
		Fence fence = new Fence(in.number());
		return new RangeState(service, range,
				Stream.of(owner).filter((number) -> number > 0).map((number) -> owners.get(number - 1)).findFirst(),
				fence, readMarks(in));
	}

	static void writeMarks(FrameWriter out, List<CrashMark> marks) {
		out.count(marks.size());
		marks.forEach((mark) -> out.number(mark.crashFingerprint()).number(mark.crashes()));
	}

	static List<CrashMark> readMarks(FrameReader in) throws WireException {
		return in.list((frame) -> new CrashMark(frame.number(), frame.integer()));
	}

	private static void writePairs(FrameWriter out, List<ManagerPair> pairs) {
		out.count(pairs.size());
		for (ManagerPair pair : pairs) {
			writeKey(out.number(pair.epoch()), pair.primary());
			out.count((pair.secondary().isPresent()) ? 1 : 0);
			pair.secondary().ifPresent((key) -> writeKey(out, key));
		}
	}

	private static ManagerPair readPair(FrameReader in) throws WireException {
		return new ManagerPair(in.number(), readKey(in), in.list(RowFrames::readKey).stream().findFirst());
	}

	private static void writeKey(FrameWriter out, MemberKey key) {
		out.text(key.instance().value()).number(key.incarnation());
	}

	private static MemberKey readKey(FrameReader in) throws WireException {
		return new MemberKey(new InstanceId(in.text()), in.integer());
	}

	static void writeMember(FrameWriter out, MemberInfo member) {
		PeerAddress address = member.address();
		writeKey(out, member.key());
		out.text(member.domain().value())
			.text(address.host())
			.number(address.controlPort())
			.number(address.forwardPort())
			.number(address.callerPort())
			.number(address.operatorPort())
			.number(member.phase().ordinal())
			.count((member.backend().isPresent()) ? 1 : 0);
		member.backend()
			.ifPresent((backend) -> out.text(backend.service().value())
				.number(backend.slots())
				.flag(backend.checksFences())
				.number(backend.coldStartMillis())
				.number(backend.guardMillis()));
	}

	static MemberInfo readMember(FrameReader in) throws WireException {
		MemberKey key = readKey(in);
		FailureDomain domain = new FailureDomain(in.text());
		PeerAddress address = new PeerAddress(in.text(), in.integer(), in.integer(), in.integer(), in.integer());
		MemberPhase phase = phase(in.integer());
		Optional<MemberInfo.Backend> backend = in.list(RowFrames::readBackend).stream().findFirst();
		return new MemberInfo(key, domain, address, phase, backend);
	}

	private static MemberPhase phase(int ordinal) throws WireException {
		if (ordinal < 0 || ordinal >= MemberPhase.values().length) {
			throw new WireException("member phase %d is unknown".formatted(ordinal));
		}
		return MemberPhase.values()[ordinal];
	}

	private static MemberInfo.Backend readBackend(FrameReader in) throws WireException {
		return new MemberInfo.Backend(new ServiceName(in.text()), in.integer(), in.flag(), in.integer(), in.integer());
	}

}
