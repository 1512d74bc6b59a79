package org.brasspier.wire;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.InflaterInputStream;

import org.msgpack.core.MessageFormatException;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Reads the fields of one frame in order. Not thread-safe.
 */
public final class FrameReader {

	private final MessageUnpacker unpacker;

	private final boolean inPieces;

	FrameReader(byte[] payload) {
		this(payload, false);
	}

	FrameReader(byte[] payload, boolean inPieces) {
		this.unpacker = MessagePack.newDefaultUnpacker(payload);
		this.inPieces = inPieces;
	}

	/**
	 * Returns whether the frame arrived in pieces, in which case its first bytes may have
	 * arrived long before its last.
	 * @return false if it arrived as one frame
	 */
	public boolean isInPieces() {
		return this.inPieces;
	}

	/**
	 * Reads an integer of up to 64 bits.
	 * @return the number
	 * @throws WireException if the next field has another type
	 */
	public long number() throws WireException {
		try {
			return this.unpacker.unpackLong();
		}
		catch (MessagePackException | IOException ex) {
			throw malformed(ex);
		}
	}

	/**
	 * Reads an integer that fits an {@code int}.
	 * @return the number
	 * @throws WireException if the next field has another type
	 */
	public int integer() throws WireException {
		try {
			return this.unpacker.unpackInt();
		}
		catch (MessagePackException | IOException ex) {
			throw malformed(ex);
		}
	}

	/**
	 * Reads a string.
	 * @return the string
	 * @throws WireException if the next field has another type
	 */
	public String text() throws WireException {
		try {
			return this.unpacker.unpackString();
		}
		catch (MessagePackException | IOException | NegativeArraySizeException ex) {
			throw malformed(ex);
		}
	}

	/**
	 * Reads a boolean.
	 * @return the value
	 * @throws WireException if the next field has another type
	 */
	public boolean flag() throws WireException {
		try {
			return this.unpacker.unpackBoolean();
		}
		catch (MessagePackException | IOException ex) {
			throw malformed(ex);
		}
	}

	/**
	 * Returns whether another field follows.
	 * @return false at the end of the frame
	 * @throws WireException if the frame is damaged
	 */
	public boolean hasMore() throws WireException {
		try {
			return this.unpacker.hasNext();
		}
		catch (MessagePackException | IOException ex) {
			throw malformed(ex);
		}
	}

	/**
	 * Reads a byte array.
	 * @return the bytes
	 * @throws WireException if the next field has another type
	 */
	public byte[] bytes() throws WireException {
		try {
			return this.unpacker.readPayload(this.unpacker.unpackBinaryHeader());
		}
		catch (MessagePackException | IOException | NegativeArraySizeException ex) {
			throw malformed(ex);
		}
	}

	/**
	 * Reads another frame whose fields were compressed.
	 * @param maxBytes the largest uncompressed size accepted, in bytes
	 * @return the uncompressed frame
	 * @throws WireException if the next field has another type, is damaged or is larger
	 */
	public FrameReader compressed(int maxBytes) throws WireException {
		byte[] bytes = bytes();
		try (InflaterInputStream in = new InflaterInputStream(new ByteArrayInputStream(bytes))) {
			byte[] fields = in.readNBytes(maxBytes + 1);
			if (fields.length > maxBytes) {
				throw new WireException("a compressed frame is larger than %d bytes".formatted(maxBytes));
			}
			return new FrameReader(fields);
		}
		catch (IOException ex) {
			throw new WireException("a compressed frame is truncated or damaged", ex);
		}
	}

	/**
	 * Reads the length of a list.
	 * @return the number of entries that follow
	 * @throws WireException if the next field has another type
	 */
	public int count() throws WireException {
		try {
			return this.unpacker.unpackArrayHeader();
		}
		catch (MessagePackException | IOException ex) {
			throw malformed(ex);
		}
	}

	/**
	 * Reads a list.
	 * @param <T> the type of its entries
	 * @param entry reads one entry
	 * @return the entries
	 * @throws WireException if an entry is malformed
	 */
	public <T> List<T> list(Entry<T> entry) throws WireException {
		int count = count();
		List<T> entries = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			entries.add(entry.read(this));
		}
		return List.copyOf(entries);
	}

	private static WireException malformed(Exception ex) {
		return new WireException((ex instanceof MessageFormatException)
				? "a field of the frame has another type than expected" : "the frame is truncated or damaged", ex);
	}

	/**
	 * Reads one entry of a list.
	 *
	 * @param <T> the type of the entry
	 */
	public interface Entry<T> {

		/**
		 * Reads the entry.
		 * @param frame the frame, positioned at the entry
		 * @return the entry
		 * @throws WireException if the entry is malformed
		 */
		T read(FrameReader frame) throws WireException;

	}

}
