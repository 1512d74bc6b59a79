package org.brasspier.integration;

import java.util.List;

import org.brasspier.bench.demo.Managers;
import org.brasspier.standins.LinkState;
import org.brasspier.standins.OwnedRange;
import org.brasspier.standins.StandInInstance;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ManagerLossTests {

	private static Scene scene;

	private Managers managers;

	@BeforeAll
	static void start() {
		scene = Scene.keyed(4);
	}

	@AfterAll
	static void stop() {
		scene.close();
	}

	@BeforeEach
	void send() {
		scene.traffic();
		scene.awaitAnswers();
		this.managers = Managers.await(scene.deployment());
	}

	@AfterEach
	void judge() {
		scene.assertPromisesKept();
	}

	// The primary lease manager's machine dies. The secondary goes on renewing the
	// others, replaces it and moves its ranges.
	@Test
	void theRangesOfALostPrimaryAreServedByOthers() {
		List<OwnedRange> ranges = scene.deployment().ownedBy(this.managers.primary());
		this.managers.primary().kill();
		scene.awaitRecovered(ranges);
	}

	// The same for the secondary.
	@Test
	void theRangesOfALostSecondaryAreServedByOthers() {
		List<OwnedRange> ranges = scene.deployment().ownedBy(this.managers.secondary());
		this.managers.secondary().kill();
		scene.awaitRecovered(ranges);
	}

	// Both managers die at once. The others go on under new managers; the ranges of the
	// two wait until one of them is back, as docs/DESIGN.md says.
	@Test
	void afterBothManagersAreLostOneThatComesBackFreesTheirRanges() {
		List<OwnedRange> ranges = scene.deployment().ownedBy(this.managers.primary());
		this.managers.primary().kill();
		this.managers.secondary().kill();
		scene.awaitAnswers();
		this.managers.secondary().start();
		scene.awaitRecovered(ranges);
	}

	// A member is lost, and the primary dies while it moves the member's ranges. Whoever
	// follows it finishes the move, once.
	@Test
	void aPrimaryLostDuringAMoveLosesNothing() {
		StandInInstance member = scene.otherThan(this.managers.primary(), this.managers.secondary());
		List<OwnedRange> ranges = scene.deployment().ownedBy(member);
		List<OwnedRange> more = scene.deployment().ownedBy(this.managers.primary());
		member.kill();
		this.managers.primary().kill();
		scene.awaitRecovered(ranges);
		scene.awaitRecovered(more);
	}

	// The primary is paused for long and wakes as if nothing had happened, with renewals
	// and moves in its hands that are worth nothing any more.
	@Test
	void aPrimaryThatWakesFromAPauseChangesNothing() {
		List<OwnedRange> ranges = scene.deployment().ownedBy(this.managers.primary());
		this.managers.primary().pause();
		scene.awaitRecovered(ranges);
		this.managers.primary().resume();
		scene.awaitAnswers();
	}

	// Both managers stand still together and wake together, as on one frozen host.
	@Test
	void bothManagersPausedTogetherWakeWithoutTwoOwners() {
		this.managers.primary().pause();
		this.managers.secondary().pause();
		scene.awaitAnswers();
		this.managers.primary().resume();
		this.managers.secondary().resume();
		scene.awaitAnswers();
	}

	// The primary hears nothing of one member, the secondary does: it must not promise.
	@Test
	void aMemberThatTheSecondaryHearsIsNotRevoked() {
		StandInInstance member = scene.otherThan(this.managers.primary(), this.managers.secondary());
		scene.deployment().between(member, this.managers.primary(), LinkState.HELD_FORTH);
		scene.awaitAnswers();
		scene.awaitAnswers();
	}

}
