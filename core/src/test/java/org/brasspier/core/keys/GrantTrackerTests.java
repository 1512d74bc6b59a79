package org.brasspier.core.keys;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class GrantTrackerTests extends KeyFixtures {

	private static final long LONG_LEASE = Duration.ofSeconds(10).toNanos();

	private final KeyMap map = KeyMap.initial(holders(A, B));

	private final GrantTracker book = new GrantTracker(A, TIMING, 0);

	private final KeyHolding own = this.map.heldBy(A).get(0);

	private Optional<GrantAnswer> beat(KeyMap known, List<HeldKeys> holds, List<ReleasedKeys> freed, long now) {
		return this.book.answerHeartbeat(known, report(A, holds, freed), LONG_LEASE, now);
	}

	private KeyMap leaving() {
		return this.map.withPlannedMoves(Map.of(this.own.span(), B));
	}

	private KeyHolding leavingHolding() {
		return leaving().holding(this.own.span().from());
	}

	@Test
	void aServerIsToldAllItsKeysAndNoOthers() {
		GrantAnswer answer = beat(this.map, List.of(), List.of(), 0).orElseThrow();
		assertThat(answer.grants().stream().map(KeyGrant::span).toList())
			.containsExactlyElementsIn(this.map.heldBy(A).stream().map(KeyHolding::span).toList());
	}

	/**
	 * The store is away and the lease has run out: the owner can't tell whether another
	 * one has its keys by now. An answer with an empty list would make the server drop
	 * them; one that says nothing lets it hold them to the end of its last grant.
	 */
	@Test
	void nothingIsSaidOfKeysOnceTheLeaseHasRunOut() {
		assertThat(this.book.answerHeartbeat(this.map, report(A, List.of(), List.of()), 0, 0)).isEmpty();
	}

	@Test
	void aHoldEndsWithTheLeaseByAnyClock() {
		Duration hold = this.book.answerHeartbeat(this.map, report(A, List.of(), List.of()), millis(1020), 0)
			.orElseThrow()
			.hold();
		assertThat(TIMING.plusDrift(hold.toNanos())).isAtMost(millis(1020));
	}

	@Test
	void aRequestWaitsUntilTheServerHasItsGrant() {
		beat(this.map, List.of(), List.of(), 0);
		int key = this.own.span().from();
		assertThat(this.book.usable(key, this.own, holder(A).incarnation(), millis(1))).isFalse();
		assertThat(this.book.usable(key, this.own, holder(A).incarnation(), millis(10))).isTrue();
		assertThat(this.book.usable(key, this.own, holder(A).incarnation(), TIMING.hold().toNanos())).isFalse();
	}

	@Test
	void aServerThatStartedAgainIsNotTakenForTheOneThatHeldTheKeys() {
		beat(this.map, List.of(), List.of(), 0);
		BackendIncarnation again = new BackendIncarnation(holder(A).incarnation().id(), 2);
		assertThat(this.book.usable(this.own.span().from(), this.own, again, millis(10))).isFalse();
	}

	@Test
	void keysThatLeaveAreLeftOutAndNoLongerUsed() {
		beat(this.map, List.of(), List.of(), 0);
		GrantAnswer answer = beat(leaving(), List.of(), List.of(), millis(900)).orElseThrow();
		assertThat(answer.grants().stream().map(KeyGrant::span).toList()).doesNotContain(this.own.span());
		assertThat(this.book.usable(this.own.span().from(), leavingHolding(), holder(A).incarnation(), millis(901)))
			.isFalse();
	}

	/**
	 * A move is planned between two heartbeats. The server holds the keys until it is
	 * told otherwise, so turning their requests away at once would leave them unserved
	 * for half a heartbeat's interval more, at each move.
	 */
	@Test
	void keysThatAreToLeaveAreUsedUntilTheirServerIsToldSo() {
		int key = this.own.span().from();
		beat(this.map, List.of(), List.of(), 0);
		assertThat(this.book.usable(key, leavingHolding(), holder(A).incarnation(), millis(800))).isTrue();
		this.book.answerHeartbeat(leaving(), report(A, List.of(), List.of()), 0, millis(850));
		assertThat(this.book.usable(key, leavingHolding(), holder(A).incarnation(), millis(860))).isTrue();
		beat(leaving(), List.of(), List.of(), millis(900));
		assertThat(this.book.usable(key, leavingHolding(), holder(A).incarnation(), millis(901))).isFalse();
	}

	/**
	 * Keys move while their server still works on them: two servers would write the same
	 * record. They go on only once the server says that it let go.
	 */
	@Test
	void keysGoOnOnlyOnceTheirServerHasLetGo() {
		beat(this.map, List.of(), List.of(), 0);
		HeldKeys working = new HeldKeys(this.own.span(), this.own.fence());
		ReleasedKeys freed = new ReleasedKeys(this.own.span(), "token");
		beat(leaving(), List.of(working), List.of(freed), millis(900));
		assertThat(this.book.released(leavingHolding(), millis(901))).isEmpty();
		beat(leaving(), List.of(), List.of(freed), millis(1000));
		assertThat(this.book.released(leavingHolding(), millis(1001))).hasValue("token");
	}

	@Test
	void keysOfASilentServerGoOnWhenItsGrantHasRunOutByASlowClock() {
		beat(this.map, List.of(), List.of(), 0);
		long hold = TIMING.hold().toNanos();
		assertThat(this.book.released(leavingHolding(), hold + millis(10))).isEmpty();
		assertThat(this.book.released(leavingHolding(), TIMING.plusDrift(hold))).hasValue("");
	}

	/**
	 * A daemon is killed right after it granted keys, and starts again. The new process
	 * knows of no grant; if it gave the keys away at once, the server would still hold
	 * them.
	 */
	@Test
	void aNewProcessWaitsForWhatItsPredecessorMayHaveGranted() {
		assertThat(this.book.released(leavingHolding(), millis(500))).isEmpty();
		assertThat(this.book.released(leavingHolding(), TIMING.plusDrift(TIMING.hold().toNanos()))).hasValue("");
	}

	/**
	 * A span is cut in two while it is held, because one part is to move. Requests for
	 * the part that stays are served on without a gap, and the part that leaves is as
	 * much granted as the whole was.
	 */
	@Test
	void partsOfASpanAreGrantedAsTheWholeWas() {
		beat(this.map, List.of(), List.of(), 0);
		KeySpan left = new KeySpan(this.own.span().from(), this.own.span().from() + 9);
		KeyMap cut = this.map.withPlannedMoves(Map.of(left, B));
		int staying = left.to() + 1;
		assertThat(this.book.usable(staying, cut.holding(staying), holder(A).incarnation(), millis(100))).isTrue();
		beat(cut, List.of(), List.of(), millis(900));
		assertThat(this.book.usable(staying, cut.holding(staying), holder(A).incarnation(), millis(901))).isTrue();
		assertThat(this.book.released(cut.holding(left.from()), millis(901))).isEmpty();
	}

	@Test
	void keysThatAreToStayAfterAllAreGrantedAgain() {
		beat(this.map, List.of(), List.of(), 0);
		beat(leaving(), List.of(), List.of(new ReleasedKeys(this.own.span(), "token")), millis(900));
		GrantAnswer answer = beat(this.map, List.of(), List.of(), millis(1000)).orElseThrow();
		assertThat(answer.grants().stream().map(KeyGrant::span).toList()).contains(this.own.span());
		assertThat(this.book.released(leavingHolding(), millis(1001))).isEmpty();
	}

}
