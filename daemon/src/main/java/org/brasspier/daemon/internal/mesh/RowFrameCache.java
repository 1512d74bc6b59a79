package org.brasspier.daemon.internal.mesh;

import org.jspecify.annotations.Nullable;

/**
 * Rows as they are sent. The same rows mostly go to many daemons in a row, and are
 * written and compressed once for all of them. Belongs to the thread of requests.
 */
final class RowFrameCache {

	/** Smaller ones take more time to compress than to send. */
	private static final int COMPRESSED_FROM_BYTES = 1 << 10;

	private @Nullable HopMessage latest;

	private byte[] latestFrame = new byte[0];

	/**
	 * Writes rows for a daemon that takes them compressed.
	 * @param rows the message
	 * @return the whole frame, shared by all who ask for the same message; not to be
	 * written to
	 */
	byte[] frame(HopMessage rows) {
		if (rows != this.latest) {
			byte[] plain = HopCodec.encode(rows);
			this.latestFrame = (plain.length < COMPRESSED_FROM_BYTES) ? plain : HopCodec.encodeCompressed(rows);
			this.latest = rows;
		}
		return this.latestFrame;
	}

}
