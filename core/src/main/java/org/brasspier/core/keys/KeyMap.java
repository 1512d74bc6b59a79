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
 * Who holds each key of one service, as the platform's store has it. It covers all keys,
 * each once. Every change of holder takes the next fence, so a fence that was given out
 * is never given again. Immutable and thread-safe.
 */
public final class KeyMap {

	/**
	 * Spans a backend server begins with. Busy keys lie close together, so many narrow
	 * spans spread them better than few wide ones; sixteen rows are a tenth of what an
	 * answer to a heartbeat may carry.
	 */
	static final int SPANS_PER_HOLDER = 16;

	/**
	 * Spans of a service to begin with. With many holders they are narrow anyway, and
	 * every change of the map is passed on whole.
	 */
	static final int INITIAL_SPANS = 256;

	/** So many fit a row of the store, each with all that can be said of it. */
	static final int MAX_SPANS = 1000;

	private final List<KeyHolding> holdings;

	private final long nextFence;

	private final int[] firstKeys;

	/**
	 * Creates a map.
	 * @param holdings who holds what, covering all keys once
	 * @param nextFence a fence above all that were ever given out
	 * @throws IllegalArgumentException if a key is missing or there twice, or a fence is
	 * too high
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
			throw new IllegalArgumentException("keys from %d on have no holder".formatted(expected));
		}
		this.firstKeys = this.holdings.stream().mapToInt((held) -> held.span().from()).toArray();
	}

	/**
	 * The first map of a service: all keys in equal spans, dealt to the holders in turn.
	 * @param holders who can hold keys; at least one
	 * @return the map
	 */
	public static KeyMap initial(List<KeyHolder> holders) {
		int count = holders.size() * Math.clamp(INITIAL_SPANS / holders.size(), 1, SPANS_PER_HOLDER);
		long keys = KeySpan.LAST_KEY + 1L;
		List<KeyHolding> dealt = IntStream.range(0, count).mapToObj((i) -> {
			KeySpan span = new KeySpan((int) (keys * i / count), (int) (keys * (i + 1) / count - 1));
			KeyHolder holder = holders.get(i % holders.size());
			return new KeyHolding(span, holder.instance(), holder.incarnation(), new Fence(i + 1L), "",
					Optional.empty());
		}).toList();
		return new KeyMap(dealt, count + 1L);
	}

	/**
	 * Joins neighbouring holdings that differ in nothing but their keys, so that the
	 * number of spans does not grow with each cut.
	 * @return the same map in as few spans as that allows
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
	 * All holdings, by key.
	 * @return an unmodifiable list
	 */
	public List<KeyHolding> holdings() {
		return this.holdings;
	}

	/**
	 * The fence that the next change of holder takes.
	 * @return above all fences in the map
	 */
	public long nextFence() {
		return this.nextFence;
	}

	/**
	 * Who holds a key.
	 * @param key the key, 0 to 65535
	 * @return its holding
	 */
	public KeyHolding holding(int key) {
		if (key < 0 || key > KeySpan.LAST_KEY) {
			throw new IllegalArgumentException("key %d must be from 0 to %d".formatted(key, KeySpan.LAST_KEY));
		}
		int place = Arrays.binarySearch(this.firstKeys, key);
		return this.holdings.get((place >= 0) ? place : -place - 2);
	}

	/**
	 * What an instance holds.
	 * @param owner the instance
	 * @return its holdings, by key
	 */
	public List<KeyHolding> heldBy(InstanceId owner) {
		return this.holdings.stream().filter((held) -> held.holder().equals(owner)).toList();
	}

	/**
	 * Who has to act on this map.
	 * @param before the map before it; empty if there was none
	 * @return the owners of holdings that it changes, and those that are to have them
	 */
	public Set<InstanceId> affectedInstances(Optional<KeyMap> before) {
		Set<KeyHolding> known = before.map(KeyMap::holdings).<Set<KeyHolding>>map(HashSet::new).orElseGet(Set::of);
		return this.holdings.stream()
			.filter((held) -> !known.contains(held))
			.flatMap((held) -> Stream.concat(Stream.of(held.holder()), held.nextHolder().stream()))
			.collect(Collectors.toSet());
	}

	/**
	 * Gives holdings to new holders under the next fence.
	 * @param moved which ones
	 * @param holder who gets one
	 * @param handover what its previous holder handed over; empty if nothing
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
	 * Says who is to have some spans next; holdings are cut where a span is part of one.
	 * Their holders go on until they have released them.
	 * @param moves the next owner of each span; a span that is not part of one holding
	 * that stays is passed over
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
	 * Says who is to have some holdings next. Their holders go on until they have
	 * released them.
	 * @param wanted the next owner of a holding; empty if it is to stay as it is
	 * @return the new map
	 */
	public KeyMap withNextHolders(Function<KeyHolding, Optional<InstanceId>> wanted) {
		return new KeyMap(this.holdings.stream()
			.map((held) -> wanted.apply(held)
				.map((next) -> next.equals(held.holder()) ? held.withoutNextHolder() : held.withNextHolder(next))
				.orElse(held))
			.toList(), this.nextFence);
	}

}
