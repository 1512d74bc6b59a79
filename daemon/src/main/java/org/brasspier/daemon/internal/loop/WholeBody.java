package org.brasspier.daemon.internal.loop;

import java.io.ByteArrayOutputStream;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.ChannelSupplier;
import io.activej.http.HttpMessage;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;

/**
 * Reads the body of an HTTP message up to a limit. ActiveJ's own loading does not end
 * when a chunked body passes its limit, so a caller would hang until a timeout.
 *
 * <p>
 * It gives no buffer back to the library's pool. A message's header fields are places in
 * the buffer that was read from the socket, and a body that ends that buffer is the same
 * buffer: once given back, another thread's next read would overwrite fields that this
 * one has yet to look at. That shows under load as a request without its key, an answer
 * with another message's fields, or a "not run" that is not seen. The collector takes the
 * buffers. Belongs to the thread of its message.
 */
public final class WholeBody {

	private final ChannelSupplier<ByteBuf> stream;

	private final int maxBytes;

	private final ByteArrayOutputStream body = new ByteArrayOutputStream();

	private final SettablePromise<byte[]> whole = new SettablePromise<>();

	private WholeBody(ChannelSupplier<ByteBuf> stream, int maxBytes) {
		this.stream = stream;
		this.maxBytes = maxBytes;
	}

	/**
	 * Reads a body.
	 * @param message the message
	 * @param maxBytes the largest body accepted, in bytes
	 * @return the body, or {@link TooLargeException}, or why it was cut short
	 */
	public static Promise<byte[]> read(HttpMessage message, int maxBytes) {
		WholeBody reading = new WholeBody(message.takeBodyStream(), maxBytes);
		reading.next();
		return reading.whole;
	}

	private void next() {
		this.stream.get().whenComplete((buf, ex) -> {
			if (ex != null) {
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

	private void take(byte[] bytes) {
		if (this.body.size() + bytes.length > this.maxBytes) {
			// The rest is left unread; closing the stream here would cut off the answer.
			this.whole.trySetException(new TooLargeException(this.maxBytes));
			return;
		}
		this.body.writeBytes(bytes);
		next();
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
