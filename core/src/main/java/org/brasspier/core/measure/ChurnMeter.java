package org.brasspier.core.measure;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.brasspier.core.InstanceId;
import org.brasspier.core.KeyRange;
import org.brasspier.core.ServiceName;

/**
 * Counts the points that change their owner from one view of a cell to the next. Points
 * without owner keep their last one in memory, so a loss counts once, when another
 * instance takes over. Not thread-safe.
 */
public final class ChurnMeter {

	private final Map<ServiceName, TreeMap<Long, OwnedRange>> last = new HashMap<>();

	/**
	 * Takes the next view of a service.
	 * @param service the service
	 * @param ranges its ranges, in order
	 * @return how many points have another owner than the last one they had
	 */
	public long update(ServiceName service, List<OwnedRange> ranges) {
		TreeMap<Long, OwnedRange> before = this.last.getOrDefault(service, new TreeMap<>());
		TreeMap<Long, OwnedRange> after = new TreeMap<>();
		long moved = 0;
		for (OwnedRange range : ranges) {
			moved += moved(before, range);
			remember(before, range, after);
		}
		this.last.put(service, after);
		return moved;
	}

	private static long moved(TreeMap<Long, OwnedRange> before, OwnedRange range) {
		return (range.owner().isEmpty()) ? 0
				: before.values()
					.stream()
					.filter((earlier) -> earlier.owner().isPresent() && !earlier.owner().equals(range.owner()))
					.mapToLong((earlier) -> overlap(earlier.range(), range.range()))
					.sum();
	}

	private static void remember(TreeMap<Long, OwnedRange> before, OwnedRange range, TreeMap<Long, OwnedRange> after) {
		if (range.owner().isPresent()) {
			after.put(range.range().low(), range);
			return;
		}
		before.values()
			.stream()
			.filter((earlier) -> overlap(earlier.range(), range.range()) > 0)
			.map((earlier) -> new OwnedRange(new KeyRange(Math.max(earlier.range().low(), range.range().low()),
					Math.min(earlier.range().high(), range.range().high())), earlier.owner()))
			.forEach((part) -> after.put(part.range().low(), part));
	}

	private static long overlap(KeyRange one, KeyRange other) {
		return Math.max(0, Math.min(one.high(), other.high()) - Math.max(one.low(), other.low()));
	}

	/**
	 * A range with its owner.
	 *
	 * @param range the points
	 * @param owner who owns them, if anybody does
	 */
	public record OwnedRange(KeyRange range, Optional<InstanceId> owner) {

	}

}
