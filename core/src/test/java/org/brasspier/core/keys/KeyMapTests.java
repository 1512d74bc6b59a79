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

	private final KeyMap map = KeyMap.initial(holders(A, B, C));

	private static int keysOf(KeyMap map, KeyHolder holder) {
		return map.heldBy(holder.instance()).stream().mapToInt((held) -> held.span().size()).sum();
	}

	@Test
	void everyKeyHasOneHolder() {
		assertThat(IntStream.rangeClosed(0, KeySpan.LAST_KEY)
			.allMatch((key) -> this.map.holding(key).span().contains(key))).isTrue();
	}

	@Test
	void mapWithAMissingKeyIsRejected() {
		List<KeyHolding> some = this.map.holdings().subList(1, this.map.holdings().size());
		assertThrows(IllegalArgumentException.class, () -> new KeyMap(some, this.map.nextFence()));
	}

	@Test
	void reassignedKeysGetAFenceThatWasNeverIssued() {
		long next = this.map.nextFence();
		KeyMap moved = this.map.reassigned((held) -> held.holder().equals(A), (held) -> holder(B), (held) -> "");
		assertThat(moved.heldBy(A)).isEmpty();
		assertThat(moved.heldBy(B).stream().filter((held) -> held.fence().value() == next).count())
			.isEqualTo(this.map.heldBy(A).size());
		assertThat(moved.nextFence()).isGreaterThan(next);
	}

	@Test
	void plannedMoveOfAPartLeavesTheRestUnchanged() {
		KeySpan part = new KeySpan(100, 199);
		KeyMap split = this.map.withPlannedMoves(Map.of(part, B));
		assertThat(split.holding(150).nextHolder()).hasValue(B);
		assertThat(split.holding(99).nextHolder()).isEmpty();
		assertThat(split.holding(200).nextHolder()).isEmpty();
		assertThat(split.holding(200).fence()).isEqualTo(this.map.holding(200).fence());
	}

	@Test
	void mergingUndoesASplitThatIsNoLongerNeeded() {
		KeyMap split = this.map.withPlannedMoves(Map.of(new KeySpan(100, 199), B));
		KeyMap back = split
			.withNextHolders((held) -> held.nextHolder().isPresent() ? Optional.of(held.holder()) : Optional.empty());
		assertThat(back.merged().holdings()).isEqualTo(this.map.holdings());
	}

	@Test
	void keysOfALostHolderAreSpreadEvenly() {
		KeyMap after = KeyPlanner.reassignLost(this.map, Set.of(A), holders(B, C)).orElseThrow();
		assertThat(after.heldBy(A)).isEmpty();
		assertThat(Math.abs(keysOf(after, holder(B)) - keysOf(after, holder(C)))).isAtMost(5000);
	}

	@Test
	void newIncarnationOfAServerGetsItsKeysUnderANewFence() {
		KeyHolder restarted = new KeyHolder(A, new BackendIncarnation(holder(A).incarnation().id(), 2));
		KeyMap after = KeyPlanner.reassignToIncarnation(this.map, restarted).orElseThrow();
		assertThat(after.heldBy(A).stream().allMatch((held) -> held.incarnation().equals(restarted.incarnation())))
			.isTrue();
		assertThat(after.heldBy(A).get(0).fence().value()).isAtLeast(this.map.nextFence());
		assertThat(KeyPlanner.reassignToIncarnation(after, restarted)).isEmpty();
	}

	@Test
	void allKeysOfALeavingInstanceGetNextHolders() {
		KeyMap after = KeyPlanner.reassignLeaving(this.map, Set.of(A), holders(B, C)).orElseThrow();
		assertThat(after.heldBy(A).stream().allMatch((held) -> held.nextHolder().isPresent())).isTrue();
		assertThat(after.heldBy(B).stream().anyMatch((held) -> held.nextHolder().isPresent())).isFalse();
	}

	@Test
	void keysPlannedForAnUnavailableHolderAreRetargeted() {
		KeyMap towardsA = this.map
			.withNextHolders((held) -> held.holder().equals(B) ? Optional.of(A) : Optional.empty());
		KeyMap after = KeyPlanner.reassignLeaving(towardsA, Set.of(), holders(B, C)).orElseThrow();
		assertThat(after.heldBy(B).stream().anyMatch((held) -> held.nextHolder().equals(Optional.of(A)))).isFalse();
	}

	@Test
	void newHolderGetsAnEvenPart() {
		KeyMap two = KeyMap.initial(holders(A, B));
		KeyMap after = KeyPlanner.fillEmptyHolders(two, holders(A, B, C)).orElseThrow();
		int coming = after.holdings()
			.stream()
			.filter((held) -> held.nextHolder().equals(Optional.of(C)))
			.mapToInt((held) -> held.span().size())
			.sum();
		assertThat(coming).isAtLeast(15_000);
		assertThat(KeyPlanner.fillEmptyHolders(after, holders(A, B, C))).isEmpty();
	}

	@Test
	void affectedInstancesAreHoldersAndNextHoldersOfChangedHoldings() {
		KeyMap moving = this.map.withPlannedMoves(Map.of(this.map.heldBy(A).get(0).span(), B));
		assertThat(this.map.affectedInstances(Optional.empty())).containsExactly(A, B, C);
		assertThat(this.map.affectedInstances(Optional.of(this.map))).isEmpty();
		assertThat(moving.affectedInstances(Optional.of(this.map))).containsExactly(A, B);
	}

}
