package org.brasspier.integration;

import org.brasspier.bench.demo.LeaseManagers;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;

/**
 * What the tests of single faults share: one deployment for the class, traffic before
 * each fault, and all promises judged after it.
 */
abstract class AbstractSceneTests {

	static Scene scene;

	static LeaseManagers managers;

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
		scene.awaitAllOwn();
		managers = LeaseManagers.await(scene.deployment());
	}

	@AfterEach
	void judge() {
		scene.assertPromisesKept();
	}

}
