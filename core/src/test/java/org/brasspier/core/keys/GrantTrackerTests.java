package org.brasspier.core.keys;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class GrantTrackerTests extends KeyFixtures {

	private static final long LEASE_NANOS = Duration.ofSeconds(10).toNanos();

	private final KeyMap map = KeyMap.initial(holders(A, B));

	private final GrantTracker tracker = new GrantTracker(A, TIMING, 0);

	private final KeyHolding own = this.map.heldBy(A).get(0);

	private Optional<GrantAnswer> heartbeat(KeyMap current, List<HeldKeys> holds, List<ReleasedKeys> freed, long now) {
		return this.tracker.answerHeartbeat(current, report(A, holds, freed), LEASE_NANOS, now);
	}

	private KeyMap mapWithPlannedMove() {
		return this.map.withPlannedMoves(Map.of(this.own.span(), B));
	}

	private KeyHolding movingHolding() {
		return mapWithPlannedMove().holding(this.own.span().from());
	}

	@Test
	void answerContainsExactlyTheKeysOfTheServer() {
		GrantAnswer answer = heartbeat(this.map, List.of(), List.of(), 0).orElseThrow();
		assertThat(answer.grants().stream().map(KeyGrant::span).toList())
			.containsExactlyElementsIn(this.map.heldBy(A).stream().map(KeyHolding::span).toList());
	}

	/**
	 * The lease ended during a store outage, so the holder can't know whether another
	 * instance has its keys. An answer with an empty list would make the server drop
	 * them; without an answer, it may hold them to the end of its last grant.
	 */
	@Test
	void heartbeatIsNotAnsweredAfterTheLeaseHasEnded() {
		assertThat(this.tracker.answerHeartbeat(this.map, report(A, List.of(), List.of()), 0, 0)).isEmpty();
	}

	@Test
	void holdEndsWithinTheLeaseByAnyClock() {
		Duration hold = this.tracker.answerHeartbeat(this.map, report(A, List.of(), List.of()), millis(1020), 0)
			.orElseThrow()
			.hold();
		assertThat(TIMING.plusDrift(hold.toNanos())).isAtMost(millis(1020));
	}

	@Test
	void keyIsUsableFromArrivalOfItsGrantToTheEndOfTheHold() {
		heartbeat(this.map, List.of(), List.of(), 0);
		int key = this.own.span().from();
		assertThat(this.tracker.usable(key, this.own, holder(A).incarnation(), millis(1))).isFalse();
		assertThat(this.tracker.usable(key, this.own, holder(A).incarnation(), millis(10))).isTrue();
		assertThat(this.tracker.usable(key, this.own, holder(A).incarnation(), TIMING.hold().toNanos())).isFalse();
	}

	@Test
	void restartedServerHoldsNoKeysOfItsPreviousIncarnation() {
		heartbeat(this.map, List.of(), List.of(), 0);
		BackendIncarnation restarted = new BackendIncarnation(holder(A).incarnation().id(), 2);
		assertThat(this.tracker.usable(this.own.span().from(), this.own, restarted, millis(10))).isFalse();
	}

	@Test
	void movingKeysAreLeftOutOfAnswerAndNoLongerUsable() {
		heartbeat(this.map, List.of(), List.of(), 0);
		GrantAnswer answer = heartbeat(mapWithPlannedMove(), List.of(), List.of(), millis(900)).orElseThrow();
		assertThat(answer.grants().stream().map(KeyGrant::span).toList()).doesNotContain(this.own.span());
		assertThat(this.tracker.usable(this.own.span().from(), movingHolding(), holder(A).incarnation(), millis(901)))
			.isFalse();
	}

	/**
	 * A move is planned between two heartbeats. The server holds the keys until an answer
	 * leaves them out. Rejecting their requests immediately would leave the keys unserved
	 * for another half of the heartbeat interval at each move.
	 */
	@Test
	void movingKeysStayUsableUntilAnAnswerLeavesThemOut() {
		int key = this.own.span().from();
		heartbeat(this.map, List.of(), List.of(), 0);
		assertThat(this.tracker.usable(key, movingHolding(), holder(A).incarnation(), millis(800))).isTrue();
		this.tracker.answerHeartbeat(mapWithPlannedMove(), report(A, List.of(), List.of()), 0, millis(850));
		assertThat(this.tracker.usable(key, movingHolding(), holder(A).incarnation(), millis(860))).isTrue();
		heartbeat(mapWithPlannedMove(), List.of(), List.of(), millis(900));
		assertThat(this.tracker.usable(key, movingHolding(), holder(A).incarnation(), millis(901))).isFalse();
	}

	/**
	 * Guards against two servers that write the same record: keys move while their server
	 * is still processing requests for them. They may move only after the server has
	 * reported their release.
	 */
	@Test
	void keysMoveOnlyAfterTheirServerHasReleasedThem() {
		heartbeat(this.map, List.of(), List.of(), 0);
		HeldKeys working = new HeldKeys(this.own.span(), this.own.fence());
		ReleasedKeys freed = new ReleasedKeys(this.own.span(), "token");
		heartbeat(mapWithPlannedMove(), List.of(working), List.of(freed), millis(900));
		assertThat(this.tracker.released(movingHolding(), millis(901))).isEmpty();
		heartbeat(mapWithPlannedMove(), List.of(), List.of(freed), millis(1000));
		assertThat(this.tracker.released(movingHolding(), millis(1001))).hasValue("token");
	}

	@Test
	void keysOfSilentServerMoveWhenItsGrantHasExpiredByASlowClock() {
		heartbeat(this.map, List.of(), List.of(), 0);
		long hold = TIMING.hold().toNanos();
		assertThat(this.tracker.released(movingHolding(), hold + millis(10))).isEmpty();
		assertThat(this.tracker.released(movingHolding(), TIMING.plusDrift(hold))).hasValue("");
	}

	/**
	 * A daemon is killed right after it granted keys, and restarts. The new process knows
	 * of no grant; if it released the keys immediately, the server would still hold them.
	 */
	@Test
	void newProcessWaitsForGrantsOfItsPredecessorToExpire() {
		assertThat(this.tracker.released(movingHolding(), millis(500))).isEmpty();
		assertThat(this.tracker.released(movingHolding(), TIMING.plusDrift(TIMING.hold().toNanos()))).hasValue("");
	}

	/**
	 * A span is split while it is held, because one part is to move. Requests for the
	 * part that stays are served without interruption, and the part that moves stays
	 * granted like the whole.
	 */
	@Test
	void partsOfASplitSpanKeepItsGrant() {
		heartbeat(this.map, List.of(), List.of(), 0);
		KeySpan moving = new KeySpan(this.own.span().from(), this.own.span().from() + 9);
		KeyMap cut = this.map.withPlannedMoves(Map.of(moving, B));
		int staying = moving.to() + 1;
		assertThat(this.tracker.usable(staying, cut.holding(staying), holder(A).incarnation(), millis(100))).isTrue();
		heartbeat(cut, List.of(), List.of(), millis(900));
		assertThat(this.tracker.usable(staying, cut.holding(staying), holder(A).incarnation(), millis(901))).isTrue();
		assertThat(this.tracker.released(cut.holding(moving.from()), millis(901))).isEmpty();
	}

	@Test
	void keysAreGrantedAgainWhenTheirMoveIsCancelled() {
		heartbeat(this.map, List.of(), List.of(), 0);
		heartbeat(mapWithPlannedMove(), List.of(), List.of(new ReleasedKeys(this.own.span(), "token")), millis(900));
		GrantAnswer answer = heartbeat(this.map, List.of(), List.of(), millis(1000)).orElseThrow();
		assertThat(answer.grants().stream().map(KeyGrant::span).toList()).contains(this.own.span());
		assertThat(this.tracker.released(movingHolding(), millis(1001))).isEmpty();
	}

}
