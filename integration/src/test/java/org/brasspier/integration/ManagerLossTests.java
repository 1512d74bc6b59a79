package org.brasspier.integration;

import java.util.List;

import org.brasspier.standins.LinkState;
import org.brasspier.standins.OwnedRange;
import org.brasspier.standins.StandInInstance;
import org.junit.jupiter.api.Test;

class ManagerLossTests extends AbstractFaultTests {

	// The instance of the primary lease manager is killed. The secondary keeps renewing
	// the other leases, replaces the primary and moves its ranges.
	@Test
	void theRangesOfALostPrimaryAreServedByOthers() {
		List<OwnedRange> ranges = testDeployment.deployment().ownedBy(managers.primary());
		managers.primary().kill();
		testDeployment.awaitRecovered(ranges);
	}

	// The same loss, of the secondary lease manager.
	@Test
	void theRangesOfALostSecondaryAreServedByOthers() {
		List<OwnedRange> ranges = testDeployment.deployment().ownedBy(managers.secondary());
		managers.secondary().kill();
		testDeployment.awaitRecovered(ranges);
	}

	// Both managers are killed at once. The other members continue under new managers;
	// the ranges of the two wait until one of them is back, as docs/DESIGN.md specifies.
	@Test
	void afterBothManagersAreLostOneThatComesBackFreesTheirRanges() {
		List<OwnedRange> ranges = testDeployment.deployment().ownedBy(managers.primary());
		managers.primary().kill();
		managers.secondary().kill();
		testDeployment.awaitMoreAnswers();
		managers.secondary().start();
		testDeployment.awaitRecovered(ranges);
	}

	// A member is lost, and the primary is killed while it moves the ranges of that
	// member. Its successor must complete the move exactly once.
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

	// The same with the secondary, on whose promise the move depends.
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

	// The primary is paused for longer than its authority lasts and then resumes, with
	// pending renewals and moves that are no longer valid.
	@Test
	void aPrimaryResumedAfterAPauseChangesNothing() {
		List<OwnedRange> ranges = testDeployment.deployment().ownedBy(managers.primary());
		managers.primary().pause();
		testDeployment.awaitRecovered(ranges);
		managers.primary().resume();
		testDeployment.awaitMoreAnswers();
	}

	// Both managers are paused and resumed together, as on one frozen host.
	@Test
	void bothManagersResumedTogetherDoNotCauseTwoOwners() {
		managers.primary().pause();
		managers.secondary().pause();
		testDeployment.awaitMoreAnswers();
		managers.primary().resume();
		managers.secondary().resume();
		testDeployment.awaitMoreAnswers();
	}

	// The primary gets no heartbeats from one member, but the secondary does. The
	// secondary must therefore not promise to stop renewing the lease of that member.
	@Test
	void aMemberWhoseHeartbeatsReachTheSecondaryIsNotRevoked() {
		StandInInstance member = testDeployment.instanceOtherThan(managers.primary(), managers.secondary());
		testDeployment.deployment().setLinksBetween(member, managers.primary(), LinkState.HELD_FORTH);
		testDeployment.awaitMoreAnswers();
		testDeployment.awaitMoreAnswers();
	}

}
