package org.brasspier.daemon.internal.http;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.activej.async.exception.AsyncCloseException;
import io.activej.bytebuf.ByteBuf;
import io.activej.net.socket.tcp.TcpSocket;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import io.activej.reactor.net.SocketSettings;
import io.activej.reactor.nio.NioReactor;
import org.brasspier.core.request.Answer;
import org.brasspier.core.request.HeaderField;
import org.brasspier.daemon.internal.exchange.AnswerClassifier;
import org.brasspier.daemon.internal.exchange.AnswerHead;
import org.brasspier.daemon.internal.exchange.AnswerRefusal;
import org.brasspier.daemon.internal.exchange.AnswerStart;
import org.brasspier.daemon.internal.exchange.CarriedRequests;
import org.brasspier.daemon.internal.exchange.ExchangeFinding;
import org.brasspier.daemon.internal.exchange.ExchangeId;
import org.brasspier.daemon.internal.exchange.ReceivedAnswer;
import org.brasspier.daemon.internal.exchange.ServerCall;
import org.brasspier.daemon.internal.loop.IsolatedTask;
import org.eclipse.jetty.http.HttpParser;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.http.HttpVersion;
import org.jspecify.annotations.Nullable;

/**
 * A connection to a backend server that carries one request at a time. Not thread-safe;
 * confined to the request thread.
 */
final class BackendSocket {

	private static final Pattern KEEP_ALIVE_SECONDS = Pattern.compile("timeout=([0-9]{1,6})", Pattern.CASE_INSENSITIVE);

	private static final SocketSettings SOCKETS = SocketSettings.builder().withTcpNoDelay(true).build();

	private static final long NANOS_PER_SECOND = 1_000_000_000;

	/**
	 * Idle time of a connection if the server states none: such servers close idle
	 * connections after some seconds.
	 */
	private static final long DEFAULT_IDLE_NANOS = NANOS_PER_SECOND;

	/**
	 * Subtracted from the idle time that the server states, for the transit time of its
	 * close and a pause of this process: a request sent on a closing connection has an
	 * unknown outcome.
	 */
	private static final long IDLE_MARGIN_NANOS = NANOS_PER_SECOND;

	private static final String HEAD = "HEAD";

	private static final int MAX_HEAD_BYTES = 16 << 10;

	/**
	 * Maximum number of bytes received for one request that are not part of a body:
	 * heads, skipped answers, framing and trailers.
	 */
	private static final int MAX_NON_BODY_BYTES = 256 << 10;

	private final TcpSocket socket;

	private final BodyBudget bodies;

	private final ServerConnections connections;

	private final long openedNanos = System.nanoTime();

	private final long openedMark;

	private final CarriedRequests carried = new CarriedRequests();

	/** Those of the carried requests whose answers have no body. */
	private final CarriedRequests carriedHeads = new CarriedRequests();

	private final AnswerStart answerStart = new AnswerStart();

	/** What the message that arrives is; unknown until its head is complete. */
	private @Nullable ReceivedAnswer received;

	private ExchangeId latest;

	private Collector collector;

	private HttpParser parser;

	private @Nullable Exchange exchange;

	private long nonBodyBytes;

	private long skippedNonBodyBytes;

	private long skippedBodyBytes;

	private int passedOver;

	/** Whether a request of this connection was answered again. */
	private boolean skippedAnswer;

	private boolean closed;

	private boolean endOfStream;

	private long reusableUntilNanos;

	private long idleSinceNanos;

	private BackendSocket(TcpSocket socket, BodyBudget bodies, ServerConnections connections) {
		this.socket = socket;
		this.bodies = bodies;
		this.connections = connections;
		this.openedMark = connections.nextMark();
		this.latest = ExchangeId.opened(connections.exchanges().connectionOpened());
		this.collector = new Collector(bodies);
		this.parser = new HttpParser(this.collector);
	}

	static Promise<BackendSocket> connect(NioReactor reactor, InetSocketAddress address, Duration timeout,
			BodyBudget bodies, ServerConnections connections) {
		return TcpSocket.connect(reactor, address, timeout, SOCKETS).map((socket) -> {
			BackendSocket connected = new BackendSocket(socket, bodies, connections);
			connected.rest(DEFAULT_IDLE_NANOS);
			connections.opened(connected);
			connected.read();
			return connected;
		});
	}

	long openedNanos() {
		return this.openedNanos;
	}

	long openedMark() {
		return this.openedMark;
	}

	// Returns the latest exchange on this connection.
	ExchangeId latestExchange() {
		return this.latest;
	}

	// Returns whether an answer that comes next on this connection can belong to an
	// earlier call with the same id.
	boolean hasCarried(ServerCall call) {
		return call.id().filter(this.carried::contains).isPresent();
	}

	// Returns whether another connection has to join the session soon, since this one is
	// its only member and can't be used for much longer.
	boolean needsSuccessor() {
		return this.carried.isNearlyFull() && this.connections.isOnlyMember(this);
	}

	// Sends a request and skips further answers to earlier ones.
	Promise<BackendReply> exchange(ServerCall call) {
		Exchange begun = new Exchange(call, this.connections.nextMark(), new SettablePromise<>());
		this.exchange = begun;
		this.latest = this.latest.next(call.name());
		call.id().ifPresent(this.carried::add);
		if (call.request().method().equals(HEAD)) {
			call.id().ifPresent(this.carriedHeads::add);
		}
		this.connections.exchanges().exchangeBegun();
		this.nonBodyBytes = 0;
		this.skippedNonBodyBytes = 0;
		this.skippedBodyBytes = 0;
		this.passedOver = 0;
		startOver();
		this.socket.write(ByteBuf.wrapForReading(MessageText.request(call.request())))
			.whenException((ex) -> broken("sending failed: " + ex.getMessage()));
		return begun.reply;
	}

	private void startOver() {
		this.answerStart.clear();
		this.received = null;
		this.collector.release();
		this.collector = new Collector(this.bodies);
		this.collector.beforeBody = this::frameBody;
		this.collector.toHead = this.exchange != null && this.exchange.call.request().method().equals(HEAD);
		this.parser = new HttpParser(this.collector);
		this.parser.setHeadResponse(this.collector.toHead);
	}

	// The method of the request that an answer names decides whether it has a body, which
	// matters where it is not the one that is awaited.
	private void frameBody() {
		if (classifyHead() instanceof ReceivedAnswer.LateCopy(String id)) {
			this.collector.toHead = this.carriedHeads.contains(id);
			this.parser.setHeadResponse(this.collector.toHead);
		}
	}

	private void read() {
		this.socket.read().whenComplete((buf, ex) -> {
			if (ex != null) {
				broken("the connection broke: " + ex.getMessage());
			}
			else if (buf == null) {
				isolate(this::ended);
			}
			else {
				ByteBuffer bytes = ByteBuffer.wrap(buf.asArray());
				isolate(() -> take(bytes));
			}
		});
	}

	// A failure ends the connection, so that its request gets an outcome.
	private void isolate(Runnable handling) {
		IsolatedTask.run(handling, () -> garbled("the answer can't be handled"));
	}

	private void take(ByteBuffer bytes) {
		if (this.exchange == null) {
			// Unsolicited bytes: the boundaries of later answers are unknown.
			unsolicited(bytes);
			return;
		}
		while (bytes.hasRemaining() && this.exchange != null && !this.closed) {
			parse(bytes);
			if (this.collector.waitsForMemory()) {
				awaitMemory(bytes);
				return;
			}
		}
		if (this.exchange == null && bytes.hasRemaining()) {
			unsolicited(bytes);
		}
		if (!this.closed) {
			read();
		}
	}

	private void unsolicited(ByteBuffer bytes) {
		if (!this.closed) {
			record(new ExchangeFinding.BytesBehindAnswer(this.latest, bytes.remaining()));
		}
		broken("received bytes while no request was in progress");
	}

	private void parse(ByteBuffer bytes) {
		int before = bytes.remaining();
		int bodyBefore = this.collector.bodySize();
		ByteBuffer received = bytes.duplicate();
		boolean stopped = this.parser.parseNext(bytes);
		// The parser drops what it can't read.
		this.answerStart.add(this.collector.fault().isPresent() ? received : received.limit(bytes.position()));
		this.nonBodyBytes += before - bytes.remaining() - (this.collector.bodySize() - bodyBefore);
		if (this.collector.fault().isPresent() || this.collector.tooLarge() || exceedsLimits()) {
			refuse(AnswerRefusal.MALFORMED);
		}
		else if (classifyHead() instanceof ReceivedAnswer.Refused(AnswerRefusal reason)) {
			refuse(reason);
		}
		else if (this.collector.outOfMemory()) {
			garbled("other answers take up the memory that this one needs");
		}
		else if (this.collector.whole()) {
			whole(bytes.remaining());
		}
		else if (!stopped && bytes.remaining() == before && before > 0) {
			garbled("the answer can't be read on");
		}
	}

	// The answer is read on once there is memory for all of it, or never, if its request
	// is given up before.
	private void awaitMemory(ByteBuffer unread) {
		Collector waiting = this.collector;
		waiting.awaitMemory(() -> {
			if (this.closed || waiting != this.collector) {
				return true;
			}
			waiting.reserveStatedLength();
			if (waiting.waitsForMemory()) {
				return false;
			}
			isolate(() -> take(unread));
			return true;
		});
	}

	private boolean exceedsLimits() {
		return (!this.collector.headComplete() && this.nonBodyBytes - this.skippedNonBodyBytes > MAX_HEAD_BYTES)
				|| this.nonBodyBytes > MAX_NON_BODY_BYTES
				|| this.skippedBodyBytes + this.collector.bodySize() > this.bodies.largestBody();
	}

	// Handles a complete answer behind which some bytes have already come.
	private void whole(int bytesBehind) {
		Exchange current = this.exchange;
		Answer answer = this.collector.answer();
		boolean reusable = !this.collector.saysClose() && !this.endOfStream && this.collector.persistent();
		if (current == null) {
			return;
		}
		switch (classifyHead()) {
			case null -> {
				// Complete without a head: nothing was received.
			}
			case ReceivedAnswer.Final ignored -> answered(current, answer, reusable, bytesBehind);
			case ReceivedAnswer.Interim ignored -> {
				record(new ExchangeFinding.InterimAnswer(this.latest, answer.status(), this.answerStart.toString()));
				skip();
			}
			case ReceivedAnswer.LateCopy(String id) -> {
				this.skippedAnswer = true;
				record(new ExchangeFinding.AnswerSkipped(this.latest, answer.status(), id,
						this.answerStart.toString()));
				skip();
			}
			case ReceivedAnswer.Refused(AnswerRefusal reason) -> refuse(reason);
		}
	}

	// Classifies an answer as soon as its head is complete: the body of one that is
	// refused
	// is not waited for. Returns null before.
	private @Nullable ReceivedAnswer classifyHead() {
		Exchange current = this.exchange;
		if (this.received == null && current != null && this.collector.headComplete()) {
			AnswerHead head = this.collector.head();
			this.received = AnswerClassifier.classify(current.call, head, this.carried::contains);
		}
		return this.received;
	}

	private void refuse(AnswerRefusal reason) {
		record(new ExchangeFinding.AnswerRefused(this.latest, this.collector.status, reason,
				this.answerStart.toString()));
		garbled(reason.sentence());
	}

	private void record(ExchangeFinding finding) {
		this.connections.exchanges().record(finding);
	}

	private void skip() {
		this.passedOver++;
		this.skippedBodyBytes += this.collector.bodySize();
		this.skippedNonBodyBytes = this.nonBodyBytes;
		startOver();
	}

	private void answered(Exchange current, Answer answer, boolean reusable, int bytesBehind) {
		this.exchange = null;
		this.collector.release();
		this.connections.answered(this, current.sentMark);
		if (this.passedOver > 0) {
			record(new ExchangeFinding.LaterAnswerTaken(this.latest, answer.status(), this.passedOver));
		}
		if (bytesBehind > 0) {
			// Closed before the reply is known: the next request would be sent on this
			// connection, and the bytes be taken for its answer.
			record(new ExchangeFinding.BytesBehindAnswer(this.latest, bytesBehind));
			close();
		}
		else if (!reusable) {
			close();
		}
		else if (this.carried.isFull()
				|| ((this.carried.isNearlyFull() || this.skippedAnswer) && !this.connections.isOnlyMember(this))) {
			rest(0);
			this.connections.retire(this);
		}
		else {
			rest(maxIdleNanos(answer));
		}
		current.reply.trySet(new BackendReply.Whole(answer));
	}

	private void rest(long maxIdleNanos) {
		long now = System.nanoTime();
		this.idleSinceNanos = now;
		this.reusableUntilNanos = now + maxIdleNanos;
	}

	private static long maxIdleNanos(Answer answer) {
		for (HeaderField field : answer.headers()) {
			if (field.name().equalsIgnoreCase("Keep-Alive")) {
				Matcher matcher = KEEP_ALIVE_SECONDS.matcher(field.value());
				if (matcher.find()) {
					return Math.max(0, Long.parseLong(matcher.group(1)) * NANOS_PER_SECOND - IDLE_MARGIN_NANOS);
				}
			}
		}
		return DEFAULT_IDLE_NANOS;
	}

	// An answer without a length ends at the end of the connection.
	private void ended() {
		this.endOfStream = true;
		if (this.exchange != null && this.collector.headComplete()) {
			this.parser.atEOF();
			this.parser.parseNext(ByteBuffer.allocate(0));
			if (this.collector.whole() && this.collector.fault().isEmpty()) {
				whole(0);
			}
		}
		broken("the server closed the connection");
	}

	private void garbled(String detail) {
		finish(new BackendReply.Garbled(detail));
	}

	private void broken(String detail) {
		finish(this.collector.headComplete() ? new BackendReply.Garbled(detail) : new BackendReply.Broken(detail));
	}

	// Ends the current request, if any, and the connection. The request is detached
	// first: closing ends the pending read at once, which would report the connection
	// as broken.
	void finish(BackendReply end) {
		Exchange current = this.exchange;
		this.exchange = null;
		close();
		if (current != null) {
			current.reply.trySet(end);
		}
	}

	void close() {
		if (!this.closed) {
			this.closed = true;
			this.collector.release();
			this.connections.closed(this);
			this.socket.closeEx(new AsyncCloseException("done"));
		}
	}

	boolean usable(long now) {
		return !this.closed && this.exchange == null && now < this.reusableUntilNanos;
	}

	long restedNanos(long now) {
		return now - this.idleSinceNanos;
	}

	private record Exchange(ServerCall call, long sentMark, SettablePromise<BackendReply> reply) {
	}

	/**
	 * Collects the parts of an answer.
	 */
	private static final class Collector extends MessageCollector implements HttpParser.ResponseHandler {

		private boolean toHead;

		private Runnable beforeBody = () -> {
		};

		private int status;

		private HttpVersion version = HttpVersion.HTTP_1_1;

		Collector(BodyBudget bodies) {
			super(Integer.MAX_VALUE, bodies);
		}

		@Override
		public void startResponse(HttpVersion newVersion, int newStatus, String reason) {
			this.version = (newVersion != null) ? newVersion : HttpVersion.HTTP_1_0;
			this.status = newStatus;
		}

		@Override
		public boolean headerComplete() {
			boolean stops = super.headerComplete();
			this.beforeBody.run();
			boolean hasBody = !this.toHead && this.status != HttpStatus.NOT_MODIFIED_304
					&& this.status != HttpStatus.NO_CONTENT_204 && !informational();
			if (hasBody) {
				reserveStatedLength();
			}
			return stops || waitsForMemory();
		}

		boolean informational() {
			return this.status < Answer.FIRST_FINAL_STATUS;
		}

		boolean persistent() {
			return this.version == HttpVersion.HTTP_1_1;
		}

		AnswerHead head() {
			boolean statesBody = hasField("Content-Length", (value) -> true)
					|| hasField("Transfer-Encoding", (value) -> true);
			return new AnswerHead(this.version, this.status, headers(), statesBody);
		}

		Answer answer() {
			return new Answer(this.status, headers(), bodyBytes());
		}

	}

}
