package org.brasspier.integration;

import org.brasspier.bench.demo.LeaseManagers;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;

/**
 * Base class for tests of single faults: one deployment for each class, traffic before
 * each fault, and a check of all invariants after it.
 */
abstract class AbstractFaultTests {

	static TestDeployment testDeployment;

	static LeaseManagers managers;

	@BeforeAll
	static void start() {
		testDeployment = TestDeployment.shardedByKey(4);
	}

	@AfterAll
	static void stop() {
		testDeployment.close();
	}

	@BeforeEach
	void startTraffic() {
		testDeployment.startTraffic();
		testDeployment.awaitMoreAnswers();
		testDeployment.awaitAllInstancesOwnRanges();
		managers = LeaseManagers.await(testDeployment.deployment());
	}

	@AfterEach
	void verify() {
		testDeployment.assertNoViolations();
	}

}
