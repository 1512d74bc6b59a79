package org.brasspier.daemon.internal.mesh;

import java.util.function.BooleanSupplier;
import java.util.function.Function;

import org.brasspier.daemon.internal.peer.PeerConnection;

/**
 * Sends messages on one connection to another daemon. Rows of the store are compressed
 * and keep their order. Large messages are sent in pieces, so that requests, answers and
 * pings need not wait for them. Not thread-safe: confined to the request thread.
 */
final class HopSender {

	private final PeerConnection connection;

	private final Function<HopMessage, byte[]> compressedRows;

	private boolean acceptsPieces;

	private boolean acknowledges;

	/**
	 * Creates a sender to a daemon whose capabilities are not known yet.
	 * @param connection the connection
	 * @param compressedRows encodes rows for a daemon that accepts compressed messages
	 */
	HopSender(PeerConnection connection, Function<HopMessage, byte[]> compressedRows) {
		this.connection = connection;
		this.compressedRows = compressedRows;
	}

	/**
	 * Holds large messages back until it is known in which form the other daemon accepts
	 * them.
	 */
	void holdLargeMessages() {
		this.connection.setLargeFrameMode(PeerConnection.LargeFrameMode.WAIT);
	}

	/**
	 * Sets in which form the other daemon accepts large messages, and sends those held
	 * back.
	 * @param accepts true for pieces and compressed messages, false for whole messages
	 * only
	 */
	void peerAcceptsPieces(boolean accepts) {
		this.acceptsPieces = accepts;
		this.connection
			.setLargeFrameMode(accepts ? PeerConnection.LargeFrameMode.IN_PIECES : PeerConnection.LargeFrameMode.WHOLE);
	}

	/**
	 * Sets in which form the other daemon accepts large messages, and whether it
	 * acknowledges their pieces.
	 * @param accepts true for pieces and compressed messages, false for whole messages
	 * only
	 * @param acknowledges whether it acknowledges pieces and accepts acknowledgements
	 */
	void peerAccepts(boolean accepts, boolean acknowledges) {
		if (acknowledges && !this.acknowledges) {
			this.acknowledges = true;
			this.connection.acknowledgePieces((bytes) -> send(new HopMessage.PiecesReceived(bytes)));
		}
		peerAcceptsPieces(accepts);
	}

	void onAcknowledged(long bytes) {
		this.connection.onAcknowledged(bytes);
	}

	boolean peerAcceptsPieces() {
		return this.acceptsPieces;
	}

	void send(HopMessage message) {
		switch (message) {
			case HopMessage.RowsResponse rows when !rows.isEmpty() -> sendRows(rows);
			case HopMessage.RowChanges rows -> sendRows(rows);
			default -> this.connection.send(HopCodec.encode(message));
		}
	}

	/**
	 * Sends a request.
	 * @param request the request
	 * @return cancels the request; returns whether it was withdrawn before any of it was
	 * sent
	 */
	BooleanSupplier sendRequest(HopMessage.ForwardedRequest request) {
		PeerConnection.FrameCancellation sent = this.connection.sendCancellable(HopCodec.encode(request));
		return () -> sent.cancel(HopCodec.encode(new HopMessage.Cancel(request.exchange())));
	}

	private void sendRows(HopMessage rows) {
		this.connection.sendInOrder(this.acceptsPieces ? this.compressedRows.apply(rows) : HopCodec.encode(rows));
	}

	long unsentBytes() {
		return this.connection.unsentBytes();
	}

}
