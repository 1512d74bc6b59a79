package org.brasspier.core.keys;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class GrantCallSchedulerTests extends KeyFixtures {

	private static final long LEASE_NANOS = TIMING.lease().toNanos();

	/** Time after which grants of a previous process have expired. */
	private static final long AFTER_PREDECESSOR_NANOS = TIMING.plusDrift(TIMING.hold().toNanos());

	private final KeyMap map = KeyMap.initial(holders(A, B));

	private final GrantTracker tracker = new GrantTracker(A, TIMING, 0);

	private final GrantCallScheduler scheduler = new GrantCallScheduler(this.tracker);

	private final KeyHolding own = this.map.heldBy(A).get(0);

	private List<GrantCall> due(KeyMap current, long now) {
		return due(current, session(1), now);
	}

	private List<GrantCall> due(KeyMap current, Optional<ServerSession> session, long now) {
		return this.scheduler.dueCalls(current, holder(A).incarnation(), session, LEASE_NANOS, now);
	}

	private static Optional<ServerSession> session(long number) {
		return Optional.of(new ServerSession(number, true));
	}

	private static Optional<ServerSession> silentSession(long number) {
		return Optional.of(new ServerSession(number, false));
	}

	private KeyMap withNewFences(KeyMap current, Optional<ServerSession> session) {
		return current.reassigned((held) -> held.holder().equals(A) && this.scheduler.needsNewFence(held, session),
				(held) -> holder(A), KeyHolding::handover);
	}

	private KeyMap mapWithPlannedMove() {
		return this.map.withPlannedMoves(Map.of(this.own.span(), B));
	}

	private KeyHolding movingHolding() {
		return mapWithPlannedMove().holding(this.own.span().from());
	}

	private void grantAll(long now) {
		for (List<GrantCall> next = due(this.map, now); !next.isEmpty(); next = due(this.map, now)) {
			next.forEach((call) -> this.scheduler.onGranted((GrantCall.Grant) call, now, now));
		}
	}

	private GrantCall.Release release(long now) {
		return (GrantCall.Release) due(mapWithPlannedMove(), now).stream()
			.filter((call) -> call instanceof GrantCall.Release)
			.findFirst()
			.orElseThrow();
	}

	private boolean usable(long now) {
		return this.tracker.usable(this.own.span().from(), this.own, holder(A).incarnation(), now);
	}

	@Test
	void keyIsUsableAfterItsGrantIsAnswered() {
		GrantCall.Grant grant = (GrantCall.Grant) due(this.map, 0).get(0);
		assertThat(usable(millis(1))).isFalse();
		this.scheduler.onGranted(grant, 0, millis(2));
		assertThat(this.tracker.usable(grant.span().from(), this.map.holding(grant.span().from()),
				holder(A).incarnation(), millis(3)))
			.isTrue();
	}

	@Test
	void grantIsNotSentAgainWhileItIsPendingOrFresh() {
		grantAll(0);
		assertThat(due(this.map, millis(1000))).isEmpty();
		assertThat(due(this.map, millis(2000))).isNotEmpty();
		assertThat(due(this.map, millis(2001)).stream().map(GrantCall::span).toList()).doesNotContain(this.own.span());
	}

	@Test
	void nothingIsGrantedAfterTheLeaseHasEnded() {
		assertThat(this.scheduler.dueCalls(this.map, holder(A).incarnation(), session(1), 0, 0)).isEmpty();
	}

	@Test
	void holdThatStartsAtArrivalEndsWithinTheLease() {
		GrantCall.Grant grant = (GrantCall.Grant) this.scheduler
			.dueCalls(this.map, holder(A).incarnation(), session(1), millis(2000), 0)
			.get(0);
		assertThat(TIMING.plusDrift(grant.hold().toNanos())).isAtMost(millis(1500));
	}

	@Test
	void movingKeysAreReleasedAndNoLongerUsable() {
		grantAll(AFTER_PREDECESSOR_NANOS);
		GrantCall.Release release = release(AFTER_PREDECESSOR_NANOS + millis(10));
		assertThat(release.span()).isEqualTo(this.own.span());
		assertThat(usable(AFTER_PREDECESSOR_NANOS + millis(11))).isFalse();
		assertThat(this.tracker.released(movingHolding(), AFTER_PREDECESSOR_NANOS + millis(11))).isEmpty();
		this.scheduler.onReleased(release, "token");
		assertThat(this.tracker.released(movingHolding(), AFTER_PREDECESSOR_NANOS + millis(12))).hasValue("token");
	}

	/** Guards against a grant that takes effect after its keys were released. */
	@Test
	void keysWithUnansweredGrantWaitForItsExpiryDespiteTheirRelease() {
		GrantCall.Grant grant = (GrantCall.Grant) due(this.map, AFTER_PREDECESSOR_NANOS).get(0);
		assertThat(grant.span()).isEqualTo(this.own.span());
		assertThat(this.scheduler.isGrantPending(this.own.span())).isTrue();
		this.scheduler.onUnanswered(grant, AFTER_PREDECESSOR_NANOS + millis(400));
		this.scheduler.onReleased(release(AFTER_PREDECESSOR_NANOS + millis(700)), "token");
		long end = AFTER_PREDECESSOR_NANOS + millis(400) + TIMING.plusDrift(grant.hold().toNanos());
		assertThat(this.tracker.released(movingHolding(), end - 1)).isEmpty();
		assertThat(this.tracker.released(movingHolding(), end)).hasValue("token");
	}

	/** Guards against an unanswered grant of the previous process. */
	@Test
	void newProcessWaitsForGrantsOfItsPredecessorDespiteARelease() {
		this.scheduler.onReleased(release(millis(10)), "token");
		assertThat(this.tracker.released(movingHolding(), AFTER_PREDECESSOR_NANOS - 1)).isEmpty();
		assertThat(this.tracker.released(movingHolding(), AFTER_PREDECESSOR_NANOS)).hasValue("token");
	}

	/** Guards against a release that overtakes a grant on another connection. */
	@Test
	void releaseIsNotSentWhileAGrantOfTheKeysIsPending() {
		due(this.map, AFTER_PREDECESSOR_NANOS);
		assertThat(
				due(mapWithPlannedMove(), AFTER_PREDECESSOR_NANOS + millis(1)).stream().map(GrantCall::span).toList())
			.doesNotContain(this.own.span());
	}

	@Test
	void unansweredReleaseCompletesWhenTheHoldHasExpired() {
		grantAll(AFTER_PREDECESSOR_NANOS);
		GrantCall.Release release = release(AFTER_PREDECESSOR_NANOS + millis(10));
		this.scheduler.onUnanswered(release, AFTER_PREDECESSOR_NANOS + millis(400));
		long end = AFTER_PREDECESSOR_NANOS + TIMING.plusDrift(TIMING.hold().toNanos());
		assertThat(this.tracker.released(movingHolding(), end - 1)).isEmpty();
		assertThat(this.tracker.released(movingHolding(), end)).hasValue("");
	}

	@Test
	void keysWhoseMoveIsCancelledAreGrantedAgainWithTheirHandover() {
		grantAll(AFTER_PREDECESSOR_NANOS);
		this.scheduler.onReleased(release(AFTER_PREDECESSOR_NANOS + millis(10)), "token");
		GrantCall second = due(this.map, AFTER_PREDECESSOR_NANOS + millis(20)).get(0);
		assertThat(second.span()).isEqualTo(this.own.span());
		assertThat(((GrantCall.Grant) second).handover()).isEqualTo("token");
	}

	/**
	 * Guards against keys that remain unserved because their server has seen a higher
	 * fence.
	 */
	@Test
	void supersededGrantNeedsANewFence() {
		GrantCall.Grant grant = (GrantCall.Grant) due(this.map, AFTER_PREDECESSOR_NANOS).get(0);
		this.scheduler.onSuperseded(grant, AFTER_PREDECESSOR_NANOS + millis(1));
		assertThat(this.scheduler.needsNewFence(this.own, session(1))).isTrue();
		assertThat(this.tracker.usable(this.own.span().from(), this.own, holder(A).incarnation(),
				AFTER_PREDECESSOR_NANOS + millis(2)))
			.isFalse();
	}

	@Test
	void restartedServerIsGrantedItsKeysAsNewIncarnation() {
		grantAll(AFTER_PREDECESSOR_NANOS);
		KeyHolder second = new KeyHolder(A, new BackendIncarnation(holder(A).incarnation().id(), 2));
		KeyMap renewed = KeyPlanner.reassignToIncarnation(this.map, second).orElseThrow();
		GrantCall first = this.scheduler
			.dueCalls(renewed, second.incarnation(), session(2), LEASE_NANOS, AFTER_PREDECESSOR_NANOS + millis(10))
			.get(0);
		assertThat(first.incarnation()).isEqualTo(second.incarnation());
		assertThat(first.fence().value()).isAtLeast(this.map.nextFence());
	}

	@Test
	void nothingIsGrantedWithoutAConnection() {
		assertThat(due(this.map, Optional.empty(), 0)).isEmpty();
	}

	/** Guards against renewals that reach the next server at the same address. */
	@Test
	void aFenceIsNotSentAgainAfterAllConnectionsWereClosed() {
		grantAll(0);
		assertThat(due(this.map, session(2), millis(2000))).isEmpty();
		assertThat(this.scheduler.needsNewFence(this.own, session(2))).isTrue();
		assertThat(this.scheduler.needsNewFence(this.own, session(1))).isFalse();
	}

	@Test
	void aNewSessionGrantsUnderHigherFences() {
		grantAll(0);
		KeyMap raised = withNewFences(this.map, session(2));
		List<GrantCall> calls = due(raised, session(2), millis(2000));
		assertThat(calls).isNotEmpty();
		calls.forEach((call) -> assertThat(call.fence().value()).isAtLeast(this.map.nextFence()));
	}

	/**
	 * Guards against a write of the key map for each server that crashes: a server that
	 * is heard from is usually another incarnation, whose keys get new fences anyway.
	 */
	@Test
	void noNewFenceIsNeededBeforeTheServerIsHeardFrom() {
		grantAll(0);
		assertThat(this.scheduler.needsNewFence(this.own, silentSession(2))).isFalse();
		assertThat(due(this.map, silentSession(2), millis(2000))).isEmpty();
	}

	/** Guards against keys of a new server that wait for its second heartbeat. */
	@Test
	void aFenceThatWasNeverSentIsGrantedBeforeTheServerIsHeardFrom() {
		assertThat(due(this.map, silentSession(1), 0)).isNotEmpty();
	}

	/** Guards against grants of a previous process that another server received. */
	@Test
	void fencesThatAPredecessorMayHaveSentAreNotSent() {
		this.scheduler.recordSentBelow(this.map.nextFence());
		assertThat(due(this.map, session(1), 0)).isEmpty();
		KeyMap raised = withNewFences(this.map, session(1));
		assertThat(due(raised, session(1), millis(1))).isNotEmpty();
	}

	/** Guards against a planned move that a new fence cancels. */
	@Test
	void keysThatAreLeavingNeedNoNewFence() {
		grantAll(0);
		assertThat(this.scheduler.needsNewFence(movingHolding(), session(2))).isFalse();
	}

}
