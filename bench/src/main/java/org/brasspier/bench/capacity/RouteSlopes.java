package org.brasspier.bench.capacity;

import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

import org.brasspier.core.Fence;
import org.brasspier.core.InstanceId;
import org.brasspier.core.KeyHash;
import org.brasspier.core.KeyRange;
import org.brasspier.core.ServiceName;
import org.brasspier.core.routing.Assignment;
import org.brasspier.core.routing.RouteTable;

/**
 * Measures the memory of the route table, and the time to rebuild it and to look up a
 * key, by the number of ranges in it.
 */
final class RouteSlopes implements SlopeSuite {

	private static final int[] RANGES = { 64, 256, 1024, 4096, 16384 };

	private static final int OWNERS = 20;

	private static final int KEYS = 1024;

	private static final ServiceName SERVICE = new ServiceName("hullbook");

	@Override
	public List<Slope> measure() {
		return List.of(
				SlopeSuite.measureSlope("route table, memory", "ranges", "bytes", RANGES,
						(ranges) -> ResourceProbe.retainedBytes(() -> newRouteTable(ranges))),
				SlopeSuite.measureSlope("route table, rebuilding", "ranges", "ns", RANGES, (ranges) -> {
					List<Assignment> assignments = newAssignments(ranges);
					return ResourceProbe.medianCpuNanos(() -> RouteTable.of(1, Map.of(SERVICE, assignments)));
				}), SlopeSuite.measureSlope("looking a key up", "ranges", "ns", RANGES, RouteSlopes::meanLookupNanos));
	}

	private static double meanLookupNanos(int ranges) {
		RouteTable table = newRouteTable(ranges);
		List<KeyHash> keys = new SplittableRandom(1).longs(KEYS, 0, KeyHash.SPACE).mapToObj(KeyHash::new).toList();
		double totalNanos = ResourceProbe
			.medianCpuNanos(() -> keys.stream().map((key) -> table.find(SERVICE, key)).toList());
		return totalNanos / KEYS;
	}

	private static RouteTable newRouteTable(int ranges) {
		return RouteTable.of(1, Map.of(SERVICE, newAssignments(ranges)));
	}

	private static List<Assignment> newAssignments(int ranges) {
		List<KeyRange> keyRanges = KeyRange.split(ranges);
		return IntStream.range(0, ranges)
			.mapToObj((i) -> new Assignment(keyRanges.get(i), new InstanceId("i" + i % OWNERS), new Fence(i + 1L)))
			.toList();
	}

}
