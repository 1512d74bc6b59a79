package org.brasspier.daemon.internal.exchange;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * The first bytes of an answer, for logs. Takes up a fixed amount of memory. Not
 * thread-safe.
 */
public final class AnswerStart {

	private static final int MAX_BYTES = 160;

	private final byte[] bytes = new byte[MAX_BYTES];

	private int size;

	/**
	 * Adds bytes that were received, as far as there is room.
	 * @param received the bytes, which remain unread
	 */
	public void add(ByteBuffer received) {
		int added = Math.min(received.remaining(), MAX_BYTES - this.size);
		received.get(received.position(), this.bytes, this.size, added);
		this.size += added;
	}

	/**
	 * Forgets the bytes, since another answer begins.
	 */
	public void clear() {
		this.size = 0;
	}

	/**
	 * Returns the bytes.
	 * @return one character for each byte
	 */
	@Override
	public String toString() {
		return new String(this.bytes, 0, this.size, StandardCharsets.ISO_8859_1);
	}

}
