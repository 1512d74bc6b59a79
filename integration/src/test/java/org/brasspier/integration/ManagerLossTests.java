package org.brasspier.integration;

import java.util.List;

import org.brasspier.standins.LinkState;
import org.brasspier.standins.OwnedRange;
import org.brasspier.standins.StandInInstance;
import org.junit.jupiter.api.Test;

class ManagerLossTests extends AbstractSceneTests {

	// The primary lease manager's machine dies. The secondary goes on renewing the
	// others, replaces it and moves its ranges.
	@Test
	void theRangesOfALostPrimaryAreServedByOthers() {
		List<OwnedRange> ranges = scene.deployment().ownedBy(managers.primary());
		managers.primary().kill();
		scene.awaitRecovered(ranges);
	}

	// The same for the secondary.
	@Test
	void theRangesOfALostSecondaryAreServedByOthers() {
		List<OwnedRange> ranges = scene.deployment().ownedBy(managers.secondary());
		managers.secondary().kill();
		scene.awaitRecovered(ranges);
	}

	// Both managers die at once. The others go on under new managers; the ranges of the
	// two wait until one of them is back, as docs/DESIGN.md says.
	@Test
	void afterBothManagersAreLostOneThatComesBackFreesTheirRanges() {
		List<OwnedRange> ranges = scene.deployment().ownedBy(managers.primary());
		managers.primary().kill();
		managers.secondary().kill();
		scene.awaitAnswers();
		managers.secondary().start();
		scene.awaitRecovered(ranges);
	}

	// A member is lost, and the primary dies while it moves the member's ranges. Whoever
	// follows it finishes the move, once.
	@Test
	void aPrimaryLostDuringAMoveLosesNothing() {
		StandInInstance member = scene.otherThan(managers.primary(), managers.secondary());
		List<OwnedRange> ranges = scene.deployment().ownedBy(member);
		List<OwnedRange> more = scene.deployment().ownedBy(managers.primary());
		member.kill();
		managers.primary().kill();
		scene.awaitRecovered(ranges);
		scene.awaitRecovered(more);
	}

	// The same with the secondary, whose promise the move waits for.
	@Test
	void aSecondaryLostDuringAMoveLosesNothing() {
		StandInInstance member = scene.otherThan(managers.primary(), managers.secondary());
		List<OwnedRange> ranges = scene.deployment().ownedBy(member);
		List<OwnedRange> more = scene.deployment().ownedBy(managers.secondary());
		member.kill();
		managers.secondary().kill();
		scene.awaitRecovered(ranges);
		scene.awaitRecovered(more);
	}

	// The primary is paused for long and wakes as if nothing had happened, with renewals
	// and moves in its hands that are worth nothing any more.
	@Test
	void aPrimaryThatWakesFromAPauseChangesNothing() {
		List<OwnedRange> ranges = scene.deployment().ownedBy(managers.primary());
		managers.primary().pause();
		scene.awaitRecovered(ranges);
		managers.primary().resume();
		scene.awaitAnswers();
	}

	// Both managers stand still together and wake together, as on one frozen host.
	@Test
	void bothManagersPausedTogetherWakeWithoutTwoOwners() {
		managers.primary().pause();
		managers.secondary().pause();
		scene.awaitAnswers();
		managers.primary().resume();
		managers.secondary().resume();
		scene.awaitAnswers();
	}

	// The primary hears nothing of one member, the secondary does: it must not promise.
	@Test
	void aMemberThatTheSecondaryHearsIsNotRevoked() {
		StandInInstance member = scene.otherThan(managers.primary(), managers.secondary());
		scene.deployment().setLinksBetween(member, managers.primary(), LinkState.HELD_FORTH);
		scene.awaitAnswers();
		scene.awaitAnswers();
	}

}
