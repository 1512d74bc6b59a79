package org.brasspier.daemon.internal.http;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import org.brasspier.core.request.HeaderField;
import org.brasspier.daemon.mesh.RawRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

class ServerConnectionsTests {

	private static final int MAX_BODY_BYTES = 1000;

	private static final RawRequest CALL = new RawRequest("POST", "/grant", List.of(new HeaderField("Host", "h")),
			new byte[0]);

	private static final byte[] ANSWER = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nKeep-Alive: timeout=10\r\n\r\n"
		.getBytes(StandardCharsets.US_ASCII);

	private final Eventloop loop = Eventloop.create();

	private final ServerConnections connections = new ServerConnections();

	private Thread thread;

	private ServerSocket server;

	@BeforeEach
	void start() throws IOException {
		this.server = listen(0);
		this.loop.keepAlive(true);
		this.thread = Thread.ofPlatform().start(this.loop);
	}

	@AfterEach
	void stop() throws Exception {
		this.loop.execute(() -> this.loop.keepAlive(false));
		this.loop.execute(this.loop::breakEventloop);
		this.thread.join();
		this.server.close();
	}

	private static ServerSocket listen(int port) throws IOException {
		ServerSocket socket = new ServerSocket();
		socket.setReuseAddress(true);
		socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 50);
		return socket;
	}

	private BackendPool pool() {
		return new BackendPool(this.loop, (InetSocketAddress) this.server.getLocalSocketAddress(),
				new BodyBudget(this.loop, MAX_BODY_BYTES), this.connections);
	}

	private <T> CompletableFuture<T> start(Supplier<Promise<T>> call) {
		CompletableFuture<T> result = new CompletableFuture<>();
		this.loop.execute(() -> call.get().whenResult(result::complete));
		return result;
	}

	private <T> T get(Supplier<Promise<T>> call) throws Exception {
		return start(call).get(10, TimeUnit.SECONDS);
	}

	private Socket openFirst(BackendPool pool) throws Exception {
		assertThat(get(pool::open)).isTrue();
		return this.server.accept();
	}

	private static void answerOne(Socket socket) {
		unchecked(() -> {
			assertThat(socket.getInputStream().read()).isNotEqualTo(-1);
			socket.getOutputStream().write(ANSWER);
			return true;
		});
	}

	private static <T> T unchecked(Callable<T> action) {
		try {
			return action.call();
		}
		catch (Exception ex) {
			throw new IllegalStateException(ex);
		}
	}

	private void restartServer() {
		try {
			int port = this.server.getLocalPort();
			this.server.close();
			this.server = listen(port);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private BackendReply callInFirstSession(BackendPool pool) throws Exception {
		return get(() -> pool.runInSession(CALL, 1).reply());
	}

	@Test
	void aConnectionJoinsOnceAMemberHasAnsweredWhatWasSentAfterItOpened() throws Exception {
		BackendPool first = pool();
		Socket member = openFirst(first);
		BackendPool second = pool();
		assertThat(callInFirstSession(second)).isInstanceOf(BackendReply.NotSent.class);
		Socket joining = this.server.accept();
		CompletableFuture<BackendReply> reply = start(() -> first.runInSession(CALL, 1).reply());
		answerOne(member);
		assertThat(reply.get(10, TimeUnit.SECONDS)).isInstanceOf(BackendReply.Whole.class);
		CompletableFuture<BackendReply> joined = start(() -> second.runInSession(CALL, 1).reply());
		answerOne(joining);
		assertThat(joined.get(10, TimeUnit.SECONDS)).isInstanceOf(BackendReply.Whole.class);
	}

	/** Guards against a silent connection that vouches for the next process. */
	@Test
	void aConnectionDoesNotJoinTheSessionOfASilentOne() throws Exception {
		Socket silent = openFirst(pool());
		restartServer();
		BackendPool next = pool();
		assertThat(callInFirstSession(next)).isInstanceOf(BackendReply.NotSent.class);
		assertThat(callInFirstSession(next)).isInstanceOf(BackendReply.NotSent.class);
		silent.close();
	}

	/** Guards against an answer that was sent before the next process listened. */
	@Test
	void anAnswerToWhatWasSentBeforeDoesNotLetAConnectionJoin() throws Exception {
		BackendPool first = pool();
		Socket old = openFirst(first);
		CompletableFuture<BackendReply> reply = start(() -> first.runInSession(CALL, 1).reply());
		BackendPool next = pool();
		CompletableFuture<BackendReply> afterRestart = new CompletableFuture<>();
		this.loop.execute(() -> {
			answerOne(old);
			restartServer();
			next.runInSession(CALL, 1).reply().whenResult(afterRestart::complete);
		});
		assertThat(reply.get(10, TimeUnit.SECONDS)).isInstanceOf(BackendReply.Whole.class);
		assertThat(afterRestart.get(10, TimeUnit.SECONDS)).isInstanceOf(BackendReply.NotSent.class);
		assertThat(callInFirstSession(next)).isInstanceOf(BackendReply.NotSent.class);
		old.close();
	}

	/** Guards against a session that ends though its server goes on. */
	@Test
	void aConnectionThatIsOpenedInVainDoesNotEndTheSession() throws Exception {
		BackendPool pool = pool();
		Socket member = openFirst(pool);
		// Past its idle time, so that it is kept for the session only.
		Thread.sleep(1100);
		assertThat(get(() -> pool.run(CALL, true, (answer) -> true, () -> false).reply()))
			.isInstanceOf(BackendReply.NotSent.class);
		assertThat(get(() -> Promise.of(this.connections.isOpen()))).isTrue();
		member.close();
	}

	@Test
	void theSessionEndsWithItsLastConnection() throws Exception {
		Socket member = openFirst(pool());
		member.close();
		for (int i = 0; i < 500 && get(() -> Promise.of(this.connections.isOpen())); i++) {
			Thread.sleep(10);
		}
		assertThat(get(() -> Promise.of(this.connections.isOpen()))).isFalse();
		openFirst(pool());
		assertThat(get(() -> Promise.of(this.connections.session()))).isEqualTo(2);
	}

	/** Guards against a server whose connections are used up by calls that wait. */
	@Test
	void oneConnectionAtATimeWaitsToJoin() throws Exception {
		Socket silent = openFirst(pool());
		BackendPool next = pool();
		for (int i = 0; i < 5; i++) {
			assertThat(callInFirstSession(next)).isInstanceOf(BackendReply.NotSent.class);
		}
		this.server.accept();
		this.server.setSoTimeout(200);
		assertThrows(SocketTimeoutException.class, this.server::accept);
		silent.close();
	}

	/** Guards against calls that wait for members that never answer. */
	@Test
	void aSessionEndsIfACallWaitsForSilentMembers() throws Exception {
		Socket silent = openFirst(pool());
		BackendPool next = pool();
		callInFirstSession(next);
		for (int i = 0; i < 500 && get(() -> Promise.of(this.connections.isOpen())); i++) {
			Thread.sleep(10);
			callInFirstSession(next);
			this.loop.execute(this.connections::endSilentSession);
		}
		assertThat(get(() -> Promise.of(this.connections.isOpen()))).isFalse();
		silent.close();
	}

}
