package org.brasspier.daemon.internal.mesh;

import org.jspecify.annotations.Nullable;

/**
 * Caches the encoded frame of the latest message with rows. The same rows are usually
 * sent to many daemons one after the other, so they are encoded and compressed only once.
 * Not thread-safe; confined to the request thread.
 */
final class RowFrameCache {

	/**
	 * Minimum size for compression; smaller frames take longer to compress than to send.
	 */
	private static final int MIN_COMPRESSED_BYTES = 1 << 10;

	private @Nullable HopMessage latest;

	private byte[] latestFrame = new byte[0];

	/**
	 * Encodes rows for a daemon that accepts compressed frames.
	 * @param rows the message
	 * @return the whole frame; shared between callers, must not be modified
	 */
	byte[] frame(HopMessage rows) {
		if (rows != this.latest) {
			byte[] plain = HopCodec.encode(rows);
			this.latestFrame = (plain.length < MIN_COMPRESSED_BYTES) ? plain : HopCodec.encodeCompressed(rows);
			this.latest = rows;
		}
		return this.latestFrame;
	}

}
