package org.brasspier.integration;

import java.util.List;

import org.brasspier.standins.OwnedRange;
import org.brasspier.standins.StandInInstance;
import org.junit.jupiter.api.Test;

class InstanceLossTests extends AbstractFaultTests {

	// A crew asks for a record and its owner's machine dies. The managers hear no more
	// heartbeats, let the lease run out and move the ranges. The crew's next tries are
	// turned away for a moment, then another server answers.
	@Test
	void theRangesOfALostInstanceAreServedByOthers() {
		StandInInstance lost = testDeployment.owner("a");
		List<OwnedRange> ranges = testDeployment.deployment().ownedBy(lost);
		lost.kill();
		testDeployment.awaitRecovered(ranges);
	}

	// The backend server's process dies, its daemon is well and knows of it at once: the
	// server's port refuses. The daemon gives the ranges up.
	@Test
	void theRangesOfALostBackendServerAreServedByOthers() {
		StandInInstance lost = testDeployment.owner("a");
		List<OwnedRange> ranges = testDeployment.deployment().ownedBy(lost);
		lost.server().kill();
		testDeployment.awaitRecovered(ranges);
	}

	// The daemon's process dies and its server lives on, with orders still running. The
	// grants that the server holds run out with the lease, so what it finishes later has
	// no effect, and others serve the ranges.
	@Test
	void theRangesOfALostDaemonAreServedByOthersThoughItsServerLives() {
		StandInInstance lost = testDeployment.owner("a");
		List<OwnedRange> ranges = testDeployment.deployment().ownedBy(lost);
		lost.daemon().kill();
		testDeployment.awaitRecovered(ranges);
	}

	// While the ranges of a lost instance are on their way to others, a second one is
	// lost. The first recovery must not be undone nor the second forgotten.
	@Test
	void aSecondLossDuringARecoveryLosesNoRange() {
		StandInInstance first = testDeployment.owner("a");
		StandInInstance second = testDeployment.instanceOtherThan(first);
		List<OwnedRange> ranges = testDeployment.deployment().ownedBy(first);
		first.kill();
		testDeployment.awaitRecovered(ranges.subList(0, 1));
		List<OwnedRange> rangesOfSecond = testDeployment.deployment().ownedBy(second);
		second.kill();
		first.start();
		testDeployment.awaitRecovered(rangesOfSecond);
	}

}
