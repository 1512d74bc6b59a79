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

class SilentConnectionTests extends AbstractFaultTests {

	private static final int PADDING_BYTES = 60_000;

	// A network device between two daemons drops the state of their connections: data
	// sent over them is lost and neither end is notified, while new connections work.
	// Callers whose requests are forwarded get their answers as soon as the daemons have
	// replaced the connections.
	@Tag("known-red")
	@Test
	void silentConnectionsBetweenDaemonsAreNoticedAndReplaced() {
		silenceOpenConnections(":forward");
		testDeployment.awaitMoreAnswers();
		assertEachKeyIsAnsweredThroughEachDaemon();
	}

	// The same fault between the control ports of the daemons: leases are renewed over
	// new connections.
	@Test
	void silentControlConnectionsAreNoticedAndReplaced() {
		silenceOpenConnections(":control");
		testDeployment.awaitMoreAnswers();
		assertEachKeyIsAnsweredThroughEachDaemon();
	}

	// The same fault between a daemon and the backend server beside it.
	@Test
	void silentConnectionsToTheBackendServerAreNoticedAndReplaced() {
		silenceOpenConnections(">server");
		testDeployment.awaitMoreAnswers();
		assertEachKeyIsAnsweredThroughEachDaemon();
	}

	// Answers between daemons are held back and then all delivered at once, late and
	// after other answers to the same callers. Each caller must get its own complete
	// answer or an error.
	@Test
	void lateAnswersReachOnlyTheirOwnCallers() {
		testDeployment.callers()
			.setTraffic(List.of(new TrafficStream(TestDeployment.SHARDED_SERVICE, true, "lookup", 150, 50, 0, "/look",
					PADDING_BYTES), TrafficStream.steady(TestDeployment.SHARDED_SERVICE, true, "posting", 50)));
		for (int i = 0; i < 3; i++) {
			testDeployment.deployment().setLinks((name) -> name.endsWith(":forward"), LinkState.HELD_BACK);
			testDeployment.awaitMoreAnswers();
			testDeployment.deployment().setLinks((name) -> name.endsWith(":forward"), LinkState.HEALTHY);
			testDeployment.awaitMoreAnswers();
		}
	}

	private static void silenceOpenConnections(String suffix) {
		List<FaultLink> links = testDeployment.deployment().proxy().links((name) -> name.endsWith(suffix));
		int openConnections = links.stream().mapToInt(FaultLink::openConnections).sum();
		assertWithMessage("open connections of %s", suffix).that(openConnections).isGreaterThan(0);
		links.forEach(FaultLink::silenceOpenConnections);
	}

	private static void assertEachKeyIsAnsweredThroughEachDaemon() {
		for (int i = 0; i < 30; i++) {
			CallerRecord record = testDeployment.call(
					StandInRequest.lookup(TestDeployment.SHARDED_SERVICE, "key-" + i, testDeployment.callers().newId())
						.withWaitMillis(10_000));
			assertThat(record.outcome()).isEqualTo(CallerRecord.Outcome.ANSWERED);
		}
	}

}
