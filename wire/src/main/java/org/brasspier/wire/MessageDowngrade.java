package org.brasspier.wire;

import java.util.Optional;

import org.brasspier.core.ownership.ControlMessage;
import org.brasspier.core.ownership.VersionedRow;

/**
 * Converts a message to one that a daemon with an earlier version of the peer protocol
 * supports. Needed during a rolling upgrade: daemons of two versions run side by side,
 * and a daemon that receives an unknown message closes the connection, which interrupts
 * the heartbeats too. Stateless and thread-safe.
 */
public final class MessageDowngrade {

	/** The first version in which changes of a row are sent as deltas. */
	public static final int ROW_DELTA_VERSION = 2;

	private MessageDowngrade() {
	}

	/**
	 * Returns the message in a form that the given version supports.
	 * @param message the message
	 * @param version the version of the peer protocol used with the peer
	 * @param known the newest row that this daemon knows, which must be known to be
	 * written
	 * @return the message to send, or empty if the peer does not need it
	 */
	public static Optional<ControlMessage> forVersion(ControlMessage message, int version, VersionedRow known) {
		if (version >= ROW_DELTA_VERSION) {
			return Optional.of(message);
		}
		return switch (message) {
			case ControlMessage.RowDifference ignored -> Optional.of(new ControlMessage.RowUpdate(known));
			// Only sent to a peer that has sent a delta, which this peer never does.
			case ControlMessage.RowRequest ignored -> Optional.empty();
			default -> Optional.of(message);
		};
	}

}
