package org.brasspier.integration;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import org.brasspier.core.InstanceId;
import org.brasspier.standins.Await;
import org.brasspier.standins.DaemonPorts;
import org.brasspier.standins.StandInInstance;
import org.brasspier.wire.FrameWriter;
import org.brasspier.wire.Handshake;
import org.brasspier.wire.SharedKeys;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Malformed input to each port, under normal traffic: the sender gets a documented error,
 * the time line an event, and other callers are not affected.
 */
class BadInputTests {

	private static final int HALF_OPEN_CONNECTIONS = 40;

	private static TestDeployment testDeployment;

	private static DaemonPorts ports;

	private static StandInInstance instance;

	@BeforeAll
	static void start() {
		testDeployment = TestDeployment.shardedByKey(2);
		instance = testDeployment.deployment().instances().getFirst();
		ports = instance.ports();
	}

	@AfterAll
	static void stop() {
		testDeployment.close();
	}

	@BeforeEach
	void startTraffic() {
		testDeployment.startTraffic();
	}

	@AfterEach
	void verify() {
		testDeployment.awaitMoreAnswers();
		testDeployment.assertNoViolations();
	}

	@ParameterizedTest
	@CsvSource(delimiter = '|', value = { "GET|/v1/hullbook/x|Brasspier-Request-Id: a b|BAD_REQUEST",
			"GET|/nowhere||BAD_REQUEST", "GET|/v1/no~name/x|Brasspier-Key: a|BAD_REQUEST",
			"GET|/v1/hullbook/x|Brasspier-Key: a,Brasspier-Class: royal|BAD_REQUEST",
			"GET|/v1/hullbook/x|Brasspier-Key: a,Brasspier-Deadline-Millis: soon|BAD_REQUEST",
			"GET|/v1/hullbook/x|Brasspier-Key: a,Brasspier-Deadline-Millis: 0|BAD_REQUEST",
			"POST|/v1/hullbook/x|Brasspier-Key: a|BAD_REQUEST",
			"POST|/v1/hullbook/x|Brasspier-Key: a,Brasspier-Request-Id: bad-1|TICKET_REQUIRED",
			"POST|/v1/hullbook/x|Brasspier-Key: a,Brasspier-Request-Id: bad-2,Brasspier-Ticket: forged|BAD_REQUEST" })
	void aMalformedRequestGetsAListedError(String method, String path, String headers, String errorKind)
			throws IOException {
		String fields = (headers != null) ? headers.replace(",", "\r\n") + "\r\n" : "";
		String answer = RawHttp.send(ports.callers(), RawHttp.request(method, path, fields, ""));
		assertThat(answer).contains("Brasspier-Error: " + errorKind);
		assertThat(answer).contains("Brasspier-Ran: not_run");
	}

	@Test
	void anOversizedBodyIsRefusedWithoutBeingRead() throws IOException {
		String head = "POST /v1/hullbook/x HTTP/1.1\r\nHost: b\r\nBrasspier-Key: a\r\nBrasspier-Request-Id: big\r\n"
				+ "Content-Length: 900000000\r\n\r\n" + "x".repeat(2 << 20);
		String answer = RawHttp.send(ports.callers(), head);
		assertThat(answer).contains("413");
	}

	@Test
	void anUnknownServiceIsNotServed() throws IOException {
		String answer = RawHttp.send(ports.callers(),
				RawHttp.request("GET", "/v1/unheard-of/x", "Brasspier-Key: a\r\n", ""));
		assertThat(answer).containsMatch("Brasspier-Error: (UNKNOWN_SERVICE|NO_OWNER)");
	}

	@Test
	void requestsThatAreNotHttpCloseOnlyTheirConnection() throws IOException {
		List<InetSocketAddress> http = List.of(ports.callers(), ports.backend(), ports.operators());
		for (InetSocketAddress port : http) {
			String answer = RawHttp.send(port, "\u0000\u0001\u0002 this is not HTTP\r\n\r\n");
			assertThat(answer).doesNotContain("200");
		}
	}

	@Test
	void aMalformedAnnouncementIsRefusedAndOnTheTimeLine() throws IOException {
		for (String body : List.of("{", "{\"service\": 7}", "[]", "", "{\"service\": \"hullbook\", \"slots\": -1}")) {
			String answer = RawHttp.send(ports.backend(), RawHttp.request("POST", "/v1/announce", "", body));
			assertThat(answer).startsWith("HTTP/1.1 400");
		}
		awaitEvent("502 BAD_BACKEND_INPUT");
	}

	@Test
	void aPeerThatDoesNotKnowTheKeyIsRefused() throws IOException {
		for (InetSocketAddress port : List.of(ports.forwards(), ports.control())) {
			SharedKeys wrong = new SharedKeys(List.of("another-key-of-enough-length"));
			byte[] forged = new FrameWriter().number(1)
				.text("hullbook-1")
				.bytes(new byte[16])
				.bytes(new byte[32])
				.frame();
			assertThat(new Handshake(new InstanceId("hullbook-1"), wrong, Handshake.MAX_VERSION).challenge())
				.isNotEmpty();
			assertThat(isConnectionClosed(port, forged)).isTrue();
		}
		awaitEvent("601 PEER_REFUSED");
	}

	// Sends frames of random bytes and random length, from a fixed seed.
	@Test
	void randomFramesCloseOnlyTheirConnection() throws IOException {
		SplittableRandom random = new SplittableRandom(3);
		for (int i = 0; i < 30; i++) {
			byte[] noise = new byte[random.nextInt(1, 600)];
			random.nextBytes(noise);
			noise[0] = 0;
			RawPeer.sendAndAwaitClose((i % 2 == 0) ? ports.forwards() : ports.control(), noise);
		}
	}

	@Test
	void aFrameThatClaimsToBeHugeIsRefused() throws IOException {
		byte[] huge = { 0x7f, (byte) 0xff, (byte) 0xff, (byte) 0xff, 1, 2, 3 };
		assertThat(isConnectionClosed(ports.forwards(), huge)).isTrue();
		assertThat(isConnectionClosed(ports.control(), huge)).isTrue();
	}

	@Test
	void aWrongOperatorSecretIsRefused() throws IOException {
		for (String path : List.of("/v1/status", "/v1/document", "/v1/events", "/v1/metrics")) {
			String none = RawHttp.send(ports.operators(), RawHttp.request("GET", path, "", ""));
			String wrong = RawHttp.send(ports.operators(),
					RawHttp.request("GET", path, "Authorization: Bearer guess\r\n", ""));
			assertThat(none).startsWith("HTTP/1.1 401");
			assertThat(wrong).startsWith("HTTP/1.1 401");
		}
	}

	// Callers that connect and then send only half a request occupy one connection each
	// and no other resource.
	@Test
	void halfOpenConnectionsDoNotAffectOtherCallers() throws IOException {
		List<Socket> sockets = new ArrayList<>();
		try {
			for (int i = 0; i < HALF_OPEN_CONNECTIONS; i++) {
				Socket socket = new Socket(ports.callers().getAddress(), ports.callers().getPort());
				sockets.add(socket);
				socket.getOutputStream().write("GET /v1/hullb".getBytes(StandardCharsets.US_ASCII));
			}
			testDeployment.awaitMoreAnswers();
		}
		finally {
			for (Socket socket : sockets) {
				socket.close();
			}
		}
	}

	private static boolean isConnectionClosed(InetSocketAddress port, byte[] bytes) throws IOException {
		return RawPeer.sendAndAwaitClose(port, bytes);
	}

	private static void awaitEvent(String event) {
		Await.until("the time line has " + event, () -> {
			try {
				return Files.readString(instance.daemon().log()).contains(event);
			}
			catch (IOException ex) {
				return false;
			}
		});
	}

}
