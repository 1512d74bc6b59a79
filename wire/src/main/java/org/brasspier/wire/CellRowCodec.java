package org.brasspier.wire;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import java.util.stream.Collectors;

import com.google.gson.Gson;
import com.google.gson.JsonParseException;
import io.vavr.control.Either;
import org.brasspier.core.ErrorKind;
import org.brasspier.core.Failure;
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
import org.brasspier.core.routing.PeerAddress;
import org.jspecify.annotations.Nullable;

/**
 * Encodes and decodes the row of a cell as stored in the table: JSON in the envelope of
 * {@link StoredState}. Stateless and thread-safe.
 */
public final class CellRowCodec {

	private static final Gson GSON = new Gson();

	private CellRowCodec() {
	}

	/**
	 * Encodes a row.
	 * @param row the row
	 * @return the value to store
	 */
	public static byte[] encode(CellRow row) {
		StoredRow stored = new StoredRow(row.epoch(), row.managers().map(StoredPair::of).orElse(null),
				row.unclosed().stream().map(StoredPair::of).toList(),
				row.members().stream().map(StoredMember::of).toList(),
				row.drained().stream().map(InstanceId::value).sorted().toList(), services(row),
				row.challenger().map(StoredKey::of).orElse(null));
		return StoredState.wrap(GSON.toJson(stored).getBytes(StandardCharsets.UTF_8));
	}

	private static List<StoredService> services(CellRow row) {
		TreeSet<ServiceName> names = row.ranges()
			.stream()
			.map(RangeState::service)
			.collect(Collectors.toCollection(TreeSet::new));
		return names.stream()
			.map((name) -> new StoredService(name.value(), row.rangesOf(name).stream().map(StoredRange::of).toList()))
			.toList();
	}

	/**
	 * Decodes a row.
	 * @param value the stored value
	 * @return the row, or why it is rejected
	 */
	public static Either<Failure, CellRow> decode(byte[] value) {
		return StoredState.unwrap(value).flatMap(CellRowCodec::parse);
	}

	private static Either<Failure, CellRow> parse(byte[] contents) {
		try {
			StoredRow stored = GSON.fromJson(new String(contents, StandardCharsets.UTF_8), StoredRow.class);
			return Either.right(stored.row());
		}
		catch (JsonParseException | IllegalArgumentException | NullPointerException ex) {
			return Either.left(Failure.of(ErrorKind.STATE_UNREADABLE,
					"the cell's row is malformed: %s (TROUBLESHOOTING.md#stored-state)".formatted(ex.getMessage())));
		}
	}

	private record StoredRow(long epoch, @Nullable StoredPair managers, List<StoredPair> unclosed,
			List<StoredMember> members, List<String> drained, List<StoredService> services,
			@Nullable StoredKey challenger) {

		CellRow row() {
			List<RangeState> ranges = new ArrayList<>();
			this.services.forEach((service) -> service.addTo(ranges));
			return new CellRow(this.epoch, Optional.ofNullable(this.managers).map(StoredPair::pair),
					this.unclosed.stream().map(StoredPair::pair).toList(),
					this.members.stream().map(StoredMember::member).toList(),
					this.drained.stream().map(InstanceId::new).collect(Collectors.toSet()), ranges,
					Optional.ofNullable(this.challenger).map(StoredKey::key));
		}

	}

	private record StoredKey(String instance, int incarnation) {

		static StoredKey of(MemberKey key) {
			return new StoredKey(key.instance().value(), key.incarnation());
		}

		MemberKey key() {
			return new MemberKey(new InstanceId(this.instance), this.incarnation);
		}

	}

	private record StoredPair(long epoch, StoredKey primary, @Nullable StoredKey secondary) {

		static StoredPair of(ManagerPair pair) {
			return new StoredPair(pair.epoch(), StoredKey.of(pair.primary()),
					pair.secondary().map(StoredKey::of).orElse(null));
		}

		ManagerPair pair() {
			return new ManagerPair(this.epoch, this.primary.key(),
					Optional.ofNullable(this.secondary).map(StoredKey::key));
		}

	}

	private record StoredMember(StoredKey key, String domain, String host, List<Integer> ports, MemberPhase phase,
			@Nullable StoredBackend backend) {

		static StoredMember of(MemberInfo member) {
			PeerAddress address = member.address();
			return new StoredMember(StoredKey.of(member.key()), member.domain().value(), address.host(),
					List.of(address.controlPort(), address.forwardPort(), address.callerPort(), address.operatorPort()),
					member.phase(), member.backend().map(StoredBackend::of).orElse(null));
		}

		MemberInfo member() {
			if (this.ports.size() != 4 || this.phase == null) {
				throw new IllegalArgumentException("member %s lacks ports or phase".formatted(this.key));
			}
			return new MemberInfo(this.key.key(), new FailureDomain(this.domain),
					new PeerAddress(this.host, this.ports.get(0), this.ports.get(1), this.ports.get(2),
							this.ports.get(3)),
					this.phase, Optional.ofNullable(this.backend).map(StoredBackend::backend));
		}

	}

	private record StoredBackend(String service, int slots, boolean checksFences, int coldStartMillis,
			int guardMillis) {

		static StoredBackend of(MemberInfo.Backend backend) {
			return new StoredBackend(backend.service().value(), backend.slots(), backend.checksFences(),
					backend.coldStartMillis(), backend.guardMillis());
		}

		MemberInfo.Backend backend() {
			return new MemberInfo.Backend(new ServiceName(this.service), this.slots, this.checksFences,
					this.coldStartMillis, this.guardMillis);
		}

	}

	private record StoredService(String name, List<StoredRange> ranges) {

		void addTo(List<RangeState> all) {
			ServiceName service = new ServiceName(this.name);
			this.ranges.forEach((range) -> all.add(range.state(service)));
		}

	}

	private record StoredRange(long low, long high, @Nullable String owner, long fence,
			@Nullable List<StoredMark> marks) {

		static StoredRange of(RangeState range) {
			List<StoredMark> marks = range.marks().stream().map(StoredMark::of).toList();
			return new StoredRange(range.range().low(), range.range().high(),
					range.owner().map(InstanceId::value).orElse(null), range.fence().value(),
					(marks.isEmpty()) ? null : marks);
		}

		RangeState state(ServiceName service) {
			return new RangeState(service, new KeyRange(this.low, this.high),
					Optional.ofNullable(this.owner).map(InstanceId::new), new Fence(this.fence),
					Optional.ofNullable(this.marks).orElse(List.of()).stream().map(StoredMark::mark).toList());
		}

	}

	private record StoredMark(long request, int crashes) {

		static StoredMark of(CrashMark mark) {
			return new StoredMark(mark.crashFingerprint(), mark.crashes());
		}

		CrashMark mark() {
			return new CrashMark(this.request, this.crashes);
		}

	}

}
