package org.brasspier.daemon.internal.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

import io.activej.async.exception.AsyncCloseException;
import io.activej.bytebuf.ByteBuf;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.promise.Promise;
import org.brasspier.core.ErrorKind;
import org.brasspier.core.Failure;
import org.brasspier.core.mesh.CallerLimits;
import org.brasspier.core.request.Answer;
import org.brasspier.daemon.internal.request.Cancellation;
import org.brasspier.daemon.mesh.RawRequest;
import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.http.HttpParser;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.http.HttpVersion;
import org.jspecify.annotations.Nullable;

/**
 * One caller's connection. Requests that are sent before earlier ones are answered run
 * side by side; answers go out in the order of the requests. Belongs to the thread of
 * requests.
 */
final class CallerSocket {

	/**
	 * Requests of one connection that may be open at once. More wait unread, so that one
	 * caller can't fill the memory.
	 */
	private static final int MAX_OPEN = 16;

	private static final byte[] CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

	private final ITcpSocket socket;

	private final CallerServer door;

	private final CallerLimits limits;

	private final Collector collector;

	private final HttpParser parser;

	private final Deque<Open> open = new ArrayDeque<>();

	private ByteBuffer unread = ByteBuffer.allocate(0);

	private boolean reading;

	private boolean closed;

	private boolean last;

	private long quietSinceNanos;

	CallerSocket(ITcpSocket socket, CallerServer door, CallerLimits limits, long now) {
		this.socket = socket;
		this.door = door;
		this.limits = limits;
		this.collector = new Collector(limits.maxBodyBytes());
		this.parser = new HttpParser(this.collector, limits.maxHeaderBytes());
		this.quietSinceNanos = now;
	}

	void begin() {
		read();
	}

	private void read() {
		if (this.reading || this.closed || this.last) {
			return;
		}
		if (this.open.size() >= MAX_OPEN) {
			return;
		}
		this.reading = true;
		this.socket.read().whenComplete((buf, ex) -> {
			this.reading = false;
			if (buf == null) {
				gone();
				return;
			}
			take(buf.asArray());
		});
	}

	private void take(byte[] bytes) {
		this.quietSinceNanos = System.nanoTime();
		ByteBuffer all = ByteBuffer.allocate(this.unread.remaining() + bytes.length);
		all.put(this.unread).put(bytes).flip();
		this.unread = all;
		parse();
	}

	private void parse() {
		while (this.unread.hasRemaining() && this.open.size() < MAX_OPEN && !this.closed && !this.last) {
			this.parser.parseNext(this.unread);
			if (this.collector.fault().isPresent()) {
				malformed(this.collector.fault().get());
				return;
			}
			if (this.collector.tooLarge()) {
				refuse(Failure.of(ErrorKind.BODY_TOO_LARGE,
						"the body is larger than %d bytes".formatted(this.limits.maxBodyBytes())));
				return;
			}
			askForBody();
			if (this.collector.whole()) {
				accept();
			}
		}
		read();
	}

	private void askForBody() {
		if (this.collector.takeExpectation()) {
			write(CONTINUE);
		}
	}

	private void accept() {
		RawRequest request = this.collector.request();
		boolean close = this.collector.saysClose() || this.collector.version != HttpVersion.HTTP_1_1;
		this.collector.startOver();
		this.parser.reset();
		this.last = close;
		Open opened = new Open(request, new Cancellation());
		this.open.add(opened);
		this.door.serve(request, opened.cancellation).whenResult((answer) -> answered(opened, answer));
	}

	private void malformed(HttpException fault) {
		this.door.malformed(String.valueOf(fault.getReason()));
		ErrorKind kind = (fault.getCode() == HttpStatus.REQUEST_HEADER_FIELDS_TOO_LARGE_431
				|| fault.getCode() == HttpStatus.URI_TOO_LONG_414) ? ErrorKind.HEAD_TOO_LARGE : ErrorKind.BAD_REQUEST;
		refuse(Failure.of(kind, "not HTTP/1.1: " + fault.getReason()));
	}

	private void refuse(Failure failure) {
		this.last = true;
		Open opened = new Open(this.collector.request(), new Cancellation());
		this.open.add(opened);
		answered(opened, this.door.failed(opened.request, failure));
	}

	private void answered(Open opened, Answer answer) {
		opened.answer = answer;
		if (this.closed) {
			return;
		}
		while (!this.open.isEmpty() && this.open.peek().answer != null) {
			Open next = this.open.remove();
			boolean close = this.open.isEmpty() && (this.last || this.door.leaving());
			this.last |= close;
			write(next, close);
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
		this.quietSinceNanos = System.nanoTime();
		boolean toHead = next.request.method().equals("HEAD");
		Promise<Void> written = write(MessageText.answer(answer, toHead, close));
		if (close) {
			written.whenComplete(this::close);
		}
	}

	private Promise<Void> write(byte[] bytes) {
		if (this.closed) {
			return Promise.complete();
		}
		return this.socket.write(ByteBuf.wrapForReading(bytes)).whenException((ex) -> gone());
	}

	// The caller closed, or its connection broke: nobody will read what it asked for.
	private void gone() {
		close();
		// Cancelling answers some of them at once, which must find none of them here.
		List<Open> unanswered = List.copyOf(this.open);
		this.open.clear();
		unanswered.forEach((opened) -> opened.cancellation.cancel());
	}

	void close() {
		if (!this.closed) {
			this.closed = true;
			this.socket.closeEx(new AsyncCloseException("done"));
			this.door.closed(this);
		}
	}

	// Whether nothing is asked for here.
	boolean idle() {
		return this.open.isEmpty() && this.parser.isStart() && !this.unread.hasRemaining();
	}

	boolean closeIfIdle() {
		if (idle()) {
			close();
		}
		return this.closed;
	}

	// A caller that stops halfway, or rests for too long, would hold its socket for good.
	void look(long now) {
		long quiet = now - this.quietSinceNanos;
		if (this.open.isEmpty() && idle() && quiet > this.limits.idleTimeout().toNanos()) {
			close();
		}
		else if (!this.parser.isStart() && !this.last && quiet > this.limits.headerTimeout().toNanos()) {
			refuse(Failure.of(ErrorKind.REQUEST_TIMEOUT, "the request did not come whole in time"));
		}
	}

	/**
	 * A request that was read and is not yet answered.
	 */
	private static final class Open {

		private final RawRequest request;

		private final Cancellation cancellation;

		private @Nullable Answer answer;

		Open(RawRequest request, Cancellation cancellation) {
			this.request = request;
			this.cancellation = cancellation;
		}

	}

	/**
	 * Collects requests.
	 */
	private static final class Collector extends MessageCollector implements HttpParser.RequestHandler {

		private String method = "";

		private String target = "/";

		private HttpVersion version = HttpVersion.HTTP_1_1;

		private boolean expects;

		Collector(int maxBodyBytes) {
			super(maxBodyBytes);
		}

		@Override
		public void startRequest(String newMethod, String uri, HttpVersion newVersion) {
			this.method = newMethod;
			this.target = uri;
			this.version = Optional.ofNullable(newVersion).orElse(HttpVersion.HTTP_1_0);
		}

		@Override
		public boolean headerComplete() {
			this.expects = headers().stream()
				.anyMatch((field) -> field.name().equalsIgnoreCase("Expect")
						&& field.value().equalsIgnoreCase("100-continue"));
			return super.headerComplete();
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
