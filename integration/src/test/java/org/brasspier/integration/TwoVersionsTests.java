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

	// In the midst of a rolling replacement half of the daemons speak the earlier
	// protocol. Instances of each version are lost; whoever manages tells the new row to
	// members of both, and each loss is made good as if all were alike.
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
