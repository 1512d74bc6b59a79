package org.brasspier.wire;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.zip.Deflater;

import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/**
 * Writes the fields of one frame in order. Not thread-safe.
 */
public final class FrameWriter {

	private static final int LENGTH_BYTES = Integer.BYTES;

	private static final int BUFFER_BYTES = 8 << 10;

	private final MessageBufferPacker packer = MessagePack.newDefaultBufferPacker();

	/**
	 * Writes an integer.
	 * @param value the number
	 * @return this writer
	 */
	public FrameWriter number(long value) {
		try {
			this.packer.packLong(value);
			return this;
		}
		catch (IOException ex) {
			throw failed(ex);
		}
	}

	/**
	 * Writes a string.
	 * @param value the string
	 * @return this writer
	 */
	public FrameWriter text(String value) {
		try {
			this.packer.packString(value);
			return this;
		}
		catch (IOException ex) {
			throw failed(ex);
		}
	}

	/**
	 * Writes a boolean.
	 * @param value the value
	 * @return this writer
	 */
	public FrameWriter flag(boolean value) {
		try {
			this.packer.packBoolean(value);
			return this;
		}
		catch (IOException ex) {
			throw failed(ex);
		}
	}

	/**
	 * Writes a byte array.
	 * @param value the bytes
	 * @return this writer
	 */
	public FrameWriter bytes(byte[] value) {
		try {
			this.packer.packBinaryHeader(value.length);
			this.packer.writePayload(value);
			return this;
		}
		catch (IOException ex) {
			throw failed(ex);
		}
	}

	/**
	 * Writes the length of a list.
	 * @param value the number of entries that follow
	 * @return this writer
	 */
	public FrameWriter count(int value) {
		try {
			this.packer.packArrayHeader(value);
			return this;
		}
		catch (IOException ex) {
			throw failed(ex);
		}
	}

	/**
	 * Writes the fields of another frame, compressed.
	 * @param frame the complete other frame, including its length
	 * @return this writer
	 */
	public FrameWriter compressed(byte[] frame) {
		Deflater deflater = new Deflater(Deflater.BEST_SPEED);
		try {
			deflater.setInput(frame, LENGTH_BYTES, frame.length - LENGTH_BYTES);
			deflater.finish();
			ByteArrayOutputStream out = new ByteArrayOutputStream(frame.length / 4);
			byte[] buffer = new byte[BUFFER_BYTES];
			while (!deflater.finished()) {
				out.write(buffer, 0, deflater.deflate(buffer));
			}
			return bytes(out.toByteArray());
		}
		finally {
			deflater.end();
		}
	}

	/**
	 * Returns the complete frame: four bytes of length, then the fields.
	 * @return the bytes to send
	 */
	public byte[] frame() {
		byte[] payload = this.packer.toByteArray();
		byte[] frame = new byte[LENGTH_BYTES + payload.length];
		frame[0] = (byte) (payload.length >>> 24);
		frame[1] = (byte) (payload.length >>> 16);
		frame[2] = (byte) (payload.length >>> 8);
		frame[3] = (byte) payload.length;
		System.arraycopy(payload, 0, frame, LENGTH_BYTES, payload.length);
		return frame;
	}

	private static UncheckedIOException failed(IOException ex) {
		return new UncheckedIOException("writing to memory failed", ex);
	}

}
