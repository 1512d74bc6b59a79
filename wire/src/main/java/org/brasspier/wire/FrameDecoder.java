package org.brasspier.wire;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/**
 * Splits a stream of bytes into frames and reassembles frames sent in pieces. A frame
 * whose length exceeds the limit is rejected before its payload is buffered, so that a
 * peer cannot make this process buffer more than the limit for each connection. Not
 * thread-safe.
 */
public final class FrameDecoder {

	private static final int LENGTH_BYTES = Integer.BYTES;

	private int maxFrameBytes;

	private byte[] pending = new byte[0];

	private long pieceBytes;

	private ByteArrayOutputStream pieces = new ByteArrayOutputStream();

	/**
	 * Creates a decoder.
	 * @param maxFrameBytes the largest payload accepted, in bytes
	 */
	public FrameDecoder(int maxFrameBytes) {
		if (maxFrameBytes < 1) {
			throw new IllegalArgumentException("maxFrameBytes %d must be at least 1".formatted(maxFrameBytes));
		}
		this.maxFrameBytes = maxFrameBytes;
	}

	/**
	 * Sets another limit for the following frames, once the peer is authenticated.
	 * @param maxFrameBytes the largest payload accepted from now on, in bytes
	 */
	public void setMaxFrameBytes(int maxFrameBytes) {
		this.maxFrameBytes = maxFrameBytes;
	}

	/**
	 * Adds received bytes.
	 * @param bytes the next bytes of the stream
	 * @return the frames that are now complete
	 * @throws WireException if a frame is empty or too large
	 */
	public List<FrameReader> decode(byte[] bytes) throws WireException {
		byte[] all = join(this.pending, bytes);
		List<FrameReader> frames = new ArrayList<>();
		int position = 0;
		while (all.length - position >= LENGTH_BYTES) {
			int length = lengthAt(all, position);
			if (all.length - position - LENGTH_BYTES < length) {
				break;
			}
			int begin = position + LENGTH_BYTES;
			position = begin + length;
			if (all[begin] == FramePieces.MARKER) {
				addPiece(all, begin, position).ifPresent(frames::add);
			}
			else {
				frames.add(new FrameReader(Arrays.copyOfRange(all, begin, position)));
			}
		}
		this.pending = Arrays.copyOfRange(all, position, all.length);
		return frames;
	}

	private Optional<FrameReader> addPiece(byte[] bytes, int begin, int end) throws WireException {
		int carriedBytes = end - begin - FramePieces.HEADER_BYTES;
		if (carriedBytes < 0 || this.pieces.size() + carriedBytes > this.maxFrameBytes) {
			throw new WireException(
					"a frame in pieces is truncated or larger than %d bytes".formatted(this.maxFrameBytes));
		}
		this.pieces.write(bytes, begin + FramePieces.HEADER_BYTES, carriedBytes);
		this.pieceBytes += carriedBytes;
		if (bytes[begin + 1] != FramePieces.LAST) {
			return Optional.empty();
		}
		FrameReader whole = new FrameReader(this.pieces.toByteArray(), true);
		this.pieces = new ByteArrayOutputStream();
		return Optional.of(whole);
	}

	/**
	 * Returns the number of buffered bytes of incomplete frames.
	 * @return bytes, at least 0
	 */
	public int pendingBytes() {
		return this.pending.length + this.pieces.size();
	}

	/**
	 * Returns how much all pieces received so far have carried.
	 * @return bytes, without the headers of the pieces
	 */
	public long pieceBytes() {
		return this.pieceBytes;
	}

	private int lengthAt(byte[] bytes, int position) throws WireException {
		int length = (bytes[position] & 0xff) << 24 | (bytes[position + 1] & 0xff) << 16
				| (bytes[position + 2] & 0xff) << 8 | (bytes[position + 3] & 0xff);
		if (length < 1 || length > this.maxFrameBytes) {
			throw new WireException("a frame of %d bytes is outside 1 to %d".formatted(length, this.maxFrameBytes));
		}
		return length;
	}

	private static byte[] join(byte[] first, byte[] second) {
		if (first.length == 0) {
			return second;
		}
		byte[] joined = Arrays.copyOf(first, first.length + second.length);
		System.arraycopy(second, 0, joined, first.length, second.length);
		return joined;
	}

}
