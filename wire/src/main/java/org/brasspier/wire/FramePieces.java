package org.brasspier.wire;

import java.util.Iterator;
import java.util.NoSuchElementException;

/**
 * Splits a large frame into pieces, each a frame of its own, so that other frames can be
 * sent between them. A {@link FrameDecoder} reassembles the pieces. The pieces of two
 * frames must not be interleaved. Not thread-safe.
 */
public final class FramePieces implements Iterator<byte[]> {

	/** The first byte of the payload of a piece; MessagePack never uses this byte. */
	static final byte MARKER = (byte) 0xc1;

	static final byte LAST = 1;

	static final byte MORE = 0;

	/** The marker and the flag whether this is the last piece. */
	static final int HEADER_BYTES = 2;

	private static final int LENGTH_BYTES = Integer.BYTES;

	private final byte[] frame;

	private final int pieceBytes;

	private int position = LENGTH_BYTES;

	/**
	 * Creates the pieces of a frame.
	 * @param frame the complete frame, including its length
	 * @param pieceBytes the largest part of the frame in one piece, in bytes
	 */
	public FramePieces(byte[] frame, int pieceBytes) {
		if (pieceBytes < 1) {
			throw new IllegalArgumentException("pieceBytes %d must be at least 1".formatted(pieceBytes));
		}
		this.frame = frame;
		this.pieceBytes = pieceBytes;
	}

	@Override
	public boolean hasNext() {
		return this.position < this.frame.length;
	}

	/**
	 * Returns the number of bytes of the frame that no piece has carried yet.
	 * @return bytes, at least 0
	 */
	public int remainingBytes() {
		return this.frame.length - this.position;
	}

	/**
	 * Returns whether these are the pieces of a frame.
	 * @param other a complete frame
	 * @return true if it is the same array
	 */
	public boolean isOf(byte[] other) {
		return this.frame == other;
	}

	/**
	 * Returns whether part of the frame was returned.
	 * @return true if it was
	 */
	public boolean isBegun() {
		return this.position != LENGTH_BYTES;
	}

	/**
	 * Returns the unsplit frame, for a receiver that does not support pieces.
	 * @return the frame, including its length
	 * @throws IllegalStateException if {@link #next()} was called before
	 */
	public byte[] whole() {
		if (this.position != LENGTH_BYTES) {
			throw new IllegalStateException("a piece of the frame was already returned");
		}
		this.position = this.frame.length;
		return this.frame;
	}

	/**
	 * Returns the next piece.
	 * @return a complete frame, including its length
	 */
	@Override
	public byte[] next() {
		return next(this.pieceBytes);
	}

	/**
	 * Returns the next piece, which may be smaller than the others.
	 * @param maxBytes the largest part of the frame in the piece, in bytes
	 * @return a complete frame, including its length
	 */
	public byte[] next(int maxBytes) {
		if (!hasNext()) {
			throw new NoSuchElementException("the last piece was already returned");
		}
		int carriedBytes = Math.min(maxBytes, this.frame.length - this.position);
		int length = HEADER_BYTES + carriedBytes;
		byte[] piece = new byte[LENGTH_BYTES + length];
		for (int i = 0; i < LENGTH_BYTES; i++) {
			piece[i] = (byte) (length >>> Byte.SIZE * (LENGTH_BYTES - 1 - i));
		}
		piece[LENGTH_BYTES] = MARKER;
		System.arraycopy(this.frame, this.position, piece, LENGTH_BYTES + HEADER_BYTES, carriedBytes);
		this.position += carriedBytes;
		piece[LENGTH_BYTES + 1] = hasNext() ? MORE : LAST;
		return piece;
	}

}
