package org.brasspier.core.keys;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

import org.brasspier.core.InstanceId;

/**
 * Assigns keys to holders. Moves as few keys as possible, because each move interrupts
 * service for its keys for some hundred milliseconds and, without a handover, loses their
 * warm state. Stateless and thread-safe.
 */
public final class KeyPlanner {

	private KeyPlanner() {
	}

	/**
	 * Reassigns the keys of lost holders to the remaining holders.
	 * @param map the current key map
	 * @param lost holders whose leases have definitely ended
	 * @param holders servers that can hold keys now
	 * @return the new map; empty if nothing changes
	 */
	public static Optional<KeyMap> reassignLost(KeyMap map, Set<InstanceId> lost, List<KeyHolder> holders) {
		boolean nothingToDo = map.holdings().stream().noneMatch((held) -> lost.contains(held.holder()));
		if (nothingToDo || holders.isEmpty()) {
			return Optional.empty();
		}
		KeyAllocator allocator = new KeyAllocator(map, holders);
		return Optional.of(map.reassigned((held) -> lost.contains(held.holder()),
				(held) -> allocator.assignToSmallest(held.span()), (held) -> ""));
	}

	/**
	 * Reassigns an instance's keys to the new incarnation of its backend server.
	 * @param map the current key map
	 * @param holder the instance and the incarnation of its backend server
	 * @return the new map; empty if nothing changes
	 */
	public static Optional<KeyMap> reassignToIncarnation(KeyMap map, KeyHolder holder) {
		boolean nothingToDo = map.heldBy(holder.instance())
			.stream()
			.allMatch((held) -> held.incarnation().equals(holder.incarnation()));
		if (nothingToDo) {
			return Optional.empty();
		}
		return Optional.of(map.reassigned(
				(held) -> held.holder().equals(holder.instance()) && !held.incarnation().equals(holder.incarnation()),
				(held) -> holder, (held) -> ""));
	}

	/**
	 * Chooses new next holders for holdings whose next holder can't take them. Otherwise
	 * those keys would remain unserved: the current holder has released them, and the
	 * next holder never takes them.
	 * @param map the current key map
	 * @param selected selects the holdings to check
	 * @param holders servers that can hold keys now
	 * @return the new map; empty if nothing changes
	 */
	public static Optional<KeyMap> retarget(KeyMap map, Predicate<KeyHolding> selected, List<KeyHolder> holders) {
		return reassignLeaving(map, Set.of(), selected, holders);
	}

	/**
	 * Chooses next holders for all keys of leaving instances, and for holdings whose next
	 * holder can't take them.
	 * @param map the current key map
	 * @param leaving the leaving instances
	 * @param holders servers that can hold keys now, without the leaving ones
	 * @return the new map; empty if nothing changes
	 */
	public static Optional<KeyMap> reassignLeaving(KeyMap map, Set<InstanceId> leaving, List<KeyHolder> holders) {
		return reassignLeaving(map, leaving, (held) -> true, holders);
	}

	private static Optional<KeyMap> reassignLeaving(KeyMap map, Set<InstanceId> leaving, Predicate<KeyHolding> selected,
			List<KeyHolder> holders) {
		Set<InstanceId> available = new HashSet<>(holders.stream().map(KeyHolder::instance).toList());
		Predicate<KeyHolding> unchanged = (held) -> !selected.test(held)
				|| held.nextHolder().map(available::contains).orElse(!leaving.contains(held.holder()));
		if (holders.isEmpty() || map.holdings().stream().allMatch(unchanged)) {
			return Optional.empty();
		}
		KeyAllocator allocator = new KeyAllocator(map, holders);
		KeyMap planned = map.withNextHolders(
				(held) -> unchanged.test(held) ? Optional.empty() : Optional.of(available.contains(held.holder())
						? held.holder() : allocator.assignToSmallest(held.span()).instance()));
		return changed(map, planned);
	}

	/**
	 * Moves an even part of the keys to each holder that has none, taking them from the
	 * holders with the most keys. A holder with few keys may have few because they are
	 * busy; {@link KeyRebalancer} handles that case.
	 * @param map the current key map
	 * @param holders servers that can hold keys now
	 * @return the new map; empty if nothing changes
	 */
	public static Optional<KeyMap> fillEmptyHolders(KeyMap map, List<KeyHolder> holders) {
		if (holders.isEmpty()) {
			return Optional.empty();
		}
		KeyAllocator allocator = new KeyAllocator(map, holders);
		List<KeyHolder> emptyHolders = allocator.emptyHolders();
		if (emptyHolders.isEmpty()) {
			return Optional.empty();
		}
		double evenCount = (KeySpan.LAST_KEY + 1.0) / holders.size();
		Map<KeySpan, InstanceId> moves = new HashMap<>();
		for (KeyHolder target : emptyHolders) {
			fillHolder(map, allocator, target.instance(), evenCount, moves);
		}
		return changed(map, map.withNextHolders((held) -> Optional.ofNullable(moves.get(held.span()))));
	}

	private static void fillHolder(KeyMap map, KeyAllocator allocator, InstanceId target, double evenCount,
			Map<KeySpan, InstanceId> moves) {
		List<KeyHolding> movable = new ArrayList<>(map.holdings());
		movable.removeIf((held) -> held.nextHolder().isPresent() || held.holder().equals(target));
		while (allocator.keys(target) < evenCount) {
			Optional<KeyHolding> next = movable.stream()
				.filter((held) -> allocator.keys(held.holder()) - held.span().size() >= allocator.keys(target))
				.max(Comparator.comparingInt((held) -> allocator.keys(held.holder())));
			if (next.isEmpty()) {
				return;
			}
			movable.remove(next.get());
			allocator.move(next.get(), target);
			moves.put(next.get().span(), target);
		}
	}

	private static Optional<KeyMap> changed(KeyMap before, KeyMap after) {
		return before.holdings().equals(after.holdings()) ? Optional.empty() : Optional.of(after);
	}

	/**
	 * Number of keys that each holder owns or is about to own.
	 */
	private static final class KeyAllocator {

		private final List<KeyHolder> holders;

		private final Map<InstanceId, Integer> keys = new HashMap<>();

		KeyAllocator(KeyMap map, List<KeyHolder> holders) {
			this.holders = holders;
			holders.forEach((holder) -> this.keys.put(holder.instance(), 0));
			map.holdings()
				.forEach((held) -> this.keys.computeIfPresent(held.nextHolder().orElse(held.holder()),
						(key, count) -> count + held.span().size()));
		}

		KeyHolder assignToSmallest(KeySpan span) {
			KeyHolder smallest = this.holders.stream()
				.min(Comparator.comparingInt((KeyHolder holder) -> keys(holder.instance()))
					.thenComparing(KeyHolder::instance))
				.orElseThrow();
			this.keys.merge(smallest.instance(), span.size(), Integer::sum);
			return smallest;
		}

		List<KeyHolder> emptyHolders() {
			return this.holders.stream().filter((holder) -> keys(holder.instance()) == 0).toList();
		}

		int keys(InstanceId instance) {
			return this.keys.getOrDefault(instance, 0);
		}

		void move(KeyHolding held, InstanceId to) {
			this.keys.computeIfPresent(held.holder(), (key, count) -> count - held.span().size());
			this.keys.merge(to, held.span().size(), Integer::sum);
		}

	}

}
