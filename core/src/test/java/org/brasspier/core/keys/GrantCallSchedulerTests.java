package org.brasspier.core.keys;

import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class GrantCallSchedulerTests extends KeyFixtures {

	private static final long LEASE = TIMING.lease().toNanos();

	/** No process before this one can have granted anything that still lasts. */
	private static final long LATER = TIMING.plusDrift(TIMING.hold().toNanos());

	private final KeyMap map = KeyMap.initial(holders(A, B));

	private final GrantTracker book = new GrantTracker(A, TIMING, 0);

	private final GrantCallScheduler calls = new GrantCallScheduler(this.book);

	private final KeyHolding own = this.map.heldBy(A).get(0);

	private List<GrantCall> due(KeyMap known, long now) {
		return this.calls.dueCalls(known, holder(A).incarnation(), LEASE, now);
	}

	private KeyMap leaving() {
		return this.map.withPlannedMoves(Map.of(this.own.span(), B));
	}

	private KeyHolding leavingHolding() {
		return leaving().holding(this.own.span().from());
	}

	private void grantAll(long now) {
		for (List<GrantCall> next = due(this.map, now); !next.isEmpty(); next = due(this.map, now)) {
			next.forEach((call) -> this.calls.onGranted((GrantCall.Grant) call, now, now));
		}
	}

	private GrantCall.Release release(long now) {
		return (GrantCall.Release) due(leaving(), now).stream()
			.filter((call) -> call instanceof GrantCall.Release)
			.findFirst()
			.orElseThrow();
	}

	private boolean usable(long now) {
		return this.book.usable(this.own.span().from(), this.own, holder(A).incarnation(), now);
	}

	@Test
	void keysAreUsedOnceTheirGrantIsAnswered() {
		GrantCall.Grant grant = (GrantCall.Grant) due(this.map, 0).get(0);
		assertThat(usable(millis(1))).isFalse();
		this.calls.onGranted(grant, 0, millis(2));
		assertThat(this.book.usable(grant.span().from(), this.map.holding(grant.span().from()), holder(A).incarnation(),
				millis(3)))
			.isTrue();
	}

	@Test
	void aGrantIsNotSentAgainWhileItIsUnderWayOrFresh() {
		grantAll(0);
		assertThat(due(this.map, millis(1000))).isEmpty();
		assertThat(due(this.map, millis(2000))).isNotEmpty();
		assertThat(due(this.map, millis(2001)).stream().map(GrantCall::span).toList()).doesNotContain(this.own.span());
	}

	@Test
	void nothingIsGrantedOnceTheLeaseHasRunOut() {
		assertThat(this.calls.dueCalls(this.map, holder(A).incarnation(), 0, 0)).isEmpty();
	}

	@Test
	void aHoldThatBeginsWhenItsCallArrivesEndsWithinTheLease() {
		GrantCall.Grant grant = (GrantCall.Grant) this.calls
			.dueCalls(this.map, holder(A).incarnation(), millis(2000), 0)
			.get(0);
		assertThat(TIMING.plusDrift(grant.hold().toNanos())).isAtMost(millis(1500));
	}

	@Test
	void keysThatAreToLeaveAreReleasedAndNoLongerUsed() {
		grantAll(LATER);
		GrantCall.Release release = release(LATER + millis(10));
		assertThat(release.span()).isEqualTo(this.own.span());
		assertThat(usable(LATER + millis(11))).isFalse();
		assertThat(this.book.released(leavingHolding(), LATER + millis(11))).isEmpty();
		this.calls.onReleased(release, "token");
		assertThat(this.book.released(leavingHolding(), LATER + millis(12))).hasValue("token");
	}

	/** Guards against a grant that takes effect after the keys were released. */
	@Test
	void keysWhoseGrantWasNotAnsweredWaitUntilItHasRunOutDespiteTheirRelease() {
		GrantCall.Grant grant = (GrantCall.Grant) due(this.map, LATER).get(0);
		assertThat(grant.span()).isEqualTo(this.own.span());
		assertThat(this.calls.isGrantPending(this.own.span())).isTrue();
		this.calls.onUnanswered(grant, LATER + millis(400));
		this.calls.onReleased(release(LATER + millis(700)), "token");
		long end = LATER + millis(400) + TIMING.plusDrift(grant.hold().toNanos());
		assertThat(this.book.released(leavingHolding(), end - 1)).isEmpty();
		assertThat(this.book.released(leavingHolding(), end)).hasValue("token");
	}

	/** Guards against an unanswered grant of the process before this one. */
	@Test
	void aNewProcessWaitsDespiteAReleaseForWhatItsPredecessorMayHaveGranted() {
		this.calls.onReleased(release(millis(10)), "token");
		assertThat(this.book.released(leavingHolding(), LATER - 1)).isEmpty();
		assertThat(this.book.released(leavingHolding(), LATER)).hasValue("token");
	}

	/** Guards against a release that overtakes a grant on another connection. */
	@Test
	void keysAreReleasedOnlyAfterTheirGrantHasEnded() {
		due(this.map, LATER);
		assertThat(due(leaving(), LATER + millis(1)).stream().map(GrantCall::span).toList())
			.doesNotContain(this.own.span());
	}

	@Test
	void aReleaseWithoutAnAnswerIsOverWhenTheHoldHasRunOut() {
		grantAll(LATER);
		GrantCall.Release release = release(LATER + millis(10));
		this.calls.onUnanswered(release, LATER + millis(400));
		long end = LATER + TIMING.plusDrift(TIMING.hold().toNanos());
		assertThat(this.book.released(leavingHolding(), end - 1)).isEmpty();
		assertThat(this.book.released(leavingHolding(), end)).hasValue("");
	}

	@Test
	void keysThatAreToStayAfterAllAreGrantedAgainWithWhatTheirServerHandedOver() {
		grantAll(LATER);
		this.calls.onReleased(release(LATER + millis(10)), "token");
		GrantCall again = due(this.map, LATER + millis(20)).get(0);
		assertThat(again.span()).isEqualTo(this.own.span());
		assertThat(((GrantCall.Grant) again).handover()).isEqualTo("token");
	}

	/**
	 * Guards against keys that stay unserved because their server has seen a higher
	 * fence.
	 */
	@Test
	void aSupersededGrantAsksForANewFence() {
		GrantCall.Grant grant = (GrantCall.Grant) due(this.map, LATER).get(0);
		this.calls.onSuperseded(grant, LATER + millis(1));
		assertThat(this.calls.needsNewFence(this.own)).isTrue();
		assertThat(this.book.usable(this.own.span().from(), this.own, holder(A).incarnation(), LATER + millis(2)))
			.isFalse();
	}

	@Test
	void aServerThatStartedAgainIsGrantedItsKeysUnderItsNewLife() {
		grantAll(LATER);
		KeyHolder again = new KeyHolder(A, new BackendIncarnation(holder(A).incarnation().id(), 2));
		KeyMap renewed = KeyPlanner.reassignToIncarnation(this.map, again).orElseThrow();
		GrantCall first = this.calls.dueCalls(renewed, again.incarnation(), LEASE, LATER + millis(10)).get(0);
		assertThat(first.incarnation()).isEqualTo(again.incarnation());
		assertThat(first.fence().value()).isAtLeast(this.map.nextFence());
	}

}
