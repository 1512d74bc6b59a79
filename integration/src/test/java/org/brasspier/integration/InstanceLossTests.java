package org.brasspier.integration;

import java.util.List;

import org.brasspier.standins.OwnedRange;
import org.brasspier.standins.StandInInstance;
import org.junit.jupiter.api.Test;

class InstanceLossTests extends AbstractFaultTests {

	// The instance that owns a key is killed. The managers receive no more heartbeats
	// from it, let its lease expire and move its ranges. Callers are refused for a
	// moment, then another server answers.
	@Test
	void theRangesOfALostInstanceAreServedByOthers() {
		StandInInstance lost = testDeployment.owner("a");
		List<OwnedRange> ranges = testDeployment.deployment().ownedBy(lost);
		lost.kill();
		testDeployment.awaitRecovered(ranges);
	}

	// The process of the backend server is killed while its daemon is healthy. The daemon
	// detects this immediately, since the port of the server refuses connections, and
	// releases the ranges.
	@Test
	void theRangesOfALostBackendServerAreServedByOthers() {
		StandInInstance lost = testDeployment.owner("a");
		List<OwnedRange> ranges = testDeployment.deployment().ownedBy(lost);
		lost.server().kill();
		testDeployment.awaitRecovered(ranges);
	}

	// The process of the daemon is killed and its server survives, with orders still
	// running. The grants of the server expire with the lease, so orders that it
	// completes later have no effect, and other instances serve the ranges.
	@Test
	void theRangesOfALostDaemonAreServedByOthersThoughItsServerLives() {
		StandInInstance lost = testDeployment.owner("a");
		List<OwnedRange> ranges = testDeployment.deployment().ownedBy(lost);
		lost.daemon().kill();
		testDeployment.awaitRecovered(ranges);
	}

	// While the ranges of a lost instance are being moved to others, a second instance is
	// lost. The first recovery must not be undone nor the second skipped.
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
