package org.brasspier.daemon.internal.http;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

class LeavingCallerTests {

	private static final int MAX_UNANSWERED = 16;

	private RunningCallerServer requests;

	@BeforeEach
	void listen() throws Exception {
		this.requests = new RunningCallerServer(Duration.ofSeconds(30));
	}

	@AfterEach
	void stop() {
		this.requests.close();
	}

	private static void leave(Socket socket, boolean reset) throws IOException {
		if (reset) {
			socket.setSoLinger(true, 0);
		}
		socket.close();
	}

	/**
	 * Guards against requests that run on for a caller that has left, since its
	 * connection is not read any more.
	 */
	@ParameterizedTest
	@CsvSource({ "1.1,'',1,false", "1.1,'',1,true", "1.1,Connection: close,1,false", "1.1,Connection: close,1,true",
			"1.0,'',1,false", "1.0,'',1,true", "1.1,'',15,false", "1.1,'',16,false", "1.1,'',16,true",
			"1.1,'',24,false", "1.1,'',200,false" })

	void allRequestsOfACallerThatLeavesAreCancelled(String version, String field, int count, boolean reset)
			throws Exception {
		int taken = Math.min(count, MAX_UNANSWERED);
		Socket caller = this.requests.connect();
		RunningCallerServer.send(caller, RunningCallerServer.request(version, field).repeat(count));
		RunningCallerServer.await("the requests are taken", () -> this.requests.served.get() == taken);
		leave(caller, reset);
		RunningCallerServer.await("all are cancelled", () -> this.requests.cancelled.get() == taken);
		assertThat(this.requests.served.get()).isEqualTo(taken);
	}

	/**
	 * Guards against requests that are dispatched although their caller had left before
	 * they were read, which happens when this process is behind.
	 */
	@ParameterizedTest
	@CsvSource({ "'',false", "'',true", "Connection: close,false", "Connection: close,true" })

	void aRequestWhoseCallerLeftBeforeItWasReadIsNotServed(String field, boolean reset) throws Exception {
		CountDownLatch behind = new CountDownLatch(1);
		this.requests.execute(() -> {
			try {
				behind.await();
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		});
		Socket caller = this.requests.connect();
		RunningCallerServer.send(caller, RunningCallerServer.request("1.1", field));
		leave(caller, reset);
		behind.countDown();
		Socket next = this.requests.connect();
		RunningCallerServer.send(next, RunningCallerServer.request("1.1", ""));
		RunningCallerServer.await("a later request is served", () -> this.requests.served.get() > 0);
		this.requests.onLoop(() -> {
		});
		assertThat(this.requests.served.get()).isEqualTo(1);
		leave(next, false);
	}

	/** Guards against bytes behind the last request that are taken for a request. */
	@Test
	void bytesBehindTheLastRequestNeverBecomeARequest() throws Exception {
		try (Socket caller = this.requests.connect()) {
			RunningCallerServer.send(caller, RunningCallerServer.request("1.1", "Connection: close")
					+ RunningCallerServer.request("1.1", "").repeat(3));
			RunningCallerServer.await("the request is taken", () -> this.requests.served.get() == 1);
			RunningCallerServer.send(caller, RunningCallerServer.request("1.1", ""));
			this.requests.onLoop(() -> this.requests.answerAll());
			String answers = new String(caller.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
			assertThat(answers.split("HTTP/1.1 200", -1)).hasLength(2);
		}
		assertThat(this.requests.served.get()).isEqualTo(1);
	}

	/**
	 * Guards against a caller that sends without end behind its requests: it must neither
	 * fill the memory nor hide that it leaves.
	 */
	@ParameterizedTest
	@CsvSource({ "Connection: close,1", "'',16" })
	void aCallerThatSendsWithoutEndIsReadUntilItLeaves(String field, int taken) throws Exception {
		Socket caller = this.requests.connect();
		RunningCallerServer.send(caller, RunningCallerServer.request("1.1", field).repeat(taken));
		RunningCallerServer.await("the requests are taken", () -> this.requests.served.get() == taken);
		byte[] more = RunningCallerServer.request("1.1", "").repeat(1000).getBytes(StandardCharsets.US_ASCII);
		for (int i = 0; i < 500; i++) {
			caller.getOutputStream().write(more);
		}
		leave(caller, false);
		RunningCallerServer.await("all are cancelled", () -> this.requests.cancelled.get() == taken);
		assertThat(this.requests.served.get()).isEqualTo(taken);
	}

	/**
	 * Guards against requests that are answered twice or not at all if a caller sends too
	 * many before it reads: those that were parsed are answered, the last one closes the
	 * connection.
	 */
	@Test
	void aCallerThatSendsTooMuchAheadGetsTheAnswersToWhatWasParsed() throws Exception {
		try (Socket caller = this.requests.connect()) {
			RunningCallerServer.send(caller, RunningCallerServer.request("1.1", "").repeat(10_000));
			RunningCallerServer.await("the first requests are taken",
					() -> this.requests.served.get() == MAX_UNANSWERED);
			this.requests.onLoop(() -> this.requests.answerAll());
			String answers = new String(caller.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
			assertThat(answers.split("HTTP/1.1 200", -1)).hasLength(MAX_UNANSWERED + 1);
			assertThat(answers.split("Connection: close", -1)).hasLength(2);
		}
		assertThat(this.requests.served.get()).isEqualTo(MAX_UNANSWERED);
	}

	/**
	 * Guards against callers that shut down only their sending side and never get the
	 * answer to a request that ran.
	 */
	@Test
	void aCallerThatOnlyStopsSendingGetsTheAnswerOfWhatRan() throws Exception {
		try (Socket caller = this.requests.connect()) {
			RunningCallerServer.send(caller, RunningCallerServer.request("1.1", ""));
			RunningCallerServer.await("the request is taken", () -> this.requests.served.get() == 1);
			caller.shutdownOutput();
			RunningCallerServer.await("it is cancelled", () -> this.requests.cancelled.get() == 1);
			this.requests.onLoop(() -> this.requests.answerAll());
			String answer = new String(caller.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
			assertThat(answer).startsWith("HTTP/1.1 200");
			assertThat(answer).contains("Connection: close");
		}
	}

}
