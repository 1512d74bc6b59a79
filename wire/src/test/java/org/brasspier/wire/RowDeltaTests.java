package org.brasspier.wire;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;

import org.brasspier.core.FailureDomain;
import org.brasspier.core.Fence;
import org.brasspier.core.InstanceId;
import org.brasspier.core.KeyRange;
import org.brasspier.core.ServiceName;
import org.brasspier.core.event.HybridTime;
import org.brasspier.core.ownership.CellRow;
import org.brasspier.core.ownership.ControlMessage;
import org.brasspier.core.ownership.CrashMark;
import org.brasspier.core.ownership.MemberInfo;
import org.brasspier.core.ownership.MemberKey;
import org.brasspier.core.ownership.MemberPhase;
import org.brasspier.core.ownership.RangeState;
import org.brasspier.core.ownership.RowDelta;
import org.brasspier.core.ownership.VersionedRow;
import org.brasspier.core.routing.PeerAddress;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Rows sent as deltas are compared with the same rows sent whole.
 */
class RowDeltaTests {

	private static final int CHANGES = 200;

	private static final int INSTANCES = 6;

	private static final ServiceName SERVICE = new ServiceName("hullbook");

	// Guards against a member that serves a range that has moved away, because a delta
	// yields another row than the primary wrote. Deltas are encoded as frames and may be
	// lost, late or duplicated, and versions skip. A row is fetched whole if a delta does
	// not apply.
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8, 9, 10 })
	void deltasYieldTheSameRowsAsWholeRows(long seed) throws WireException {
		Random random = new Random(seed);
		VersionedRow written = new VersionedRow(1, CellRow.EMPTY);
		VersionedRow known = written;
		List<RowDelta> late = new ArrayList<>();
		int applied = 0;
		for (int i = 0; i < CHANGES; i++) {
			VersionedRow next = new VersionedRow(written.version() + 1 + random.nextInt(3), changed(written, random));
			RowDelta delta = encodedAndDecoded(RowDelta.between(written, next));
			written = next;
			if (random.nextInt(8) == 0) {
				late.add(delta);
				continue;
			}
			Optional<VersionedRow> made = delta.applyTo(known);
			applied += made.isPresent() ? 1 : 0;
			known = made.orElse(encodedAndDecoded(next));
			assertThat(known).isEqualTo(next);
			assertThat(delta.applyTo(known)).isEmpty();
			for (RowDelta old : late) {
				assertThat(old.applyTo(known)).isEmpty();
			}
		}
		assertThat(applied).isGreaterThan(CHANGES / 2);
	}

	// Guards against owners that were never written: the platform restores its table from
	// a backup, and a partitioned member holds a row with the same version but other
	// contents. The version of the base matches, but the delta must not apply.
	@Test
	void aBaseOfTheSameVersionWithOtherContentsIsRejected() {
		CellRow row = CellRow.EMPTY.withRanges(KeyRange.split(4).stream().map((range) -> owned(range, 0, 3)).toList());
		CellRow other = row.mapRanges((range) -> (range.range().low() == 0) ? range.ownedBy(instance(1), 4) : range);
		CellRow next = row.mapRanges((range) -> (range.range().low() > 0) ? range.ownedBy(instance(2), 6) : range);
		RowDelta delta = RowDelta.between(new VersionedRow(5, row), new VersionedRow(6, next));
		assertThat(delta.applyTo(new VersionedRow(5, row))).hasValue(new VersionedRow(6, next));
		assertThat(delta.applyTo(new VersionedRow(5, other))).isEmpty();
	}

	private static RowDelta encodedAndDecoded(RowDelta delta) throws WireException {
		return ((ControlMessage.RowDifference) decoded(new ControlMessage.RowDifference(delta))).delta();
	}

	private static VersionedRow encodedAndDecoded(VersionedRow row) throws WireException {
		return ((ControlMessage.RowUpdate) decoded(new ControlMessage.RowUpdate(row))).row();
	}

	private static ControlMessage decoded(ControlMessage message) throws WireException {
		FrameReader frame = new FrameDecoder(ControlCodec.MAX_FRAME_BYTES)
			.decode(ControlCodec.encode(message, new HybridTime(1)))
			.getFirst();
		ControlCodec.stamp(frame);
		return ControlCodec.decode(frame);
	}

	private static CellRow changed(VersionedRow from, Random random) {
		CellRow row = from.row();
		return switch (random.nextInt(7)) {
			case 0 -> row.withMember(member(random));
			case 1 -> row.withoutMember(instance(random.nextInt(INSTANCES)));
			case 2 -> row.nextEpoch(key(random), Optional.of(key(random)), row.managers().stream().toList());
			case 3 -> row.withDrained(Set.of(instance(random.nextInt(INSTANCES))));
			case 4 -> row.withChallenger(Optional.of(key(random)).filter((key) -> random.nextBoolean()));
			case 5 -> row.withRanges(KeyRange.split(1 + random.nextInt(40))
				.stream()
				.map((range) -> owned(range, random.nextInt(INSTANCES), from.version()))
				.toList());
			default -> row.mapRanges((range) -> moved(range, from.version(), random));
		};
	}

	private static RangeState moved(RangeState range, long version, Random random) {
		return switch (random.nextInt(10)) {
			case 0 -> range.ownedBy(instance(random.nextInt(INSTANCES)), version);
			case 1 -> range.withoutOwner(IntStream.range(0, random.nextInt(3))
				.mapToObj((i) -> new CrashMark(random.nextLong(), 1 + i))
				.toList());
			default -> range;
		};
	}

	private static RangeState owned(KeyRange range, int owner, long version) {
		return new RangeState(SERVICE, range, Optional.empty(), Fence.NONE, List.of()).ownedBy(instance(owner),
				version);
	}

	private static InstanceId instance(int number) {
		return new InstanceId("hullbook-" + number);
	}

	private static MemberKey key(Random random) {
		return new MemberKey(instance(random.nextInt(INSTANCES)), 1 + random.nextInt(3));
	}

	private static MemberInfo member(Random random) {
		return new MemberInfo(key(random), new FailureDomain("duluth"), new PeerAddress("10.0.0.1", 1, 2, 3, 4),
				MemberPhase.values()[random.nextInt(MemberPhase.values().length)],
				Optional.of(new MemberInfo.Backend(SERVICE, random.nextInt(20), random.nextBoolean(), 5, 6))
					.filter((backend) -> random.nextBoolean()));
	}

}
