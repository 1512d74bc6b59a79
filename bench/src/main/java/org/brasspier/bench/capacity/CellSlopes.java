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
 * Measures how the load on lease managers, on members and on the metadata table grows
 * with the number of members and ranges in a cell.
 */
final class CellSlopes implements SlopeSuite {

	/** Size of the IPv4 and TCP headers, with the TCP timestamps that Linux sends. */
	static final int HEADER_BYTES = 52;

	private static final int[] MEMBERS = { 4, 8, 12, 16, 20, 24 };

	private static final int[] RANGES = { 64, 128, 256, 512, 1024 };

	private static final int SETTLING_MILLIS = 20_000;

	private static final int MEASURED_MILLIS = 60_000;

	private static final int MILLIS_PER_SECOND = 1000;

	@Override
	public List<Slope> measure() {
		List<Slope> slopes = new ArrayList<>(List.of(
				measureSteadyState("primary lease manager, control traffic", "bytes/s",
						(cell) -> wireBytesPerSecond(cell, cell.primaryInstance())),
				measureSteadyState("member, control traffic", "bytes/s",
						(cell) -> wireBytesPerSecond(cell, cell.plainMember())),
				measureSteadyState("primary lease manager, deciding and coding", "us/s",
						(cell) -> cell.counts(cell.primaryInstance()).nanos() / (double) MEASURED_MILLIS),
				measureSteadyState("member, deciding and coding", "us/s",
						(cell) -> cell.counts(cell.plainMember()).nanos() / (double) MEASURED_MILLIS),
				measureSteadyState("cell, calls of the table in steady state", "calls/s",
						(cell) -> perSecond(cell.tableCalls())),
				measureChange("loss of a plain member, writes of the row", (cell) -> cell.crash(cell.plainMember())),
				measureChange("loss of the primary, writes of the row", (cell) -> cell.crash(cell.primaryInstance())),
				measureChange("loss of the primary's failure domain, writes of the row",
						SimulatedCell::crashDomainOfPrimary),
				measureChange("replacement as planned, writes of the row", CellSlopes::replace)));
		CellRow full = newSettledCell(MEMBERS[MEMBERS.length - 1]).row();
		slopes.add(SlopeSuite.measureSlope("row of a cell of 24, size", "ranges", "bytes", RANGES,
				(ranges) -> CellRowCodec.encode(withRanges(full, ranges)).length));
		slopes.add(SlopeSuite.measureSlope("row of a cell of 24, reading and writing", "ranges", "us", RANGES,
				(ranges) -> {
					CellRow row = withRanges(full, ranges);
					return ResourceProbe.medianCpuNanos(() -> CellRowCodec.decode(CellRowCodec.encode(row)))
							/ MILLIS_PER_SECOND;
				}));
		return slopes;
	}

	/**
	 * Breaks the traffic of a primary lease manager down by message type, to show where
	 * it can be reduced.
	 * @return a Markdown table
	 */
	static String primaryTrafficByMessageType() {
		return Arrays.stream(MEMBERS).mapToObj((members) -> {
			SimulatedCell cell = newSettledCell(members);
			cell.run(MEASURED_MILLIS);
			SimulatedCell.Counts counts = cell.counts(cell.primaryInstance());
			Map<String, Long> bytesPerSecondByType = new TreeMap<>();
			counts.bytesByMessageType()
				.forEach((type, bytes) -> bytesPerSecondByType.put(type, Math.round(perSecond(bytes))));
			return "| %d | %.0f | %.0f | %s |".formatted(members, perSecond(counts.segments()),
					perSecond(counts.segments() * HEADER_BYTES), bytesPerSecondByType);
		})
			.collect(Collectors.joining("\n",
					"| members | segments/s | headers, bytes/s | frames, bytes/s |\n| --- | --- | --- | --- |\n",
					"\n"));
	}

	private static Slope measureSteadyState(String name, String unit, ToDoubleFunction<SimulatedCell> measurement) {
		return SlopeSuite.measureSlope(name, "members", unit, MEMBERS, (members) -> {
			SimulatedCell cell = newSettledCell(members);
			cell.run(MEASURED_MILLIS);
			return measurement.applyAsDouble(cell);
		});
	}

	private static Slope measureChange(String name, Consumer<SimulatedCell> change) {
		return SlopeSuite.measureSlope(name, "members", "writes", MEMBERS, (members) -> {
			SimulatedCell cell = newSettledCell(members);
			change.accept(cell);
			cell.run(MEASURED_MILLIS);
			return cell.tableWrites();
		});
	}

	private static void replace(SimulatedCell cell) {
		cell.join();
		cell.run(SETTLING_MILLIS);
		cell.leave(cell.plainMember());
	}

	private static SimulatedCell newSettledCell(int members) {
		SimulatedCell cell = new SimulatedCell(members);
		cell.run(SETTLING_MILLIS);
		cell.resetCounts();
		return cell;
	}

	private static double wireBytesPerSecond(SimulatedCell cell, InstanceId instance) {
		SimulatedCell.Counts counts = cell.counts(instance);
		return perSecond(counts.frameBytes() + counts.segments() * HEADER_BYTES);
	}

	private static double perSecond(long count) {
		return count * (double) MILLIS_PER_SECOND / MEASURED_MILLIS;
	}

	private static CellRow withRanges(CellRow row, int count) {
		RangeState example = row.ranges().getFirst();
		return row.withRanges(KeyRange.split(count).stream().map(example::withRange).toList());
	}

}
