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
 * Decides who is to have which keys. It moves as little as it can, since every move costs
 * the keys some hundred milliseconds and, without a handover, their warm state. Stateless
 * and thread-safe.
 */
public final class KeyPlanner {

	private KeyPlanner() {
	}

	/**
	 * Takes the keys of lost owners and deals them to the others.
	 * @param map who holds what
	 * @param lost owners whose leases have certainly ended
	 * @param holders who can hold keys now
	 * @return the new map; empty if nothing changes
	 */
	public static Optional<KeyMap> reassignLost(KeyMap map, Set<InstanceId> lost, List<KeyHolder> holders) {
		boolean none = map.holdings().stream().noneMatch((held) -> lost.contains(held.holder()));
		if (none || holders.isEmpty()) {
			return Optional.empty();
		}
		KeyAllocator dealer = new KeyAllocator(map, holders);
		return Optional.of(map.reassigned((held) -> lost.contains(held.holder()), (held) -> dealer.least(held.span()),
				(held) -> ""));
	}

	/**
	 * Gives this instance's keys to the new life of its backend server.
	 * @param map who holds what
	 * @param holder the instance and the life of its backend server
	 * @return the new map; empty if nothing changes
	 */
	public static Optional<KeyMap> reassignToIncarnation(KeyMap map, KeyHolder holder) {
		boolean none = map.heldBy(holder.instance())
			.stream()
			.allMatch((held) -> held.incarnation().equals(holder.incarnation()));
		if (none) {
			return Optional.empty();
		}
		return Optional.of(map.reassigned(
				(held) -> held.holder().equals(holder.instance()) && !held.incarnation().equals(holder.incarnation()),
				(held) -> holder, (held) -> ""));
	}

	/**
	 * Finds other targets for keys that were to go to somebody who can't have them.
	 * Without it they are unserved: their server has released them, and their next holder
	 * never takes them.
	 * @param map who holds what
	 * @param whose which holdings to look at
	 * @param holders who can hold keys now
	 * @return the new map; empty if nothing changes
	 */
	public static Optional<KeyMap> retarget(KeyMap map, Predicate<KeyHolding> whose, List<KeyHolder> holders) {
		return reassignLeaving(map, Set.of(), whose, holders);
	}

	/**
	 * Finds new owners for all keys of an instance that leaves, and for those that were
	 * to go to somebody who can't have them.
	 * @param map who holds what
	 * @param leaving the instances that leave
	 * @param holders who can hold keys now, without those that leave
	 * @return the new map; empty if nothing changes
	 */
	public static Optional<KeyMap> reassignLeaving(KeyMap map, Set<InstanceId> leaving, List<KeyHolder> holders) {
		return reassignLeaving(map, leaving, (held) -> true, holders);
	}

	private static Optional<KeyMap> reassignLeaving(KeyMap map, Set<InstanceId> leaving, Predicate<KeyHolding> whose,
			List<KeyHolder> holders) {
		Set<InstanceId> able = new HashSet<>(holders.stream().map(KeyHolder::instance).toList());
		Predicate<KeyHolding> stays = (held) -> !whose.test(held)
				|| held.nextHolder().map(able::contains).orElse(!leaving.contains(held.holder()));
		if (holders.isEmpty() || map.holdings().stream().allMatch(stays)) {
			return Optional.empty();
		}
		KeyAllocator dealer = new KeyAllocator(map, holders);
		KeyMap planned = map.withNextHolders((held) -> stays.test(held) ? Optional.empty()
				: Optional.of(able.contains(held.holder()) ? held.holder() : dealer.least(held.span()).instance()));
		return changed(map, planned);
	}

	/**
	 * Gives holders that have no keys an even part of them, from those with most. Who has
	 * some keys may have few because they are busy ones; that is for
	 * {@link KeyRebalancer}.
	 * @param map who holds what
	 * @param holders who can hold keys now
	 * @return the new map; empty if nothing changes
	 */
	public static Optional<KeyMap> fillEmptyHolders(KeyMap map, List<KeyHolder> holders) {
		if (holders.isEmpty()) {
			return Optional.empty();
		}
		KeyAllocator dealer = new KeyAllocator(map, holders);
		List<KeyHolder> withoutKeys = dealer.withoutKeys();
		if (withoutKeys.isEmpty()) {
			return Optional.empty();
		}
		double even = (KeySpan.LAST_KEY + 1.0) / holders.size();
		Map<KeySpan, InstanceId> moves = new HashMap<>();
		for (KeyHolder poor : withoutKeys) {
			fillUp(map, dealer, poor.instance(), even, moves);
		}
		return changed(map, map.withNextHolders((held) -> Optional.ofNullable(moves.get(held.span()))));
	}

	private static void fillUp(KeyMap map, KeyAllocator dealer, InstanceId poor, double even,
			Map<KeySpan, InstanceId> moves) {
		List<KeyHolding> movable = new ArrayList<>(map.holdings());
		movable.removeIf((held) -> held.nextHolder().isPresent() || held.holder().equals(poor));
		while (dealer.keys(poor) < even) {
			Optional<KeyHolding> next = movable.stream()
				.filter((held) -> dealer.keys(held.holder()) - held.span().size() >= dealer.keys(poor))
				.max(Comparator.comparingInt((held) -> dealer.keys(held.holder())));
			if (next.isEmpty()) {
				return;
			}
			movable.remove(next.get());
			dealer.move(next.get(), poor);
			moves.put(next.get().span(), poor);
		}
	}

	private static Optional<KeyMap> changed(KeyMap before, KeyMap after) {
		return before.holdings().equals(after.holdings()) ? Optional.empty() : Optional.of(after);
	}

	/**
	 * How many keys each holder has or is to have.
	 */
	private static final class KeyAllocator {

		private final List<KeyHolder> holders;

		private final Map<InstanceId, Integer> keys = new HashMap<>();

		KeyAllocator(KeyMap map, List<KeyHolder> holders) {
			this.holders = holders;
			holders.forEach((holder) -> this.keys.put(holder.instance(), 0));
			map.holdings()
				.forEach((held) -> this.keys.computeIfPresent(held.nextHolder().orElse(held.holder()),
						(key, had) -> had + held.span().size()));
		}

		KeyHolder least(KeySpan span) {
			KeyHolder least = this.holders.stream()
				.min(Comparator.comparingInt((KeyHolder holder) -> keys(holder.instance()))
					.thenComparing(KeyHolder::instance))
				.orElseThrow();
			this.keys.merge(least.instance(), span.size(), Integer::sum);
			return least;
		}

		List<KeyHolder> withoutKeys() {
			return this.holders.stream().filter((holder) -> keys(holder.instance()) == 0).toList();
		}

		int keys(InstanceId instance) {
			return this.keys.getOrDefault(instance, 0);
		}

		void move(KeyHolding held, InstanceId to) {
			this.keys.computeIfPresent(held.holder(), (key, had) -> had - held.span().size());
			this.keys.merge(to, held.span().size(), Integer::sum);
		}

	}

}
