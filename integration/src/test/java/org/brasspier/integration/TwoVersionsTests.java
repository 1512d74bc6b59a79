package org.brasspier.integration;

import java.util.List;

import org.brasspier.standins.DeploymentShape;
import org.brasspier.standins.OwnedRange;
import org.brasspier.standins.StandInInstance;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class TwoVersionsTests {

	private Scene scene;

	@BeforeEach
	void start() {
		this.scene = Scene.of(DeploymentShape.small(4).withTwoPeerVersions());
		this.scene.traffic();
		this.scene.awaitAnswers();
		this.scene.awaitAllOwn();
	}

	@AfterEach
	void judge() {
		this.scene.assertPromisesKept();
		this.scene.close();
	}

	// In the midst of a rolling replacement half of the daemons speak the earlier
	// protocol. Instances of each version are lost; whoever manages tells the new row to
	// members of both, and each loss is made good as if all were alike.
	@Test
	void lossesAreMadeGoodWhileDaemonsOfTwoVersionsRunSideBySide() {
		for (StandInInstance lost : this.scene.deployment().instances()) {
			List<OwnedRange> ranges = this.scene.deployment().ownedBy(lost);
			lost.kill();
			this.scene.awaitRecovered(ranges);
			lost.start();
			this.scene.deployment().awaitServed();
			this.scene.awaitAllOwn();
		}
	}

}
