package org.brasspier.bench.capacity;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;

import org.brasspier.core.InstanceId;
import org.brasspier.core.KeyRange;
import org.brasspier.core.ownership.CellRow;
import org.brasspier.core.ownership.RangeState;
import org.brasspier.wire.CellRowCodec;

/**
 * What a cell's members and ranges cost its lease managers, its members and the table.
 */
final class CellSlopes implements SlopeSuite {

	/** Bytes of IPv4 and TCP headers, with the timestamps that Linux sends. */
	static final int HEADER_BYTES = 52;

	private static final int[] MEMBERS = { 4, 8, 12, 16, 20, 24 };

	private static final int[] RANGES = { 64, 128, 256, 512, 1024 };

	private static final int SETTLING_MILLIS = 20_000;

	private static final int COUNTED_MILLIS = 60_000;

	private static final int MILLIS_PER_SECOND = 1000;

	@Override
	public List<Slope> measure() {
		List<Slope> slopes = new ArrayList<>(List.of(
				overCells("primary lease manager, control traffic", "bytes/s",
						(cell) -> wireBytes(cell, cell.primaryInstance())),
				overCells("member, control traffic", "bytes/s", (cell) -> wireBytes(cell, cell.plainMember())),
				overCells("primary lease manager, deciding and coding", "us/s",
						(cell) -> cell.counts(cell.primaryInstance()).nanos() / (double) COUNTED_MILLIS),
				overCells("member, deciding and coding", "us/s",
						(cell) -> cell.counts(cell.plainMember()).nanos() / (double) COUNTED_MILLIS),
				overCells("cell, calls of the table in steady state", "calls/s",
						(cell) -> perSecond(cell.tableCalls())),
				changes("loss of a plain member, writes of the row", (cell) -> cell.lose(cell.plainMember())),
				changes("loss of the primary, writes of the row", (cell) -> cell.lose(cell.primaryInstance())),
				changes("loss of the primary's failure domain, writes of the row", SimulatedCell::loseDomainOfPrimary),
				changes("replacement as planned, writes of the row", CellSlopes::replace)));
		CellRow full = settled(MEMBERS[MEMBERS.length - 1]).row();
		slopes.add(SlopeSuite.over("row of a cell of 24, size", "ranges", "bytes", RANGES,
				(ranges) -> CellRowCodec.encode(withRanges(full, ranges)).length));
		slopes.add(SlopeSuite.over("row of a cell of 24, reading and writing", "ranges", "us", RANGES, (ranges) -> {
			CellRow row = withRanges(full, ranges);
			return Probe.nanosEach(() -> CellRowCodec.decode(CellRowCodec.encode(row))) / MILLIS_PER_SECOND;
		}));
		return slopes;
	}

	/**
	 * What a primary's bytes go to, for whoever looks for what to cut.
	 * @return lines of a table
	 */
	static String primaryByKind() {
		return Arrays.stream(MEMBERS).mapToObj((members) -> {
			SimulatedCell cell = settled(members);
			cell.run(COUNTED_MILLIS);
			SimulatedCell.Counts counts = cell.counts(cell.primaryInstance());
			Map<String, Long> kinds = new TreeMap<>();
			counts.kinds().forEach((kind, bytes) -> kinds.put(kind, Math.round(perSecond(bytes))));
			return "| %d | %.0f | %.0f | %s |".formatted(members, perSecond(counts.segments()),
					perSecond(counts.segments() * HEADER_BYTES), kinds);
		})
			.collect(Collectors.joining("\n",
					"| members | segments/s | headers, bytes/s | frames, bytes/s |\n| --- | --- | --- | --- |\n",
					"\n"));
	}

	private static Slope overCells(String name, String unit, ToDoubleFunction<SimulatedCell> measurement) {
		return SlopeSuite.over(name, "members", unit, MEMBERS, (members) -> {
			SimulatedCell cell = settled(members);
			cell.run(COUNTED_MILLIS);
			return measurement.applyAsDouble(cell);
		});
	}

	private static Slope changes(String name, Consumer<SimulatedCell> change) {
		return SlopeSuite.over(name, "members", "writes", MEMBERS, (members) -> {
			SimulatedCell cell = settled(members);
			change.accept(cell);
			cell.run(COUNTED_MILLIS);
			return cell.tableWrites();
		});
	}

	private static void replace(SimulatedCell cell) {
		cell.join();
		cell.run(SETTLING_MILLIS);
		cell.leave(cell.plainMember());
	}

	private static SimulatedCell settled(int members) {
		SimulatedCell cell = new SimulatedCell(members);
		cell.run(SETTLING_MILLIS);
		cell.resetCounts();
		return cell;
	}

	private static double wireBytes(SimulatedCell cell, InstanceId instance) {
		SimulatedCell.Counts counts = cell.counts(instance);
		return perSecond(counts.frameBytes() + counts.segments() * HEADER_BYTES);
	}

	private static double perSecond(long count) {
		return count * (double) MILLIS_PER_SECOND / COUNTED_MILLIS;
	}

	private static CellRow withRanges(CellRow row, int count) {
		RangeState example = row.ranges().getFirst();
		return row.withRanges(KeyRange.split(count).stream().map(example::withRange).toList());
	}

}
