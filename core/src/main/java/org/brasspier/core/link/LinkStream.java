package org.brasspier.core.link;

import java.util.ArrayDeque;
import java.util.Deque;

import org.jspecify.annotations.Nullable;

/**
 * State of one connection in a {@link SendWindow}. Not thread-safe.
 */
public final class LinkStream {

	/** Pieces that were sent and not acknowledged, oldest first. */
	private final Deque<Piece> unacknowledged = new ArrayDeque<>();

	private long unacknowledgedBytes;

	/** Bytes of pieces that are no longer counted although they may still arrive. */
	private long forgivenBytes;

	private long acknowledgedPart;

	private long windowBytes = Long.MAX_VALUE;

	private long remainingBytes;

	private long firstOfferedNanos;

	private int nextBytes;

	LinkStream() {
	}

	void offer(long remaining, int pieceBytes, long messageNanos) {
		this.remainingBytes = remaining;
		this.nextBytes = pieceBytes;
		this.firstOfferedNanos = messageNanos;
	}

	/**
	 * Returns the size of the piece that was offered.
	 * @return bytes, without the header of the piece
	 */
	public int nextBytes() {
		return this.nextBytes;
	}

	long remainingBytes() {
		return this.remainingBytes;
	}

	long firstOfferedNanos() {
		return this.firstOfferedNanos;
	}

	long windowBytes() {
		return this.windowBytes;
	}

	void setWindowBytes(long bytes) {
		this.windowBytes = bytes;
	}

	long unacknowledgedBytes() {
		return this.unacknowledgedBytes;
	}

	Deque<Piece> unacknowledged() {
		return this.unacknowledged;
	}

	void sent(Piece piece) {
		this.unacknowledged.add(piece);
		this.unacknowledgedBytes += piece.bytes;
	}

	// Returns the last piece that is acknowledged completely, or null if none is.
	@Nullable Piece acknowledge(long bytes) {
		long forgiven = Math.min(bytes, this.forgivenBytes);
		this.forgivenBytes -= forgiven;
		this.acknowledgedPart += bytes - forgiven;
		Piece last = null;
		while (!this.unacknowledged.isEmpty() && this.unacknowledged.getFirst().bytes <= this.acknowledgedPart) {
			last = this.unacknowledged.removeFirst();
			this.acknowledgedPart -= last.bytes;
			this.unacknowledgedBytes -= last.bytes;
		}
		if (this.unacknowledged.isEmpty()) {
			this.acknowledgedPart = 0;
		}
		return last;
	}

	// Returns whether an acknowledgement has been overdue and has not arrived yet.
	boolean isForgiven() {
		return this.forgivenBytes > 0;
	}

	void forgive(Piece piece) {
		if (this.unacknowledged.remove(piece)) {
			this.unacknowledgedBytes -= piece.bytes;
			this.forgivenBytes += piece.bytes;
		}
	}

	/**
	 * A piece that was sent.
	 */
	static final class Piece {

		private final LinkStream stream;

		private final long number;

		private final int bytes;

		private final long sentNanos;

		Piece(LinkStream stream, long number, int bytes, long sentNanos) {
			this.stream = stream;
			this.number = number;
			this.bytes = bytes;
			this.sentNanos = sentNanos;
		}

		LinkStream stream() {
			return this.stream;
		}

		long number() {
			return this.number;
		}

		int bytes() {
			return this.bytes;
		}

		long sentNanos() {
			return this.sentNanos;
		}

	}

}
