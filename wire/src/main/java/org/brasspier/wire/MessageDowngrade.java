package org.brasspier.wire;

import java.util.Optional;

import org.brasspier.core.ownership.ControlMessage;
import org.brasspier.core.ownership.VersionedRow;

/**
 * Puts a message so that a daemon of an earlier version understands it. Made for a
 * rolling replacement: daemons of two versions run side by side, and one that gets a
 * message it doesn't know closes the connection, heartbeats and all. Stateless and
 * thread-safe.
 */
public final class MessageDowngrade {

	/** From this version on, rows travel as differences. */
	public static final int ROW_DELTA_VERSION = 2;

	private MessageDowngrade() {
	}

	/**
	 * The message as a peer of some version knows it.
	 * @param message the message
	 * @param version the version of the peer protocol that is spoken with the peer
	 * @param known the newest row that this daemon knows; it was certainly written
	 * @return empty if the peer has no use for the message
	 */
	public static Optional<ControlMessage> forVersion(ControlMessage message, int version, VersionedRow known) {
		if (version >= ROW_DELTA_VERSION) {
			return Optional.of(message);
		}
		return switch (message) {
			case ControlMessage.RowDifference ignored -> Optional.of(new ControlMessage.RowUpdate(known));
			// Only asked of who has told a difference.
			case ControlMessage.RowRequest ignored -> Optional.empty();
			default -> Optional.of(message);
		};
	}

}
