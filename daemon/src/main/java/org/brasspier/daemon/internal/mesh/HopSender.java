package org.brasspier.daemon.internal.mesh;

import java.util.function.Function;

import org.brasspier.daemon.internal.peer.PeerConnection;

/**
 * Sends messages on one connection to another daemon. Rows of the store are compressed
 * and keep their order, and whatever is large goes in pieces, so that requests, answers
 * and pings need not wait for it. Belongs to the thread of requests.
 */
final class HopSender {

	private final PeerConnection connection;

	private final Function<HopMessage, byte[]> compressedRows;

	private boolean takesPieces;

	/**
	 * Creates a sender to a daemon of which nothing is known yet.
	 * @param connection the connection
	 * @param compressedRows writes rows for a daemon that takes them compressed
	 */
	HopSender(PeerConnection connection, Function<HopMessage, byte[]> compressedRows) {
		this.connection = connection;
		this.compressedRows = compressedRows;
	}

	/**
	 * Holds large messages back until it is known how the other daemon takes them.
	 */
	void holdLargeMessages() {
		this.connection.setLargeFrameMode(PeerConnection.LargeFrameMode.WAIT);
	}

	/**
	 * Takes that the other daemon has said how it takes large messages.
	 * @param takes whether in pieces and compressed
	 */
	void peerAcceptsPieces(boolean takes) {
		this.takesPieces = takes;
		this.connection
			.setLargeFrameMode(takes ? PeerConnection.LargeFrameMode.IN_PIECES : PeerConnection.LargeFrameMode.WHOLE);
	}

	boolean peerAcceptsPieces() {
		return this.takesPieces;
	}

	void send(HopMessage message) {
		switch (message) {
			case HopMessage.RowsResponse rows when !rows.isEmpty() -> sendRows(rows);
			case HopMessage.RowChanges rows -> sendRows(rows);
			// What is taken back must not overtake the large request that it takes back.
			case HopMessage.Cancel cancelled -> this.connection.sendInOrder(HopCodec.encode(cancelled));
			default -> this.connection.send(HopCodec.encode(message));
		}
	}

	private void sendRows(HopMessage rows) {
		this.connection.sendInOrder(this.takesPieces ? this.compressedRows.apply(rows) : HopCodec.encode(rows));
	}

	long unsentBytes() {
		return this.connection.unsentBytes();
	}

}
