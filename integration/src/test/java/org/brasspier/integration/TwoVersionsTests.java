package org.brasspier.integration;

import java.util.List;

import org.brasspier.standins.DeploymentShape;
import org.brasspier.standins.OwnedRange;
import org.brasspier.standins.StandInInstance;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class TwoVersionsTests {

	private TestDeployment testDeployment;

	@BeforeEach
	void start() {
		this.testDeployment = TestDeployment.start(DeploymentShape.small(4).withTwoPeerVersions());
		this.testDeployment.startTraffic();
		this.testDeployment.awaitMoreAnswers();
		this.testDeployment.awaitAllInstancesOwnRanges();
	}

	@AfterEach
	void verify() {
		this.testDeployment.assertNoViolations();
		this.testDeployment.close();
	}

	// During a rolling replacement half of the daemons use the earlier protocol version.
	// Instances of each version are lost. The managers send the new row to members of
	// both versions, and each loss is recovered as in a deployment of one version.
	@Test
	void lossesAreRecoveredWhileDaemonsOfTwoVersionsRunSideBySide() {
		for (StandInInstance lost : this.testDeployment.deployment().instances()) {
			List<OwnedRange> ranges = this.testDeployment.deployment().ownedBy(lost);
			lost.kill();
			this.testDeployment.awaitRecovered(ranges);
			lost.start();
			this.testDeployment.deployment().awaitServed();
			this.testDeployment.awaitAllInstancesOwnRanges();
		}
	}

}
