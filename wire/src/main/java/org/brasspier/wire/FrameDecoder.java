package org.brasspier.wire;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/**
 * Cuts a stream of bytes into frames. A frame that claims more than the limit is refused
 * before any of it is stored, so that a peer cannot make this process hold more than one
 * limit's worth of bytes for each connection. Not thread-safe.
 */
public final class FrameDecoder {

	private static final int LENGTH_BYTES = Integer.BYTES;

	private int maxFrameBytes;

	private byte[] pending = new byte[0];

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
	 * Sets another limit for the frames to come, once the peer has proved itself.
	 * @param maxFrameBytes the largest payload accepted from now on, in bytes
	 */
	public void setMaxFrameBytes(int maxFrameBytes) {
		this.maxFrameBytes = maxFrameBytes;
	}

	/**
	 * Takes bytes as they came in.
	 * @param bytes the next bytes of the stream
	 * @return the frames that are now whole
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
				piece(all, begin, position).ifPresent(frames::add);
			}
			else {
				frames.add(new FrameReader(Arrays.copyOfRange(all, begin, position)));
			}
		}
		this.pending = Arrays.copyOfRange(all, position, all.length);
		return frames;
	}

	private Optional<FrameReader> piece(byte[] bytes, int begin, int end) throws WireException {
		int carried = end - begin - FramePieces.HEADER_BYTES;
		if (carried < 0 || this.pieces.size() + carried > this.maxFrameBytes) {
			throw new WireException("a frame in pieces is cut short or larger than %d".formatted(this.maxFrameBytes));
		}
		this.pieces.write(bytes, begin + FramePieces.HEADER_BYTES, carried);
		if (bytes[begin + 1] != FramePieces.LAST) {
			return Optional.empty();
		}
		FrameReader whole = new FrameReader(this.pieces.toByteArray(), true);
		this.pieces = new ByteArrayOutputStream();
		return Optional.of(whole);
	}

	/**
	 * How much of a frame that is not whole yet has come.
	 * @return bytes, at least 0
	 */
	public int pendingBytes() {
		return this.pending.length + this.pieces.size();
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
