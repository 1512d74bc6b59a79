package org.brasspier.daemon.internal.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

import io.activej.async.exception.AsyncCloseException;
import io.activej.net.socket.tcp.ITcpSocket;
import org.brasspier.core.ErrorKind;
import org.brasspier.core.Failure;
import org.brasspier.core.mesh.CallerLimits;
import org.brasspier.core.request.Answer;
import org.brasspier.daemon.internal.loop.IsolatedTask;
import org.brasspier.daemon.internal.request.Cancellation;
import org.brasspier.daemon.mesh.RawRequest;
import org.eclipse.jetty.http.BadMessageException;
import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.http.HttpParser;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.http.HttpVersion;
import org.jspecify.annotations.Nullable;

/**
 * The connection of one caller. Pipelined requests run concurrently; answers are sent in
 * the order of the requests. The connection is read for as long as it is open, since only
 * a read shows that the caller has left. Once the daemon is leaving, at most one more
 * request is taken, and the answer to the last request that was taken closes the
 * connection. Not thread-safe; confined to the request thread.
 */
final class CallerSocket {

	/**
	 * Maximum number of unanswered requests of a connection. Further requests wait
	 * unparsed, so that one caller can't exhaust the memory.
	 */
	private static final int MAX_UNANSWERED = 16;

	/**
	 * Maximum number of bytes that wait unparsed. If a caller sends more, the connection
	 * is closed with the answer to the last request that was parsed, and what came behind
	 * that one counts as not read.
	 */
	private static final int MAX_READ_AHEAD_BYTES = 64 << 10;

	/**
	 * How long a connection whose caller may have sent more than was read stays open
	 * after the last answer. If it were closed at once, the system could discard the
	 * answer before the caller reads it.
	 */
	private static final long LINGER_NANOS = Duration.ofSeconds(1).toNanos();

	/** How long a body may wait for memory before its request is refused. */
	private static final long BODY_WAIT_NANOS = Duration.ofSeconds(1).toNanos();

	/** Time in which most large bodies have been passed on. */
	private static final Duration BODY_RETRY_AFTER = Duration.ofMillis(500);

	private static final ByteBuffer EMPTY = ByteBuffer.allocate(0);

	private static final byte[] CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

	private final ITcpSocket socket;

	private final CallerServer server;

	private final CallerLimits limits;

	private final Collector collector;

	private final HttpParser parser;

	private final SocketOutput output;

	private final Deque<Open> open = new ArrayDeque<>();

	private final Deque<Open> unserved = new ArrayDeque<>();

	private ByteBuffer unparsed = EMPTY;

	private boolean reading;

	private boolean closed;

	private boolean endOfStream;

	/** Whether no further request is taken. */
	private boolean last;

	/** Whether the caller has announced that it sends nothing behind the last request. */
	private boolean closeAnnounced;

	/** Whether bytes behind the last request were dropped. */
	private boolean dropped;

	private boolean lingering;

	private long lastActivityNanos;

	CallerSocket(ITcpSocket socket, CallerServer server, CallerLimits limits, BodyBudget bodies, long now) {
		this.socket = socket;
		this.server = server;
		this.limits = limits;
		this.collector = new Collector(limits.maxBodyBytes(), bodies);
		this.parser = new HttpParser(this.collector, limits.maxHeaderBytes());
		this.output = new SocketOutput(socket, this::onProgress, this::onDisconnect);
		this.lastActivityNanos = now;
	}

	void begin() {
		read();
	}

	private void read() {
		if (this.reading) {
			return;
		}
		this.reading = true;
		this.socket.read().whenComplete((buf, ex) -> {
			this.reading = false;
			if (ex != null) {
				onDisconnect();
			}
			else if (buf == null) {
				onEndOfStream();
			}
			else {
				take(buf.asArray());
				readOn();
			}
		});
	}

	private void readOn() {
		if (!this.closed && !this.collector.waitsForMemory()) {
			read();
		}
	}

	/**
	 * Goes on with a request whose body waits for memory, if there is enough.
	 * @return whether it need not wait any more
	 */
	private boolean tryResume() {
		if (this.closed || !this.collector.waitsForMemory()) {
			return true;
		}
		this.collector.reserveStatedLength();
		if (this.collector.waitsForMemory()) {
			return false;
		}
		askForBody();
		parse();
		readOn();
		return true;
	}

	private void refuseForMemory() {
		refuse(new Failure(ErrorKind.OVERLOADED, "other requests take up the memory that its body needs",
				BODY_RETRY_AFTER));
	}

	// The rest of the body is dropped, if it comes at all.
	private void stopWaiting() {
		this.collector.stopWaiting();
		refuseForMemory();
		readOn();
	}

	private void take(byte[] bytes) {
		if (this.last) {
			this.dropped = true;
			return;
		}
		this.lastActivityNanos = System.nanoTime();
		this.unparsed = ByteBuffer.allocate(this.unparsed.remaining() + bytes.length)
			.put(this.unparsed)
			.put(bytes)
			.flip();
		parse();
	}

	// A failure in reading leaves the parser in an unknown state, so what follows is not
	// read. Requests that were taken before are still answered.
	private void parse() {
		IsolatedTask.run(this::parseUnparsed, () -> IsolatedTask.run(this::refuseUnreadable, this::onDisconnect));
	}

	private void refuseUnreadable() {
		this.unparsed = EMPTY;
		if (!this.last) {
			refuse(Failure.of(ErrorKind.BAD_REQUEST, "it can't be read"));
		}
		else if (this.open.isEmpty()) {
			onDisconnect();
		}
	}

	private void parseUnparsed() {
		while (this.unparsed.hasRemaining() && this.open.size() < MAX_UNANSWERED && !this.closed && !this.last
				&& !this.collector.waitsForMemory()) {
			this.parser.parseNext(this.unparsed);
			if (this.collector.fault().isPresent()) {
				malformed(this.collector.fault().get());
			}
			else if (this.collector.tooLarge()) {
				refuse(Failure.of(ErrorKind.BODY_TOO_LARGE,
						"the body is larger than %d bytes".formatted(this.collector.largestBody())));
			}
			else if (this.collector.outOfMemory()) {
				refuseForMemory();
			}
			else if (this.collector.waitsForMemory()) {
				this.collector.awaitMemory(this::tryResume);
			}
			else {
				askForBody();
				if (this.collector.whole()) {
					accept();
				}
			}
		}
		if (this.last || this.unparsed.remaining() > MAX_READ_AHEAD_BYTES) {
			takeNoMore();
		}
	}

	private void takeNoMore() {
		this.last = true;
		this.dropped |= this.unparsed.hasRemaining();
		this.unparsed = EMPTY;
	}

	// What was sent behind the last answer counts as not read, so every request that was
	// taken is answered first. A connection that stayed open for as long as its requests
	// overlap would never close, and the end of the process would cut off its last ones.
	void leave() {
		if (!this.open.isEmpty()) {
			takeNoMore();
		}
	}

	private void askForBody() {
		if (this.collector.takeExpectation()) {
			this.output.write(CONTINUE);
		}
	}

	private void accept() {
		RawRequest request = this.collector.request();
		this.closeAnnounced = this.collector.saysClose() || this.collector.version != HttpVersion.HTTP_1_1;
		Open opened = new Open(request, new Cancellation(), this.collector.takeReservation());
		this.collector.startOver();
		this.parser.reset();
		this.last = this.closeAnnounced || this.server.leaving();
		this.open.add(opened);
		this.unserved.add(opened);
		if (this.unserved.size() == 1) {
			this.server.serveAfterNextPoll(this);
		}
	}

	// Called after sockets were polled once more since the requests were read: by then it
	// is known whether their caller had already left.
	void serveReceived() {
		while (!this.unserved.isEmpty()) {
			Open next = this.unserved.remove();
			IsolatedTask.run(() -> serve(next), () -> failed(next));
		}
	}

	private void serve(Open next) {
		if (next.cancellation.isCancelled()) {
			answered(next, this.server.abandoned(next.request));
		}
		else {
			this.server.serve(next.request, next.cancellation)
				.whenResult((answer) -> answered(next, answer))
				.whenException(() -> failed(next));
		}
	}

	private void failed(Open opened) {
		if (opened.answer == null) {
			answered(opened, this.server.failed(opened.request,
					Failure.of(ErrorKind.OUTCOME_UNKNOWN, "the daemon failed while it was handling the request")));
		}
	}

	private static boolean isContinue(String expectation) {
		return expectation.equalsIgnoreCase("100-continue");
	}

	private void malformed(HttpException fault) {
		this.server.malformed(String.valueOf(fault.getReason()));
		ErrorKind kind = (fault.getCode() == HttpStatus.REQUEST_HEADER_FIELDS_TOO_LARGE_431
				|| fault.getCode() == HttpStatus.URI_TOO_LONG_414) ? ErrorKind.HEAD_TOO_LARGE : ErrorKind.BAD_REQUEST;
		refuse(Failure.of(kind, "not HTTP/1.1: " + fault.getReason()));
	}

	private void refuse(Failure failure) {
		this.last = true;
		Open opened = new Open(this.collector.request(), new Cancellation(), this.collector.takeReservation());
		this.open.add(opened);
		answered(opened, this.server.failed(opened.request, failure));
	}

	private void answered(Open opened, Answer answer) {
		opened.answer = answer;
		opened.reservation.release();
		if (this.closed) {
			return;
		}
		while (!this.open.isEmpty() && this.open.peek().answer != null) {
			Open next = this.open.remove();
			write(next, this.open.isEmpty() && this.last);
		}
		if (!this.last) {
			parse();
		}
	}

	private void write(Open next, boolean close) {
		Answer answer = next.answer;
		if (this.closed || answer == null) {
			return;
		}
		this.lastActivityNanos = System.nanoTime();
		boolean toHead = next.request.method().equals("HEAD");
		MessageText.answer(answer, toHead, close).forEach(this.output::write);
		if (close) {
			this.output.whenWritten(this::closeAfterLastAnswer);
		}
	}

	private void onProgress() {
		this.lastActivityNanos = System.nanoTime();
	}

	private void closeAfterLastAnswer() {
		boolean mayHaveSentMore = this.dropped || !this.closeAnnounced;
		if (mayHaveSentMore && !this.closed && !this.endOfStream) {
			this.lingering = true;
			this.socket.write(null).whenException((ex) -> onDisconnect());
		}
		else {
			close();
		}
	}

	// Nobody will read the answers.
	void onDisconnect() {
		close();
		// Cancelling answers some requests at once, and the queue must be empty by then.
		List<Open> unanswered = List.copyOf(this.open);
		this.open.clear();
		unanswered.forEach((opened) -> opened.cancellation.cancel());
	}

	// A caller that has closed its connection can't be told from one that only sends
	// nothing more, so its requests are cancelled, and it gets their answers if it still
	// reads.
	private void onEndOfStream() {
		this.endOfStream = true;
		takeNoMore();
		if (this.open.isEmpty()) {
			close();
		}
		List.copyOf(this.open).forEach((opened) -> opened.cancellation.cancel());
	}

	void close() {
		if (!this.closed) {
			this.closed = true;
			this.output.close();
			this.collector.release();
			this.socket.closeEx(new AsyncCloseException("done"));
			this.server.closed(this);
		}
	}

	// Whether no request is in flight or partly received, and no answer partly sent.
	boolean idle() {
		return this.open.isEmpty() && this.output.isEmpty() && this.parser.isStart() && !this.unparsed.hasRemaining();
	}

	void closeIfIdle(long now) {
		if (this.lingering ? lingeredEnough(now) : idle()) {
			close();
		}
	}

	private boolean lingeredEnough(long now) {
		return now - this.lastActivityNanos > LINGER_NANOS;
	}

	// Without these timeouts a caller that stops within a request, or stays idle, would
	// hold its socket forever.
	void checkTimeouts(long now) {
		long inactiveNanos = now - this.lastActivityNanos;
		if (this.lingering) {
			closeIfIdle(now);
		}
		else if ((idle() || !this.output.isEmpty()) && inactiveNanos > this.limits.idleTimeout().toNanos()) {
			onDisconnect();
		}
		else if (this.collector.waitsForMemory() && inactiveNanos > BODY_WAIT_NANOS) {
			stopWaiting();
		}
		else if (!this.parser.isStart() && !this.last && inactiveNanos > this.limits.headerTimeout().toNanos()) {
			refuse(Failure.of(ErrorKind.REQUEST_TIMEOUT, "the request did not come whole in time"));
		}
	}

	/**
	 * A request that was received and is not yet answered.
	 */
	private static final class Open {

		private final RawRequest request;

		private final Cancellation cancellation;

		private final BodyBudget.Reservation reservation;

		private @Nullable Answer answer;

		Open(RawRequest request, Cancellation cancellation, BodyBudget.Reservation reservation) {
			this.request = request;
			this.cancellation = cancellation;
			this.reservation = reservation;
		}

	}

	/**
	 * Collects the parts of a request.
	 */
	private static final class Collector extends MessageCollector implements HttpParser.RequestHandler {

		/** What the parser puts in place of bytes that are not UTF-8. */
		private static final char UNDECODABLE = '\uFFFD';

		private String method = "";

		private String target = "/";

		private HttpVersion version = HttpVersion.HTTP_1_1;

		private boolean expects;

		Collector(int maxBodyBytes, BodyBudget bodies) {
			super(maxBodyBytes, bodies);
		}

		@Override
		public void startRequest(String newMethod, String uri, HttpVersion newVersion) {
			this.method = newMethod;
			this.target = uri;
			if (uri.indexOf(UNDECODABLE) >= 0) {
				badMessage(new BadMessageException("the target is not UTF-8"));
			}
			this.version = (newVersion != null) ? newVersion : HttpVersion.HTTP_1_0;
		}

		@Override
		public boolean headerComplete() {
			this.expects = hasField("Expect", CallerSocket::isContinue);
			reserveStatedLength();
			return super.headerComplete() || tooLarge() || waitsForMemory();
		}

		boolean takeExpectation() {
			boolean wanted = this.expects && headComplete() && !whole();
			this.expects = this.expects && !wanted;
			return wanted;
		}

		RawRequest request() {
			return new RawRequest(this.method, this.target, headers(), bodyBytes());
		}

	}

}
