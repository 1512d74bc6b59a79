package org.brasspier.core.keys;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

class KeyMapTests extends KeyFixtures {

	private final KeyMap map = KeyMap.first(holders(A, B, C));

	private static int keysOf(KeyMap map, KeyHolder holder) {
		return map.of(holder.instance()).stream().mapToInt((held) -> held.span().size()).sum();
	}

	@Test
	void everyKeyHasOneHolder() {
		assertThat(IntStream.rangeClosed(0, KeySpan.LAST_KEY)
			.allMatch((key) -> this.map.holding(key).span().contains(key))).isTrue();
	}

	@Test
	void aMapWithAMissingKeyIsRefused() {
		List<KeyHolding> some = this.map.holdings().subList(1, this.map.holdings().size());
		assertThrows(IllegalArgumentException.class, () -> new KeyMap(some, this.map.nextFence()));
	}

	@Test
	void whatMovesGetsAFenceThatWasNeverGivenOut() {
		long next = this.map.nextFence();
		KeyMap moved = this.map.moved((held) -> held.owner().equals(A), (held) -> holder(B), (held) -> "");
		assertThat(moved.of(A)).isEmpty();
		assertThat(moved.of(B).stream().filter((held) -> held.fence().value() == next).count())
			.isEqualTo(this.map.of(A).size());
		assertThat(moved.nextFence()).isGreaterThan(next);
	}

	@Test
	void carvingLeavesTheRestWhereItIs() {
		KeySpan part = new KeySpan(100, 199);
		KeyMap carved = this.map.carved(Map.of(part, B));
		assertThat(carved.holding(150).next()).hasValue(B);
		assertThat(carved.holding(99).next()).isEmpty();
		assertThat(carved.holding(200).next()).isEmpty();
		assertThat(carved.holding(200).fence()).isEqualTo(this.map.holding(200).fence());
	}

	@Test
	void joiningUndoesACutThatIsNoLongerNeeded() {
		KeyMap carved = this.map.carved(Map.of(new KeySpan(100, 199), B));
		KeyMap back = carved.wanted((held) -> held.next().isPresent() ? Optional.of(held.owner()) : Optional.empty());
		assertThat(back.joined().holdings()).isEqualTo(this.map.holdings());
	}

	@Test
	void theKeysOfALostOwnerAreDealtEvenly() {
		KeyMap after = KeyPlanner.withoutLost(this.map, Set.of(A), holders(B, C)).orElseThrow();
		assertThat(after.of(A)).isEmpty();
		assertThat(Math.abs(keysOf(after, holder(B)) - keysOf(after, holder(C)))).isAtMost(5000);
	}

	@Test
	void aNewLifeOfAServerGetsItsKeysUnderANewFence() {
		KeyHolder again = new KeyHolder(A, new BackendLife(holder(A).life().id(), 2));
		KeyMap after = KeyPlanner.withLife(this.map, again).orElseThrow();
		assertThat(after.of(A).stream().allMatch((held) -> held.life().equals(again.life()))).isTrue();
		assertThat(after.of(A).get(0).fence().value()).isAtLeast(this.map.nextFence());
		assertThat(KeyPlanner.withLife(after, again)).isEmpty();
	}

	@Test
	void anInstanceThatLeavesGivesAllItHasToOthers() {
		KeyMap after = KeyPlanner.withoutLeaving(this.map, Set.of(A), holders(B, C)).orElseThrow();
		assertThat(after.of(A).stream().allMatch((held) -> held.next().isPresent())).isTrue();
		assertThat(after.of(B).stream().anyMatch((held) -> held.next().isPresent())).isFalse();
	}

	@Test
	void keysThatWereToGoToSomebodyWhoIsLostGoElsewhere() {
		KeyMap towardsA = this.map.wanted((held) -> held.owner().equals(B) ? Optional.of(A) : Optional.empty());
		KeyMap after = KeyPlanner.withoutLeaving(towardsA, Set.of(), holders(B, C)).orElseThrow();
		assertThat(after.of(B).stream().anyMatch((held) -> held.next().equals(Optional.of(A)))).isFalse();
	}

	@Test
	void aNewcomerIsGivenAnEvenPart() {
		KeyMap two = KeyMap.first(holders(A, B));
		KeyMap after = KeyPlanner.evened(two, holders(A, B, C)).orElseThrow();
		int coming = after.holdings()
			.stream()
			.filter((held) -> held.next().equals(Optional.of(C)))
			.mapToInt((held) -> held.span().size())
			.sum();
		assertThat(coming).isAtLeast(15_000);
		assertThat(KeyPlanner.evened(after, holders(A, B, C))).isEmpty();
	}

	@Test
	void aMapConcernsTheOwnersOfWhatItChangesAndThoseThatAreToHaveIt() {
		KeyMap moving = this.map.carved(Map.of(this.map.of(A).get(0).span(), B));
		assertThat(this.map.concerned(Optional.empty())).containsExactly(A, B, C);
		assertThat(this.map.concerned(Optional.of(this.map))).isEmpty();
		assertThat(moving.concerned(Optional.of(this.map))).containsExactly(A, B);
	}

}
