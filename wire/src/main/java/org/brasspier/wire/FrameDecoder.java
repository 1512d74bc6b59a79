package org.brasspier.wire;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Cuts a stream of bytes into frames. A frame that claims more than the limit is refused
 * before any of it is stored, so that a peer cannot make this process hold more than one
 * limit's worth of bytes for each connection. Not thread-safe.
 */
public final class FrameDecoder {

	private static final int LENGTH_BYTES = Integer.BYTES;

	private int maxFrameBytes;

	private byte[] pending = new byte[0];

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
	 * Sets another limit for the frames to come, once the peer has proved itself.
	 * @param maxFrameBytes the largest payload accepted from now on, in bytes
	 */
	public void limit(int maxFrameBytes) {
		this.maxFrameBytes = maxFrameBytes;
	}

	/**
	 * Takes bytes as they came in.
	 * @param bytes the next bytes of the stream
	 * @return the frames that are now whole
	 * @throws WireException if a frame is empty or too large
	 */
	public List<FrameReader> accept(byte[] bytes) throws WireException {
		byte[] all = join(this.pending, bytes);
		List<FrameReader> frames = new ArrayList<>();
		int position = 0;
		while (all.length - position >= LENGTH_BYTES) {
			int length = lengthAt(all, position);
			if (all.length - position - LENGTH_BYTES < length) {
				break;
			}
			int begin = position + LENGTH_BYTES;
			frames.add(new FrameReader(Arrays.copyOfRange(all, begin, begin + length)));
			position = begin + length;
		}
		this.pending = Arrays.copyOfRange(all, position, all.length);
		return frames;
	}

	/**
	 * How much of a frame that is not whole yet has come.
	 * @return bytes, at least 0
	 */
	public int pendingBytes() {
		return this.pending.length;
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
