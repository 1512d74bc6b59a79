package org.brasspier.daemon.internal.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import com.google.common.util.concurrent.Uninterruptibles;
import io.activej.eventloop.Eventloop;
import org.brasspier.core.request.HeaderField;
import org.brasspier.daemon.mesh.RawRequest;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Handling of requests and answers that fails in this process.
 */
class FailingHandlingTests {

	private static String statusLine(Socket socket) throws IOException {
		byte[] line = new byte["HTTP/1.1 200".length()];
		int read = socket.getInputStream().readNBytes(line, 0, line.length);
		return new String(line, 0, read, StandardCharsets.US_ASCII);
	}

	/**
	 * Guards against requests that are never answered because the handling of another
	 * one, which was received at the same time, has failed.
	 */
	@Test
	void aRequestWhoseHandlingFailsDoesNotKeepOthersFromBeingServed() throws Exception {
		try (RunningCallerServer server = new RunningCallerServer(Duration.ofMinutes(1));
				Socket failing = server.connect();
				Socket sound = server.connect()) {
			server.failNext();
			CountDownLatch sent = new CountDownLatch(2);
			server.execute(() -> Uninterruptibles.awaitUninterruptibly(sent, 10, TimeUnit.SECONDS));
			RunningCallerServer.send(failing, RunningCallerServer.request("1.1", ""));
			sent.countDown();
			RunningCallerServer.send(sound, RunningCallerServer.request("1.1", ""));
			sent.countDown();
			RunningCallerServer.await("the other request is served", () -> server.served.get() == 1);
			server.onLoop(server::answerAll);
			assertThat(List.of(statusLine(failing), statusLine(sound))).containsExactly("HTTP/1.1 502", "HTTP/1.1 200");
		}
	}

	/**
	 * Guards against a connection that stays open and is never read on after reading has
	 * failed; here the record of the malformed request fails.
	 */
	@Test
	void aConnectionWhoseReadingFailsIsAnsweredAndClosed() throws Exception {
		try (RunningCallerServer server = new RunningCallerServer(Duration.ofMinutes(1));
				Socket caller = server.connect()) {
			server.failOnMalformed();
			RunningCallerServer.send(caller, "no request\r\n\r\n");
			assertThat(statusLine(caller)).isEqualTo("HTTP/1.1 400");
			assertThat(caller.getInputStream().readAllBytes()).isNotNull();
		}
	}

	/**
	 * Guards against a request that has no outcome until its deadline because its answer
	 * can't be handled.
	 */
	@Test
	void aRequestWhoseAnswerCannotBeHandledHasAnOutcome() throws Exception {
		try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			Eventloop loop = Eventloop.create();
			BackendPool pool = new BackendPool(loop, (InetSocketAddress) server.getLocalSocketAddress(),
					new BodyBudget(loop, 1000), new ServerConnections());
			CompletableFuture<BackendReply> reply = new CompletableFuture<>();
			loop.keepAlive(true);
			Thread.ofPlatform().daemon().start(loop);
			loop.execute(() -> pool.run(new RawRequest("GET", "/x", List.of(new HeaderField("Host", "h")), new byte[0]),
					true, (answer) -> {
						throw new IllegalStateException("expected");
					}, () -> true)
				.reply()
				.whenResult(reply::complete));
			try (Socket socket = server.accept()) {
				RunningCallerServer.send(socket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
				assertThat(reply.get(10, TimeUnit.SECONDS)).isInstanceOf(BackendReply.Garbled.class);
			}
		}
	}

}
