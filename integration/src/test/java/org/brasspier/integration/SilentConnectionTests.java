package org.brasspier.integration;

import java.util.List;

import org.brasspier.standins.CallerRecord;
import org.brasspier.standins.FaultLink;
import org.brasspier.standins.LinkState;
import org.brasspier.standins.StandInRequest;
import org.brasspier.standins.TrafficStream;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

class SilentConnectionTests extends AbstractSceneTests {

	private static final int PADDING = 60_000;

	// Something between two daemons forgets their connections: what is sent over them is
	// lost and neither end is told, while new ones work. Callers whose requests are
	// forwarded get their answers as soon as the daemons have replaced them.
	@Tag("known-red")
	@Test
	void silentConnectionsBetweenDaemonsAreNoticedAndReplaced() {
		silence(":forward");
		scene.awaitAnswers();
		assertEachKeyIsAnsweredThroughEachDaemon();
	}

	// The same between the daemons' control ports: leases are renewed over new ones.
	@Test
	void silentControlConnectionsAreNoticedAndReplaced() {
		silence(":control");
		scene.awaitAnswers();
		assertEachKeyIsAnsweredThroughEachDaemon();
	}

	// The same between a daemon and the server beside it.
	@Test
	void silentConnectionsToTheBackendServerAreNoticedAndReplaced() {
		silence(">server");
		scene.awaitAnswers();
		assertEachKeyIsAnsweredThroughEachDaemon();
	}

	// Answers between daemons are held for a while and then all arrive at once, late and
	// after others of the same callers. Each caller gets its own, whole, or an error.
	@Test
	void lateAnswersReachNobodyElse() {
		scene.callers()
			.setTraffic(List.of(new TrafficStream(Scene.KEYED, true, "lookup", 150, 50, 0, "/look", PADDING),
					TrafficStream.steady(Scene.KEYED, true, "posting", 50)));
		for (int i = 0; i < 3; i++) {
			scene.deployment().setLinks((name) -> name.endsWith(":forward"), LinkState.HELD_BACK);
			scene.awaitAnswers();
			scene.deployment().setLinks((name) -> name.endsWith(":forward"), LinkState.HEALTHY);
			scene.awaitAnswers();
		}
	}

	private static void silence(String suffix) {
		List<FaultLink> links = scene.deployment().proxy().links((name) -> name.endsWith(suffix));
		int open = links.stream().mapToInt(FaultLink::openConnections).sum();
		assertWithMessage("open connections of %s", suffix).that(open).isGreaterThan(0);
		links.forEach(FaultLink::silenceOpenConnections);
	}

	private static void assertEachKeyIsAnsweredThroughEachDaemon() {
		for (int i = 0; i < 30; i++) {
			CallerRecord done = scene
				.ask(StandInRequest.lookup(Scene.KEYED, "key-" + i, scene.callers().newId()).withWaitMillis(10_000));
			assertThat(done.outcome()).isEqualTo(CallerRecord.Outcome.ANSWERED);
		}
	}

}
