package org.brasspier.wire;

import java.util.Iterator;
import java.util.NoSuchElementException;

/**
 * A large frame in pieces, each a frame of its own, so that other frames can go between
 * them. A {@link FrameDecoder} puts the pieces of one frame together again; those of two
 * frames must not be mixed. Not thread-safe.
 */
public final class FramePieces implements Iterator<byte[]> {

	/** Begins the payload of a piece; MessagePack never uses this byte. */
	static final byte MARKER = (byte) 0xc1;

	static final byte LAST = 1;

	static final byte MORE = 0;

	/** The mark and whether it is the last piece. */
	static final int HEADER_BYTES = 2;

	private static final int LENGTH_BYTES = Integer.BYTES;

	private final byte[] frame;

	private final int pieceBytes;

	private int position = LENGTH_BYTES;

	/**
	 * Divides a frame.
	 * @param frame the whole frame, length included
	 * @param pieceBytes how much of it a piece carries at most, in bytes
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
	 * How much has not been taken yet.
	 * @return bytes of the frame, at least 0
	 */
	public int remainingBytes() {
		return this.frame.length - this.position;
	}

	/**
	 * The whole frame as it is, for a receiver that takes no pieces.
	 * @return the frame, length included
	 * @throws IllegalStateException if a piece of it was taken
	 */
	public byte[] whole() {
		if (this.position != LENGTH_BYTES) {
			throw new IllegalStateException("a piece of the frame was taken");
		}
		this.position = this.frame.length;
		return this.frame;
	}

	/**
	 * The next piece.
	 * @return a whole frame, length included
	 */
	@Override
	public byte[] next() {
		if (!hasNext()) {
			throw new NoSuchElementException("the last piece was taken");
		}
		int carried = Math.min(this.pieceBytes, this.frame.length - this.position);
		int length = HEADER_BYTES + carried;
		byte[] piece = new byte[LENGTH_BYTES + length];
		for (int i = 0; i < LENGTH_BYTES; i++) {
			piece[i] = (byte) (length >>> Byte.SIZE * (LENGTH_BYTES - 1 - i));
		}
		piece[LENGTH_BYTES] = MARKER;
		System.arraycopy(this.frame, this.position, piece, LENGTH_BYTES + HEADER_BYTES, carried);
		this.position += carried;
		piece[LENGTH_BYTES + 1] = hasNext() ? MORE : LAST;
		return piece;
	}

}
