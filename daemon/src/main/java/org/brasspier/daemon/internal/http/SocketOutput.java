package org.brasspier.daemon.internal.http;

import java.util.ArrayDeque;
import java.util.Deque;

import io.activej.bytebuf.ByteBuf;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.promise.Promise;

/**
 * Writes to a socket in the order in which it is told to, piece by piece, so that it is
 * known whether the receiver reads. Not thread-safe; confined to the request thread.
 */
final class SocketOutput {

	private static final int PIECE_BYTES = 64 << 10;

	private final ITcpSocket socket;

	private final Runnable onProgress;

	private final Runnable onFailure;

	private final Deque<byte[]> unwritten = new ArrayDeque<>();

	/** How much of the first array was written. */
	private int position;

	private boolean writing;

	private boolean closed;

	private Runnable writtenListener = () -> {
	};

	/**
	 * Creates an output to which nothing was written.
	 * @param socket the socket
	 * @param onProgress called after each piece that the socket has accepted
	 * @param onFailure called once if the socket fails
	 */
	SocketOutput(ITcpSocket socket, Runnable onProgress, Runnable onFailure) {
		this.socket = socket;
		this.onProgress = onProgress;
		this.onFailure = onFailure;
	}

	void write(byte[] bytes) {
		if (!this.closed && bytes.length > 0) {
			this.unwritten.add(bytes);
			writePieces();
		}
	}

	// Calls the listener once all that was written so far has been accepted.
	void whenWritten(Runnable listener) {
		if (this.unwritten.isEmpty()) {
			listener.run();
		}
		else {
			this.writtenListener = listener;
		}
	}

	boolean isEmpty() {
		return this.unwritten.isEmpty();
	}

	// Drops what was not written.
	void close() {
		this.closed = true;
		this.unwritten.clear();
	}

	// A loop, since most pieces are accepted at once.
	private void writePieces() {
		while (!this.writing && !this.closed && !this.unwritten.isEmpty()) {
			byte[] first = this.unwritten.element();
			int end = Math.min(first.length, this.position + PIECE_BYTES);
			Promise<Void> written = this.socket.write(ByteBuf.wrap(first, this.position, end));
			if (written.isComplete()) {
				onWritten(written.isResult(), end);
			}
			else {
				this.writing = true;
				written.whenComplete((ignored, ex) -> {
					this.writing = false;
					onWritten(ex == null, end);
					writePieces();
				});
			}
		}
	}

	private void onWritten(boolean accepted, int end) {
		if (this.closed) {
			return;
		}
		if (!accepted) {
			close();
			this.onFailure.run();
			return;
		}
		this.onProgress.run();
		this.position = end;
		if (end == this.unwritten.element().length) {
			this.unwritten.remove();
			this.position = 0;
		}
		if (this.unwritten.isEmpty()) {
			this.writtenListener.run();
		}
	}

}
