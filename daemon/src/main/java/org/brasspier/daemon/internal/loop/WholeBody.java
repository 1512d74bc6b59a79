package org.brasspier.daemon.internal.loop;

import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.Optional;

import io.activej.async.exception.AsyncTimeoutException;
import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.ChannelSupplier;
import io.activej.http.HttpMessage;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import io.activej.promise.SettablePromise;

/**
 * Reads the body of an HTTP message up to a limit. Loading by ActiveJ itself does not end
 * when a chunked body passes its limit, so a caller would hang until a timeout.
 *
 * <p>
 * Buffers are not returned to ActiveJ's pool. The header fields of a message are slices
 * of the buffer that was read from the socket, and a body at the end of that buffer
 * shares it: once it is returned, another thread's next read would overwrite header
 * fields that are still unread here. Under load this shows as a request without its key,
 * an answer with the fields of another message, or an overlooked "not run". The garbage
 * collector frees the buffers. Confined to the thread of its message.
 */
public final class WholeBody {

	private final ChannelSupplier<ByteBuf> stream;

	private final int maxBytes;

	private final ByteArrayOutputStream body = new ByteArrayOutputStream();

	private final SettablePromise<byte[]> whole = new SettablePromise<>();

	private final Optional<Duration> silence;

	private WholeBody(ChannelSupplier<ByteBuf> stream, int maxBytes, Optional<Duration> silence) {
		this.stream = stream;
		this.maxBytes = maxBytes;
		this.silence = silence;
	}

	/**
	 * Reads a body.
	 * @param message the message
	 * @param maxBytes the maximum size of the body, in bytes
	 * @return the body, or {@link TooLargeException}, or the reason why it was truncated
	 */
	public static Promise<byte[]> read(HttpMessage message, int maxBytes) {
		return read(message, maxBytes, Optional.empty());
	}

	/**
	 * Reads a body without a limit on the total time, as long as data keeps arriving.
	 * @param message the message
	 * @param maxBytes the maximum size of the body, in bytes
	 * @param silence maximum time without data
	 * @return the body, or {@link TooLargeException} or {@link SilentException}, or the
	 * reason why it was truncated
	 */
	public static Promise<byte[]> read(HttpMessage message, int maxBytes, Duration silence) {
		return read(message, maxBytes, Optional.of(silence));
	}

	private static Promise<byte[]> read(HttpMessage message, int maxBytes, Optional<Duration> silence) {
		WholeBody reading = new WholeBody(message.takeBodyStream(), maxBytes, silence);
		reading.next();
		return reading.whole;
	}

	private void next() {
		Promise<ByteBuf> read = this.stream.get();
		Promise<ByteBuf> next = this.silence.map((longest) -> Promises.timeout(longest, read)).orElse(read);
		next.whenComplete((buf, ex) -> {
			if (ex instanceof AsyncTimeoutException) {
				silent();
			}
			else if (ex != null) {
				this.whole.trySetException(ex);
			}
			else if (buf == null) {
				this.whole.trySet(this.body.toByteArray());
			}
			else {
				take(buf.getArray());
			}
		});
	}

	private void silent() {
		SilentException reason = new SilentException(this.body.size());
		this.whole.trySetException(reason);
		this.stream.closeEx(reason);
	}

	private void take(byte[] bytes) {
		if (this.body.size() + bytes.length > this.maxBytes) {
			// The rest stays unread; closing the stream here would cut off the answer.
			this.whole.trySetException(new TooLargeException(this.maxBytes));
			return;
		}
		this.body.writeBytes(bytes);
		next();
	}

	/**
	 * The body stopped arriving before its end.
	 */
	public static final class SilentException extends Exception {

		private static final long serialVersionUID = 1;

		SilentException(int bytes) {
			super("nothing of the body came any more after %d bytes".formatted(bytes));
		}

	}

	/**
	 * The body is larger than the limit.
	 */
	public static final class TooLargeException extends Exception {

		private static final long serialVersionUID = 1;

		TooLargeException(int maxBytes) {
			super("the body is larger than %d bytes".formatted(maxBytes));
		}

	}

}
