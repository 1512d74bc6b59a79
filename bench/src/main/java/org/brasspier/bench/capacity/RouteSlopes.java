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
 * What the ranges that a daemon knows of cost it: the memory of the route table, and the
 * time to look one key up.
 */
final class RouteSlopes implements SlopeSuite {

	private static final int[] RANGES = { 64, 256, 1024, 4096, 16384 };

	private static final int OWNERS = 20;

	private static final int KEYS = 1024;

	private static final ServiceName SERVICE = new ServiceName("hullbook");

	@Override
	public List<Slope> measure() {
		return List.of(
				SlopeSuite.over("route table, memory", "ranges", "bytes", RANGES,
						(ranges) -> Probe.bytesKept(() -> table(ranges))),
				SlopeSuite.over("route table, rebuilding", "ranges", "ns", RANGES, (ranges) -> {
					List<Assignment> assignments = assignments(ranges);
					return Probe.nanosEach(() -> RouteTable.of(1, Map.of(SERVICE, assignments)));
				}), SlopeSuite.over("looking a key up", "ranges", "ns", RANGES, RouteSlopes::lookUp));
	}

	private static double lookUp(int ranges) {
		RouteTable table = table(ranges);
		List<KeyHash> keys = new SplittableRandom(1).longs(KEYS, 0, KeyHash.SPACE).mapToObj(KeyHash::new).toList();
		double all = Probe.nanosEach(() -> keys.stream().map((key) -> table.find(SERVICE, key)).toList());
		return all / KEYS;
	}

	private static RouteTable table(int ranges) {
		return RouteTable.of(1, Map.of(SERVICE, assignments(ranges)));
	}

	private static List<Assignment> assignments(int ranges) {
		List<KeyRange> parts = KeyRange.split(ranges);
		return IntStream.range(0, ranges)
			.mapToObj((i) -> new Assignment(parts.get(i), new InstanceId("i" + i % OWNERS), new Fence(i + 1L)))
			.toList();
	}

}
