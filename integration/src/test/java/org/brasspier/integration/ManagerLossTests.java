package org.brasspier.integration;

import java.util.List;

import org.brasspier.standins.LinkState;
import org.brasspier.standins.OwnedRange;
import org.brasspier.standins.StandInInstance;
import org.junit.jupiter.api.Test;

class ManagerLossTests extends AbstractFaultTests {

	// The primary lease manager's machine dies. The secondary goes on renewing the
	// others, replaces it and moves its ranges.
	@Test
	void theRangesOfALostPrimaryAreServedByOthers() {
		List<OwnedRange> ranges = testDeployment.deployment().ownedBy(managers.primary());
		managers.primary().kill();
		testDeployment.awaitRecovered(ranges);
	}

	// The same for the secondary.
	@Test
	void theRangesOfALostSecondaryAreServedByOthers() {
		List<OwnedRange> ranges = testDeployment.deployment().ownedBy(managers.secondary());
		managers.secondary().kill();
		testDeployment.awaitRecovered(ranges);
	}

	// Both managers die at once. The others go on under new managers; the ranges of the
	// two wait until one of them is back, as docs/DESIGN.md says.
	@Test
	void afterBothManagersAreLostOneThatComesBackFreesTheirRanges() {
		List<OwnedRange> ranges = testDeployment.deployment().ownedBy(managers.primary());
		managers.primary().kill();
		managers.secondary().kill();
		testDeployment.awaitMoreAnswers();
		managers.secondary().start();
		testDeployment.awaitRecovered(ranges);
	}

	// A member is lost, and the primary dies while it moves the member's ranges. Whoever
	// follows it finishes the move, once.
	@Test
	void aPrimaryLostDuringAMoveLosesNoRange() {
		StandInInstance member = testDeployment.instanceOtherThan(managers.primary(), managers.secondary());
		List<OwnedRange> ranges = testDeployment.deployment().ownedBy(member);
		List<OwnedRange> rangesOfManager = testDeployment.deployment().ownedBy(managers.primary());
		member.kill();
		managers.primary().kill();
		testDeployment.awaitRecovered(ranges);
		testDeployment.awaitRecovered(rangesOfManager);
	}

	// The same with the secondary, whose promise the move waits for.
	@Test
	void aSecondaryLostDuringAMoveLosesNoRange() {
		StandInInstance member = testDeployment.instanceOtherThan(managers.primary(), managers.secondary());
		List<OwnedRange> ranges = testDeployment.deployment().ownedBy(member);
		List<OwnedRange> rangesOfManager = testDeployment.deployment().ownedBy(managers.secondary());
		member.kill();
		managers.secondary().kill();
		testDeployment.awaitRecovered(ranges);
		testDeployment.awaitRecovered(rangesOfManager);
	}

	// The primary is paused for long and wakes as if nothing had happened, with renewals
	// and moves in its hands that are worth nothing any more.
	@Test
	void aPrimaryResumedAfterAPauseChangesNothing() {
		List<OwnedRange> ranges = testDeployment.deployment().ownedBy(managers.primary());
		managers.primary().pause();
		testDeployment.awaitRecovered(ranges);
		managers.primary().resume();
		testDeployment.awaitMoreAnswers();
	}

	// Both managers stand still together and wake together, as on one frozen host.
	@Test
	void bothManagersResumedTogetherDoNotCauseTwoOwners() {
		managers.primary().pause();
		managers.secondary().pause();
		testDeployment.awaitMoreAnswers();
		managers.primary().resume();
		managers.secondary().resume();
		testDeployment.awaitMoreAnswers();
	}

	// The primary hears nothing of one member, the secondary does: it must not promise.
	@Test
	void aMemberWhoseHeartbeatsReachTheSecondaryIsNotRevoked() {
		StandInInstance member = testDeployment.instanceOtherThan(managers.primary(), managers.secondary());
		testDeployment.deployment().setLinksBetween(member, managers.primary(), LinkState.HELD_FORTH);
		testDeployment.awaitMoreAnswers();
		testDeployment.awaitMoreAnswers();
	}

}
