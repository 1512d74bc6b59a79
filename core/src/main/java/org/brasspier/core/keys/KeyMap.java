package org.brasspier.core.keys;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.brasspier.core.Fence;
import org.brasspier.core.InstanceId;

/**
 * Assigns each key of one service to a holder, as stored in the platform's store. Covers
 * every key exactly once. Each change of holder takes the next fence, so no fence is
 * issued twice. Immutable and thread-safe.
 */
public final class KeyMap {

	/**
	 * Initial number of spans of each holder. Busy keys lie close together, so many
	 * narrow spans spread them better than few wide ones. 16 rows are a tenth of what an
	 * answer to a heartbeat may carry.
	 */
	static final int SPANS_PER_HOLDER = 16;

	/**
	 * Approximate number of spans in the initial map. With many holders the spans are
	 * narrow in any case, and every change sends the whole map.
	 */
	static final int INITIAL_SPANS = 256;

	/**
	 * The most spans that fit into one row of the store when each has all its optional
	 * fields.
	 */
	static final int MAX_SPANS = 1000;

	private final List<KeyHolding> holdings;

	private final long nextFence;

	private final int[] firstKeys;

	/**
	 * Creates a map.
	 * @param holdings the holdings; together they cover all keys exactly once
	 * @param nextFence a fence above all fences issued so far
	 * @throws IllegalArgumentException if a key is missing or assigned twice, or a fence
	 * is too high
	 */
	public KeyMap(List<KeyHolding> holdings, long nextFence) {
		this.holdings = holdings.stream().sorted(Comparator.comparingInt((held) -> held.span().from())).toList();
		this.nextFence = nextFence;
		int expected = 0;
		for (KeyHolding held : this.holdings) {
			if (held.span().from() != expected || held.fence().value() >= nextFence) {
				throw new IllegalArgumentException("keys %s under fence %s: key %d is due and fences lie below %d"
					.formatted(held.span(), held.fence(), expected, nextFence));
			}
			expected = held.span().to() + 1;
		}
		if (expected != KeySpan.LAST_KEY + 1) {
			throw new IllegalArgumentException("keys from %d upwards have no holder".formatted(expected));
		}
		this.firstKeys = this.holdings.stream().mapToInt((held) -> held.span().from()).toArray();
	}

	/**
	 * Returns the first map of a service: equal spans, assigned to the holders
	 * round-robin.
	 * @param holders servers that can hold keys; at least one
	 * @return the map
	 */
	public static KeyMap initial(List<KeyHolder> holders) {
		int count = holders.size() * Math.clamp(INITIAL_SPANS / holders.size(), 1, SPANS_PER_HOLDER);
		long keys = KeySpan.LAST_KEY + 1L;
		List<KeyHolding> assigned = IntStream.range(0, count).mapToObj((i) -> {
			KeySpan span = new KeySpan((int) (keys * i / count), (int) (keys * (i + 1) / count - 1));
			KeyHolder holder = holders.get(i % holders.size());
			return new KeyHolding(span, holder.instance(), holder.incarnation(), new Fence(i + 1L), "",
					Optional.empty());
		}).toList();
		return new KeyMap(assigned, count + 1L);
	}

	/**
	 * Merges adjacent holdings that differ only in their keys, so that the number of
	 * spans does not grow with each split.
	 * @return an equivalent map with as few spans as possible
	 */
	public KeyMap merged() {
		List<KeyHolding> result = new ArrayList<>();
		for (KeyHolding held : this.holdings) {
			KeyHolding last = result.isEmpty() ? null : result.get(result.size() - 1);
			if (last != null && last.canMergeWith(held)) {
				result.set(result.size() - 1, last.withSpan(new KeySpan(last.span().from(), held.span().to())));
			}
			else {
				result.add(held);
			}
		}
		return new KeyMap(result, this.nextFence);
	}

	/**
	 * Returns all holdings in the order of their keys.
	 * @return an unmodifiable list
	 */
	public List<KeyHolding> holdings() {
		return this.holdings;
	}

	/**
	 * Returns the fence for the next change of holder.
	 * @return a fence above all fences in the map
	 */
	public long nextFence() {
		return this.nextFence;
	}

	/**
	 * Returns the holding that contains a key.
	 * @param key the key, 0 to 65535
	 * @return the holding
	 */
	public KeyHolding holding(int key) {
		if (key < 0 || key > KeySpan.LAST_KEY) {
			throw new IllegalArgumentException("key %d must be from 0 to %d".formatted(key, KeySpan.LAST_KEY));
		}
		int index = Arrays.binarySearch(this.firstKeys, key);
		return this.holdings.get((index >= 0) ? index : -index - 2);
	}

	/**
	 * Returns the holdings of an instance.
	 * @param holder the instance
	 * @return its holdings in the order of their keys
	 */
	public List<KeyHolding> heldBy(InstanceId holder) {
		return this.holdings.stream().filter((held) -> held.holder().equals(holder)).toList();
	}

	/**
	 * Returns the instances affected by the change from another map to this one.
	 * @param before the previous map; empty if there was none
	 * @return the holders and next holders of the holdings that differ
	 */
	public Set<InstanceId> affectedInstances(Optional<KeyMap> before) {
		Set<KeyHolding> known = before.map(KeyMap::holdings).<Set<KeyHolding>>map(HashSet::new).orElseGet(Set::of);
		return this.holdings.stream()
			.filter((held) -> !known.contains(held))
			.flatMap((held) -> Stream.concat(Stream.of(held.holder()), held.nextHolder().stream()))
			.collect(Collectors.toSet());
	}

	/**
	 * Assigns holdings to new holders under the next fence.
	 * @param moved selects the holdings to reassign
	 * @param holder returns the new holder of a holding
	 * @param handover returns the previous holder's handover for a holding; empty if
	 * there is none
	 * @return the new map
	 */
	public KeyMap reassigned(Predicate<KeyHolding> moved, Function<KeyHolding, KeyHolder> holder,
			Function<KeyHolding, String> handover) {
		Fence fence = new Fence(this.nextFence);
		return new KeyMap(this.holdings.stream().map((held) -> {
			if (!moved.test(held)) {
				return held;
			}
			KeyHolder to = holder.apply(held);
			return new KeyHolding(held.span(), to.instance(), to.incarnation(), fence, handover.apply(held),
					Optional.empty());
		}).toList(), this.nextFence + 1);
	}

	/**
	 * Plans moves of spans; splits a holding where a span is only part of it. The current
	 * holders keep serving until they have released the spans.
	 * @param moves the next holder of each span; a span is ignored unless it lies within
	 * one holding that has no next holder
	 * @return the new map
	 */
	public KeyMap withPlannedMoves(Map<KeySpan, InstanceId> moves) {
		List<KeyHolding> result = new ArrayList<>();
		for (KeyHolding held : this.holdings) {
			List<KeySpan> inside = moves.keySet()
				.stream()
				.filter((span) -> held.span().covers(span) && held.nextHolder().isEmpty())
				.sorted(Comparator.comparingInt(KeySpan::from))
				.toList();
			split(held, inside, moves, result);
		}
		return new KeyMap(result, this.nextFence);
	}

	private static void split(KeyHolding held, List<KeySpan> inside, Map<KeySpan, InstanceId> moves,
			List<KeyHolding> result) {
		int from = held.span().from();
		for (KeySpan span : inside) {
			if (span.from() > from) {
				result.add(held.withSpan(new KeySpan(from, span.from() - 1)));
			}
			InstanceId next = moves.get(span);
			KeyHolding part = held.withSpan(span);
			result.add((next != null) ? part.withNextHolder(next) : part);
			from = span.to() + 1;
		}
		if (from <= held.span().to()) {
			result.add(held.withSpan(new KeySpan(from, held.span().to())));
		}
	}

	/**
	 * Plans moves of whole holdings. The current holders keep serving until they have
	 * released them.
	 * @param nextHolders returns the next holder of a holding; empty to leave the holding
	 * unchanged
	 * @return the new map
	 */
	public KeyMap withNextHolders(Function<KeyHolding, Optional<InstanceId>> nextHolders) {
		return new KeyMap(this.holdings.stream()
			.map((held) -> nextHolders.apply(held)
				.map((next) -> next.equals(held.holder()) ? held.withoutNextHolder() : held.withNextHolder(next))
				.orElse(held))
			.toList(), this.nextFence);
	}

}
