package org.brasspier.daemon.internal.http;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;

import io.activej.eventloop.Eventloop;
import org.brasspier.core.request.Answer;
import org.brasspier.core.request.HeaderField;
import org.brasspier.daemon.internal.exchange.CarriedRequests;
import org.brasspier.daemon.internal.exchange.ExchangeFinding;
import org.brasspier.daemon.internal.exchange.ServerCall;
import org.brasspier.daemon.mesh.RawRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests with a server that answers a request a second time where the answer to the next
 * one is expected.
 */
class ExchangeIdentityTests {

	private static final int MAX_BODY_BYTES = 1 << 20;

	private final Eventloop loop = Eventloop.create();

	private final ServerConnections connections = new ServerConnections();

	private final List<ExchangeFinding> findings = new CopyOnWriteArrayList<>();

	private ScriptedServer server;

	private BackendPool pool;

	private void serve(ScriptedServer.Script script) throws IOException {
		this.server = new ScriptedServer(script);
		this.pool = new BackendPool(this.loop, this.server.address(), new BodyBudget(this.loop, MAX_BODY_BYTES),
				this.connections);
		this.connections.exchanges().setListener(this.findings::add);
		this.loop.keepAlive(true);
		Thread.ofPlatform().daemon().start(this.loop);
	}

	@AfterEach
	void stop() throws IOException {
		this.loop.execute(this.loop::breakEventloop);
		this.server.close();
	}

	private BackendPool.BackendRun run(String method, String id) {
		RawRequest request = new RawRequest(method, "/records/7",
				List.of(new HeaderField("Host", "h"), new HeaderField("Request", id)), new byte[0]);
		return this.pool.run(ServerCall.withId(request, id, true, ScriptedServer::identity), () -> true);
	}

	// Returns the status and body of the answer, or the class of the reply if there is
	// none.
	private static String describe(BackendReply reply) {
		return switch (reply) {
			case BackendReply.Whole(Answer answer) -> answer.status() + new String(answer.body());
			case BackendReply other -> other.getClass().getSimpleName();
		};
	}

	private String send(String method, String id) throws Exception {
		CompletableFuture<BackendReply> reply = new CompletableFuture<>();
		this.loop.execute(() -> run(method, id).reply().whenResult(reply::complete));
		return describe(reply.get(30, TimeUnit.SECONDS));
	}

	private String send(String id) throws Exception {
		return send("GET", id);
	}

	// Answers each request at once, and before that the previous one again.
	private static void answerEachTwice(ScriptedServer.Connection connection, String... answers) throws IOException {
		String late = "";
		for (String answer : answers) {
			String id = connection.read();
			String own = ScriptedServer.answer(Integer.parseInt(answer), id, " from " + connection.number());
			connection.write(late + own);
			late = own;
		}
		connection.read();
	}

	/**
	 * Guards against a caller that gets the answer of an earlier run of its request: a
	 * success where the server failed, or "not run" for a request that runs.
	 */
	@ParameterizedTest
	@ValueSource(strings = { "503,200", "200,500", "500,200", "421,200" })
	void aLateSecondAnswerIsNotTakenForThatOfTheNextRunOfItsRequest(String statuses) throws Exception {
		String[] answers = statuses.split(",");
		serve((connection) -> answerEachTwice(connection,
				(connection.number() == 1) ? answers : new String[] { answers[1] }));
		assertThat(send("a")).startsWith(answers[0]);
		assertThat(send("a")).startsWith(answers[1]);
	}

	/** Guards against a connection for each request, which costs a server slots. */
	@Test
	void requestsWithDifferentIdsShareAConnection() throws Exception {
		serve((connection) -> {
			while (true) {
				connection.write(ScriptedServer.answer(200, connection.read(), ""));
			}
		});
		for (int i = 0; i < 200; i++) {
			assertThat(send("r" + i)).isEqualTo("200");
		}
		assertThat(this.server.connections()).isEqualTo(1);
	}

	/**
	 * Guards against one id that is repeated and costs the server a connection each time.
	 */
	@Test
	void aConnectionThatHasCarriedAnIdStillServesOthers() throws Exception {
		serve((connection) -> {
			while (true) {
				connection.write(ScriptedServer.answer(200, connection.read(), " from " + connection.number()));
			}
		});
		assertThat(send("a")).isEqualTo("200 from 1");
		assertThat(send("a")).isEqualTo("200 from 2");
		for (int i = 0; i < 5; i++) {
			assertThat(send("b" + i)).isEqualTo("200 from 2");
		}
		assertThat(this.server.connections()).isEqualTo(2);
	}

	/** Guards against memory that grows with the requests of a connection. */
	@Test
	void aConnectionIsReplacedOnceItHasCarriedAsManyRequestsAsItRemembers() throws Exception {
		AtomicInteger mostOnOne = new AtomicInteger();
		serve((connection) -> {
			for (int carried = 1;; carried++) {
				String id = connection.read();
				mostOnOne.accumulateAndGet(carried, Math::max);
				connection.write(ScriptedServer.answer(200, id, ""));
			}
		});
		int requests = 2 * CarriedRequests.CAPACITY;
		for (int i = 0; i < requests; i++) {
			assertThat(send("r" + i)).isEqualTo("200");
		}
		assertThat(mostOnOne.get()).isAtMost(CarriedRequests.CAPACITY);
		assertThat(this.server.connections()).isAtMost(requests / 1000);
	}

	/**
	 * Guards against a failure that belongs to another request, or to none, and is passed
	 * on or taken for a statement that this one did not run.
	 */
	@Test
	void anAnswerThatNamesNoRequestIsNoAnswer() throws Exception {
		serve((connection) -> {
			if (connection.number() == 2) {
				connection.write(ScriptedServer.answer(200, connection.read(), ""));
			}
			String id = connection.read();
			connection.write(ScriptedServer.answer(503, "") + ScriptedServer.answer(200, id, ""));
			connection.read();
		});
		assertThat(send("first on its connection")).isEqualTo("Garbled");
		assertThat(send("a")).isEqualTo("200");
		assertThat(send("later on its connection")).isEqualTo("Garbled");
	}

	/**
	 * Guards against further late answers of a server that has sent one. The only member
	 * of a session is kept, since other connections join by its answers alone.
	 */
	@Test
	void aConnectionOnWhichAnAnswerWasSkippedIsNotUsedAgainUnlessItIsTheOnlyMember() throws Exception {
		serve((connection) -> answerEachTwice(connection, "200", "200", "200", "200"));
		assertThat(send("a")).isEqualTo("200 from 1");
		assertThat(send("b")).isEqualTo("200 from 1");
		assertThat(open()).isTrue();
		assertThat(send("c")).isEqualTo("200 from 2");
		assertThat(send("d")).isEqualTo("200 from 2");
		assertThat(send("e")).isEqualTo("200 from 1");
		assertThat(this.findings.stream().filter((finding) -> finding instanceof ExchangeFinding.AnswerSkipped).count())
			.isEqualTo(3);
		assertThat(this.connections.session()).isEqualTo(1);
	}

	/** Guards against one more open connection for each use of an id. */
	@Test
	void anIdThatIsUsedOftenLeavesTwoConnectionsOpenAtMost() throws Exception {
		AtomicInteger open = new AtomicInteger();
		serve((connection) -> {
			open.incrementAndGet();
			try {
				while (true) {
					connection.write(ScriptedServer.answer(200, connection.read(), ""));
				}
			}
			finally {
				open.decrementAndGet();
			}
		});
		for (int i = 0; i < 20; i++) {
			assertThat(send("a")).isEqualTo("200");
			awaitAtMost(2, open);
		}
	}

	// The server learns of a close a little later than the answer is delivered.
	private static void awaitAtMost(int most, AtomicInteger open) throws InterruptedException {
		long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
		while (open.get() > most && System.nanoTime() < until) {
			TimeUnit.MILLISECONDS.sleep(5);
		}
		assertThat(open.get()).isAtMost(most);
	}

	private boolean open() throws Exception {
		CompletableFuture<Boolean> opened = new CompletableFuture<>();
		this.loop.execute(() -> this.pool.open().whenResult(opened::complete));
		return opened.get(30, TimeUnit.SECONDS);
	}

	/**
	 * Guards against a grant that is taken to be in force, since a late second answer to
	 * the grant before it came on its connection.
	 */
	@Test
	@Tag("known-red")
	void aLateSecondAnswerToAGrantIsNotTakenForTheAnswerToTheNextOne() throws Exception {
		serve((connection) -> {
			connection.read();
			connection.write(ScriptedServer.answer(200, ""));
			connection.read();
			connection.write(ScriptedServer.answer(200, "") + ScriptedServer.answer(409, ""));
			connection.read();
		});
		assertThat(open()).isTrue();
		assertThat(grant()).isEqualTo(200);
		assertThat(grant()).isNotEqualTo(200);
	}

	// Returns the status of the answer to a grant; 0 if it has none.
	private int grant() throws Exception {
		RawRequest request = new RawRequest("POST", "/grant", List.of(new HeaderField("Host", "h")), new byte[0]);
		CompletableFuture<BackendReply> reply = new CompletableFuture<>();
		this.loop.execute(() -> this.pool.runInSession(request, 1).reply().whenResult(reply::complete));
		return (reply.get(30, TimeUnit.SECONDS) instanceof BackendReply.Whole(Answer answer)) ? answer.status() : 0;
	}

	/**
	 * Guards against an answer to HEAD that is waited for in vain, since the answer that
	 * was skipped before it had a body.
	 */
	@Test
	void theAnswerToHeadHasNoBodyAlsoBehindAnAnswerThatWasSkipped() throws Exception {
		serve((connection) -> {
			connection.write(ScriptedServer.answer(200, connection.read(), ""));
			String id = connection.read();
			connection.write(ScriptedServer.answer(200, "a", "") + "HTTP/1.1 200 Any\r\nRequest: " + id
					+ "\r\nContent-Length: 100\r\n\r\n");
			connection.read();
		});
		assertThat(send("a")).isEqualTo("200");
		assertThat(send("HEAD", "b")).isEqualTo("200");
	}

	/**
	 * Guards against a request that waits for the rest of an answer that is not its own.
	 */
	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 200 Any\r\nRequest: foreign\r\nContent-Length: 100\r\n\r\n",
			"HTTP/1.1 500 Any\r\nContent-Length: 100\r\n\r\nbegun",
			"HTTP/1.1 600 Any\r\nRequest: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nbegun\r\n",
			"HTTP/1.1 200 Any\r\nRequest: foreign\r\n\r\nbegun" })
	void theBodyOfAnAnswerThatIsNotTheOwnOneIsNotWaitedFor(String beginning) throws Exception {
		serve((connection) -> {
			connection.read();
			connection.write(beginning);
			connection.read();
		});
		assertThat(send("a")).isEqualTo("Garbled");
	}

	/**
	 * Guards against an answer of which a part is taken for the body that a late second
	 * answer to HEAD states and does not have.
	 */
	@Test
	void aLateSecondAnswerToHeadCutsNoOtherAnswer() throws Exception {
		serve((connection) -> {
			String late = "";
			while (true) {
				String id = connection.read();
				String head = "HTTP/1.1 200 Any\r\nKeep-Alive: timeout=10\r\nRequest: " + id
						+ "\r\nContent-Length: 100\r\n\r\n";
				boolean toHead = id.startsWith("head");
				connection.write(late + (toHead ? head : ScriptedServer.answer(200, id, " whole")));
				late = toHead ? head : "";
			}
		});
		assertThat(send("HEAD", "head")).isEqualTo("200");
		assertThat(send("a")).isEqualTo("200 whole");
	}

	/**
	 * Guards against an answer to HEAD that is lost, or taken from a body, since a late
	 * second answer before it has one.
	 */
	@ParameterizedTest
	@ValueSource(strings = { "some body",
			"HTTP/1.1 200 Any\r\nKeep-Alive: timeout=10\r\nRequest: b\r\nContent-Length: 0\r\n\r\n" })
	void aLateSecondAnswerWithABodyIsReadWholeWhereHeadIsAwaited(String body) throws Exception {
		serve((connection) -> {
			String answer = ScriptedServer.answer(200, connection.read(), body);
			connection.write(answer);
			String id = connection.read();
			connection.write(answer + ScriptedServer.answer(500, id, ""));
			connection.read();
		});
		assertThat(send("a")).startsWith("200");
		assertThat(send("HEAD", "b")).isEqualTo("500");
	}

	/**
	 * Guards against a session that ends, since its only member is not used again after
	 * HEAD and no other connection can join.
	 */
	@Test
	void aConnectionThatHasCarriedHeadIsUsedAgain() throws Exception {
		serve((connection) -> {
			while (true) {
				String id = connection.read();
				connection.write(ScriptedServer.answer(200, id, id.equals("a") ? "" : " from " + connection.number()));
			}
		});
		assertThat(send("HEAD", "a")).isEqualTo("200");
		assertThat(send("b")).isEqualTo("200 from 1");
		assertThat(this.connections.session()).isEqualTo(1);
		assertThat(this.server.connections()).isEqualTo(1);
	}

	/**
	 * Guards against a request that is sent as soon as another one is answered, and fails
	 * by what came behind that answer.
	 */
	@ParameterizedTest
	@ValueSource(strings = { "foreign", "a" })
	void bytesThatCameBeforeARequestWasSentAreNotItsAnswer(String idBehind) throws Exception {
		serve((connection) -> {
			while (true) {
				String id = connection.read();
				connection.write(ScriptedServer.answer(200, id, " from " + connection.number())
						+ (id.equals("a") ? ScriptedServer.answer(500, idBehind, "") : ""));
			}
		});
		CompletableFuture<BackendReply> next = new CompletableFuture<>();
		this.loop.execute(() -> run("GET", "a").reply()
			.whenResult((first) -> run("GET", "b").reply().whenResult(next::complete)));
		assertThat(describe(next.get(30, TimeUnit.SECONDS))).isEqualTo("200 from 2");
	}

	/**
	 * Guards against a log that does not show what a server sent instead of an answer.
	 */
	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 000 Any\r\n\r\n", "no answer\r\n\r\n" })
	void theFirstBytesOfWhatIsNoAnswerAreRecorded(String bytes) throws Exception {
		serve((connection) -> {
			connection.read();
			connection.write(bytes);
			connection.read();
		});
		assertThat(send("a")).isEqualTo("Garbled");
		assertThat(this.findings.stream()
			.map((finding) -> (finding instanceof ExchangeFinding.AnswerRefused refused) ? refused.start() : "")
			.toList()).containsExactly(bytes);
	}

	/**
	 * Guards against a failure that is taken for the body of a late second answer to
	 * another request, and replaced by what comes behind it.
	 */
	@Test
	@Tag("known-red")
	void aLateSecondAnswerWithoutItsBodyHidesNoFailure() throws Exception {
		serve((connection) -> {
			String earlier = connection.read();
			connection.write(ScriptedServer.answer(200, earlier, ""));
			String id = connection.read();
			String failure = ScriptedServer.answer(500, id, "failed");
			connection.write("HTTP/1.1 200 Any\r\nRequest: " + earlier + "\r\nContent-Length: " + failure.length()
					+ "\r\n\r\n" + failure + ScriptedServer.answer(200, id, "second"));
			connection.read();
		});
		assertThat(send("a")).isEqualTo("200");
		assertThat(send("b")).isNotEqualTo("200second");
	}

	/**
	 * Guards against a session that ends, since its only member has carried as many
	 * requests as it remembers and no other connection can join.
	 */
	@Test
	void otherConnectionsJoinTheSessionAlsoOnceItsOnlyMemberIsFull() throws Exception {
		serve((connection) -> {
			while (true) {
				connection.write(ScriptedServer.answer(200, connection.read(), ""));
			}
		});
		for (int i = 0; i < CarriedRequests.CAPACITY; i++) {
			assertThat(send("r" + i)).isEqualTo("200");
		}
		int granted = 0;
		for (int i = 0; i < 30; i++) {
			assertThat(send("s" + i)).isEqualTo("200");
			granted += (grant() == 200) ? 1 : 0;
			TimeUnit.MILLISECONDS.sleep(20);
		}
		assertThat(granted).isAtLeast(1);
	}

	/**
	 * Guards against a status that does not exist and counts as the answer to a grant.
	 */
	@ParameterizedTest
	@ValueSource(strings = { "000", "099", "101", "600", "999" })
	void aStatusThatDoesNotExistIsNoAnswerToACallWithoutAnId(String status) throws Exception {
		serve((connection) -> {
			connection.read();
			connection.write("HTTP/1.1 " + status + " Any\r\nContent-Length: 0\r\n\r\n");
			connection.read();
		});
		assertThat(open()).isTrue();
		assertThat(grant()).isEqualTo(0);
	}

	/** Guards against an answer that was sent twice at once and is taken twice. */
	@Test
	void bytesBehindAnAnswerEndTheConnection() throws Exception {
		serve((connection) -> {
			String id = connection.read();
			connection.write(ScriptedServer.answer(200, id, "").repeat(2));
			connection.read();
		});
		List<String> statuses = IntStream.range(0, 3).mapToObj((i) -> {
			try {
				return send("r" + i);
			}
			catch (Exception ex) {
				throw new IllegalStateException(ex);
			}
		}).toList();
		assertThat(statuses).containsExactly("200", "200", "200");
		assertThat(this.server.connections()).isEqualTo(3);
	}

}
