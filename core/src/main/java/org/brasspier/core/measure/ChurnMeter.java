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
 * Counts the points whose owner changes between consecutive views of a cell. For points
 * without an owner, the last owner is remembered, so that a loss counts once, when
 * another instance takes over. Not thread-safe.
 */
public final class ChurnMeter {

	private final Map<ServiceName, TreeMap<Long, OwnedRange>> lastOwners = new HashMap<>();

	/**
	 * Processes the next view of a service.
	 * @param service the service
	 * @param ranges its ranges, in order
	 * @return the number of points whose owner differs from their last owner
	 */
	public long update(ServiceName service, List<OwnedRange> ranges) {
		TreeMap<Long, OwnedRange> before = this.lastOwners.getOrDefault(service, new TreeMap<>());
		TreeMap<Long, OwnedRange> after = new TreeMap<>();
		long moved = 0;
		for (OwnedRange range : ranges) {
			moved += moved(before, range);
			remember(before, range, after);
		}
		this.lastOwners.put(service, after);
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
	 * @param range the range
	 * @param owner the owner, or empty if there is none
	 */
	public record OwnedRange(KeyRange range, Optional<InstanceId> owner) {

	}

}
