package org.brasspier.daemon.internal.http;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import io.activej.eventloop.Eventloop;
import org.brasspier.core.request.HeaderField;
import org.brasspier.daemon.mesh.RawRequest;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class BackendPoolTests {

	private static final int MAX_BODY_BYTES = 1000;

	private static final RawRequest LOOKUP = new RawRequest("GET", "/records/7", List.of(new HeaderField("Host", "h")),
			new byte[0]);

	/**
	 * A caller's deadline passes while a backend server works on its request. The request
	 * is abandoned by closing its connection, and that close was taken for the server's:
	 * the caller got 502 instead of 504, and the server was counted as failing.
	 */
	@Test
	void anAbandonedRequestIsNotReportedAsBroken() throws Exception {
		try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			CompletableFuture<Void> read = CompletableFuture.runAsync(() -> readOneByte(server));
			Eventloop loop = Eventloop.create();
			BackendPool pool = new BackendPool(loop, (InetSocketAddress) server.getLocalSocketAddress(),
					new BodyBudget(loop, MAX_BODY_BYTES), new ServerConnections());
			CompletableFuture<BackendReply> reply = new CompletableFuture<>();
			loop.keepAlive(true);
			Thread thread = Thread.ofPlatform().start(loop);
			loop.execute(() -> {
				BackendPool.BackendRun run = pool.run(LOOKUP, true, (answer) -> true, () -> true);
				run.reply().whenResult(reply::complete);
				read.thenRun(() -> loop.execute(run::giveUp));
			});
			assertThat(reply.get()).isInstanceOf(BackendReply.GivenUp.class);
			loop.execute(() -> loop.keepAlive(false));
			thread.join();
		}
	}

	/**
	 * Guards against a request that reaches a server which started to drain while the
	 * connection to it was being opened.
	 */
	@Test
	void aRequestThatIsNoLongerAllowedOnceTheConnectionIsOpenIsNotSent() throws Exception {
		try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			Eventloop loop = Eventloop.create();
			BackendPool pool = new BackendPool(loop, (InetSocketAddress) server.getLocalSocketAddress(),
					new BodyBudget(loop, MAX_BODY_BYTES), new ServerConnections());
			CompletableFuture<BackendReply> reply = new CompletableFuture<>();
			loop.keepAlive(true);
			Thread thread = Thread.ofPlatform().start(loop);
			loop.execute(
					() -> pool.run(LOOKUP, true, (answer) -> true, () -> false).reply().whenResult(reply::complete));
			assertThat(reply.get()).isInstanceOf(BackendReply.NotSent.class);
			try (Socket socket = server.accept()) {
				assertThat(socket.getInputStream().read()).isEqualTo(-1);
			}
			loop.execute(() -> loop.keepAlive(false));
			thread.join();
		}
	}

	/**
	 * Guards against a request that can't be repeated and reaches its server although its
	 * caller left while the connection was being opened.
	 */
	@Test
	void aRequestThatIsGivenUpBeforeItsConnectionIsOpenIsNotSent() throws Exception {
		try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			Eventloop loop = Eventloop.create();
			BackendPool pool = new BackendPool(loop, (InetSocketAddress) server.getLocalSocketAddress(),
					new BodyBudget(loop, MAX_BODY_BYTES), new ServerConnections());
			CompletableFuture<BackendReply> reply = new CompletableFuture<>();
			loop.keepAlive(true);
			Thread thread = Thread.ofPlatform().start(loop);
			loop.execute(() -> {
				BackendPool.BackendRun run = pool.run(LOOKUP, false, (answer) -> true, () -> true);
				run.reply().whenResult(reply::complete);
				run.giveUpIfUnsent();
			});
			assertThat(reply.get()).isInstanceOf(BackendReply.NotSent.class);
			try (Socket socket = server.accept()) {
				assertThat(socket.getInputStream().read()).isEqualTo(-1);
			}
			loop.execute(() -> loop.keepAlive(false));
			thread.join();
		}
	}

	// The connection stays open until the process ends.
	private static void readOneByte(ServerSocket server) {
		try {
			Socket socket = server.accept();
			socket.getInputStream().read();
		}
		catch (java.io.IOException ex) {
			throw new java.io.UncheckedIOException(ex);
		}
	}

}
