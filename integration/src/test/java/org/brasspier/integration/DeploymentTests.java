package org.brasspier.integration;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.brasspier.standins.Await;
import org.brasspier.standins.Deployment;
import org.brasspier.standins.DeploymentShape;
import org.brasspier.standins.StandInInstance;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class DeploymentTests {

	private static final int EARLY_COMPLETION_WAIT_SECONDS = 5;

	// Guards against tests that stop the next instance, or send requests to one, while
	// its daemon is still starting. That happened because other daemons answered in its
	// place.
	@Test
	void aDeploymentIsServedOnlyOnceEachRunningDaemonAnswers() throws Exception {
		try (Deployment deployment = Deployment.prepare(DeploymentShape.small(3))) {
			StandInInstance late = deployment.instances().getLast();
			deployment.instances().stream().filter((instance) -> instance != late).forEach(StandInInstance::start);
			deployment.awaitServed();
			late.daemon().start();
			late.daemon().pause();
			CompletableFuture<Void> served = CompletableFuture.runAsync(deployment::awaitServed);
			TimeUnit.SECONDS.sleep(EARLY_COMPLETION_WAIT_SECONDS);
			assertThat(served.isDone()).isFalse();
			late.daemon().resume();
			late.server().start();
			served.get(Await.LIMIT.toSeconds(), TimeUnit.SECONDS);
		}
	}

}
