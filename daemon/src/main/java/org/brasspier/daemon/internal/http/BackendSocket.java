package org.brasspier.daemon.internal.http;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Predicate;
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
import org.brasspier.daemon.mesh.RawRequest;
import org.eclipse.jetty.http.HttpParser;
import org.eclipse.jetty.http.HttpVersion;
import org.jspecify.annotations.Nullable;

/**
 * One connection to a backend server, with one order on it at a time. Belongs to the
 * thread of requests.
 */
final class BackendSocket {

	private static final Pattern KEEP_ALIVE_SECONDS = Pattern.compile("timeout=([0-9]{1,6})", Pattern.CASE_INSENSITIVE);

	private static final SocketSettings SOCKETS = SocketSettings.builder().withTcpNoDelay(true).build();

	private static final long NANOS_PER_SECOND = 1_000_000_000;

	/**
	 * How long a connection may rest if the server doesn't say: servers that say nothing
	 * close after some seconds.
	 */
	private static final long USUAL_REST_NANOS = NANOS_PER_SECOND;

	/**
	 * Taken off what the server says, for the way of its closing and a pause of this
	 * process: an order sent into a closing connection has an unknown outcome.
	 */
	private static final long REST_MARGIN_NANOS = NANOS_PER_SECOND;

	private final TcpSocket socket;

	private final int maxBodyBytes;

	private Collector collector;

	private HttpParser parser;

	private @Nullable Exchange exchange;

	private boolean closed;

	private boolean endOfStream;

	private long restUntilNanos;

	private long restsSinceNanos;

	private BackendSocket(TcpSocket socket, int maxBodyBytes) {
		this.socket = socket;
		this.maxBodyBytes = maxBodyBytes;
		this.collector = new Collector(maxBodyBytes);
		this.parser = new HttpParser(this.collector);
	}

	static Promise<BackendSocket> connect(NioReactor reactor, InetSocketAddress address, Duration timeout,
			int maxBodyBytes) {
		return TcpSocket.connect(reactor, address, timeout, SOCKETS).map((socket) -> {
			BackendSocket connected = new BackendSocket(socket, maxBodyBytes);
			connected.read();
			return connected;
		});
	}

	// Sends a request; an answer that isn't its own is passed over.
	Promise<BackendReply> exchange(RawRequest request, Predicate<Answer> own) {
		Exchange begun = new Exchange(own, new SettablePromise<>());
		this.exchange = begun;
		startOver();
		this.parser.setHeadResponse(request.method().equals("HEAD"));
		this.socket.write(ByteBuf.wrapForReading(MessageText.request(request)))
			.whenException((ex) -> broken("sending failed: " + ex.getMessage()));
		return begun.reply;
	}

	private void startOver() {
		this.collector = new Collector(this.maxBodyBytes);
		this.parser = new HttpParser(this.collector);
	}

	private void read() {
		this.socket.read().whenComplete((buf, ex) -> {
			if (ex != null) {
				broken("the connection broke: " + ex.getMessage());
			}
			else if (buf == null) {
				ended();
			}
			else {
				take(ByteBuffer.wrap(buf.asArray()));
			}
		});
	}

	private void take(ByteBuffer bytes) {
		if (this.exchange == null) {
			// Bytes that nobody asked for: what follows can't be told apart any more.
			broken("bytes came that belong to no order");
			return;
		}
		while (bytes.hasRemaining() && this.exchange != null && !this.closed) {
			parse(bytes);
		}
		if (this.exchange == null && bytes.hasRemaining()) {
			broken("bytes came behind an answer");
		}
		if (!this.closed) {
			read();
		}
	}

	private void parse(ByteBuffer bytes) {
		int before = bytes.remaining();
		boolean stopped = this.parser.parseNext(bytes);
		if (this.collector.fault().isPresent() || this.collector.tooLarge()) {
			garbled("the answer is no HTTP/1.1 or too large");
		}
		else if (this.collector.whole()) {
			whole();
		}
		else if (!stopped && bytes.remaining() == before && before > 0) {
			garbled("the answer can't be read on");
		}
	}

	private void whole() {
		Exchange current = this.exchange;
		Answer answer = this.collector.answer();
		boolean reusable = !this.collector.saysClose() && !this.endOfStream && this.collector.persistent();
		if (current == null) {
			return;
		}
		if (this.collector.informational() || !current.own.test(answer)) {
			startOver();
			return;
		}
		this.exchange = null;
		if (reusable) {
			long now = System.nanoTime();
			this.restsSinceNanos = now;
			this.restUntilNanos = now + restNanos(answer);
		}
		else {
			close();
		}
		current.reply.trySet(new BackendReply.Whole(answer));
	}

	private static long restNanos(Answer answer) {
		return answer.headers()
			.stream()
			.filter((field) -> field.name().equalsIgnoreCase("Keep-Alive"))
			.map(HeaderField::value)
			.map(KEEP_ALIVE_SECONDS::matcher)
			.filter(Matcher::find)
			.map((found) -> Math.max(0, Long.parseLong(found.group(1)) * NANOS_PER_SECOND - REST_MARGIN_NANOS))
			.findFirst()
			.orElse(USUAL_REST_NANOS);
	}

	// An answer without a length ends with its connection.
	private void ended() {
		this.endOfStream = true;
		if (this.exchange != null) {
			this.parser.atEOF();
			this.parser.parseNext(ByteBuffer.allocate(0));
			if (this.collector.whole() && this.collector.fault().isEmpty()) {
				whole();
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

	// Ends the order at hand, if any, and the connection. The order is taken off first:
	// closing ends the pending read at once, which would report the connection as broken.
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
			this.socket.closeEx(new AsyncCloseException("done"));
		}
	}

	boolean usable(long now) {
		return !this.closed && this.exchange == null && now < this.restUntilNanos;
	}

	long restedNanos(long now) {
		return now - this.restsSinceNanos;
	}

	private record Exchange(Predicate<Answer> own, SettablePromise<BackendReply> reply) {
	}

	/**
	 * Collects answers.
	 */
	private static final class Collector extends MessageCollector implements HttpParser.ResponseHandler {

		private static final int FIRST_FINAL_STATUS = 200;

		private int status;

		private HttpVersion version = HttpVersion.HTTP_1_1;

		Collector(int maxBodyBytes) {
			super(maxBodyBytes);
		}

		@Override
		public void startResponse(HttpVersion newVersion, int newStatus, String reason) {
			this.version = Optional.ofNullable(newVersion).orElse(HttpVersion.HTTP_1_0);
			this.status = newStatus;
		}

		boolean informational() {
			return this.status < FIRST_FINAL_STATUS;
		}

		boolean persistent() {
			return this.version == HttpVersion.HTTP_1_1;
		}

		Answer answer() {
			return new Answer(this.status, headers(), bodyBytes());
		}

	}

}
