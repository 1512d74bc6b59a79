package org.brasspier.daemon.internal.http;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import io.activej.eventloop.Eventloop;
import org.brasspier.core.coldstart.ColdStartLimiter;
import org.brasspier.core.keys.BackendIncarnation;
import org.brasspier.core.request.Answer;
import org.brasspier.core.request.HeaderField;
import org.brasspier.daemon.internal.coldstart.WarmthChecks;
import org.brasspier.daemon.mesh.AnswerIdentity;
import org.brasspier.daemon.mesh.BackendProtocol;
import org.brasspier.daemon.mesh.BackendRequest;
import org.brasspier.daemon.mesh.RawRequest;
import org.brasspier.daemon.mesh.ServerNotice;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link WarmthChecks} with a server whose answers to health checks name no
 * check.
 */
class WarmthChecksTests {

	private static final int MAX_BODY_BYTES = 1000;

	private static final double COLD_PER_SECOND = 21;

	private static final BackendIncarnation SERVER = new BackendIncarnation("server", 1);

	private final Eventloop loop = Eventloop.create();

	// Counts the requests of a process before this one, so that a check is due at once.
	private final ColdStartLimiter limiter = new ColdStartLimiter(System.nanoTime());

	private final ServerConnections connections = new ServerConnections();

	private ScriptedServer server;

	private BackendPool pool;

	private WarmthChecks checks;

	private void serve(ScriptedServer.Script script) throws IOException {
		this.server = new ScriptedServer(script);
		this.limiter.limit(COLD_PER_SECOND);
		this.pool = new BackendPool(this.loop, this.server.address(), new BodyBudget(this.loop, MAX_BODY_BYTES),
				this.connections);
		this.checks = new WarmthChecks(this.loop, this.pool, new Protocol(), this.limiter);
		this.loop.keepAlive(true);
		Thread.ofPlatform().daemon().start(this.loop);
	}

	@AfterEach
	void stop() throws IOException {
		this.loop.execute(this.loop::breakEventloop);
		this.server.close();
	}

	// Uses up the limit, sends a check and awaits its result.
	private void check() throws Exception {
		CompletableFuture<Boolean> answered = new CompletableFuture<>();
		this.loop.execute(() -> {
			while (this.limiter.mayStart(System.nanoTime())) {
				this.limiter.onStarted();
				this.limiter.onSent(System.nanoTime());
			}
			this.checks.sendIfDue("/health", SERVER, System.nanoTime(), () -> answered.complete(true));
		});
		answered.get(30, TimeUnit.SECONDS);
		// Checks are not sent closer together.
		TimeUnit.MILLISECONDS.sleep(10);
	}

	// Returns what the limiter says: the server is cold, or counted as warm, or neither.
	private String state() throws Exception {
		CompletableFuture<String> state = new CompletableFuture<>();
		this.loop.execute(() -> {
			long now = System.nanoTime();
			state.complete(
					this.limiter.isCold(now) ? "cold" : this.limiter.mayStart(now) ? "counted as warm" : "unknown");
		});
		return state.get(30, TimeUnit.SECONDS);
	}

	private static String coldFor(int millis) {
		return "HTTP/1.1 200 Any\r\nKeep-Alive: timeout=10\r\nCold: %d\r\nContent-Length: 0\r\n\r\n".formatted(millis);
	}

	/**
	 * Guards against a cold server that counts as warm, since a late second answer to the
	 * check before is taken for the answer to the next one.
	 */
	@Test
	@Tag("known-red")
	void aLateSecondAnswerToACheckIsNotTakenForTheAnswerToTheNextOne() throws Exception {
		AtomicBoolean cold = new AtomicBoolean();
		serve((connection) -> {
			String late = "";
			while (true) {
				connection.read();
				String own = coldFor(cold.get() ? 60_000 : 0);
				connection.write(late + own);
				late = own;
			}
		});
		assertThat(stateOnceKnown()).isEqualTo("counted as warm");
		cold.set(true);
		assertThat(stateOnceKnown()).isEqualTo("cold");
	}

	// Sends checks until one was answered in time.
	private String stateOnceKnown() throws Exception {
		String state = "unknown";
		for (int i = 0; i < 20 && state.equals("unknown"); i++) {
			check();
			state = state();
		}
		return state;
	}

	/**
	 * A server says in a field how long it stays cold.
	 */
	private static final class Protocol implements BackendProtocol {

		@Override
		public RawRequest request(BackendRequest request) {
			throw new UnsupportedOperationException();
		}

		@Override
		public AnswerIdentity identity(List<HeaderField> headers) {
			return ScriptedServer.identity(headers);
		}

		@Override
		public Verdict verdict(BackendRequest request, Answer answer) {
			throw new UnsupportedOperationException();
		}

		@Override
		public Optional<ServerNotice> notice(BackendRequest request, Answer answer) {
			throw new UnsupportedOperationException();
		}

		@Override
		public RawRequest healthCheck(String path) {
			return new RawRequest("GET", path, List.of(new HeaderField("Host", "h")), new byte[0]);
		}

		@Override
		public Optional<Duration> coldRemaining(BackendIncarnation server, Answer answer) {
			return answer.headers()
				.stream()
				.filter((field) -> field.name().equals("Cold"))
				.map((field) -> Duration.ofMillis(Long.parseLong(field.value())))
				.findFirst();
		}

	}

}
