package org.brasspier.daemon.internal.link;

import java.util.function.IntConsumer;

import org.brasspier.core.link.LinkStream;

/**
 * One connection's part of the flow control of the link. Not thread-safe: confined to the
 * request thread.
 */
public final class LinkChannel {

	private final LinkFlow flow;

	private final LinkStream stream;

	private final IntConsumer sendPiece;

	private long heldBytes;

	private long queuedBytes;

	private boolean incomplete;

	private boolean closed;

	LinkChannel(LinkFlow flow, LinkStream stream, IntConsumer sendPiece) {
		this.flow = flow;
		this.stream = stream;
		this.sendPiece = sendPiece;
	}

	LinkStream stream() {
		return this.stream;
	}

	void sendPiece() {
		this.sendPiece.accept(this.stream.nextBytes());
	}

	long queuedBytes() {
		return this.queuedBytes;
	}

	/**
	 * Announces that the connection has a piece to send, which is sent at once or later.
	 * @param remainingBytes bytes of the message that were not sent yet
	 * @param messageNanos when the message was ready to be sent, nanoseconds of the
	 * steady clock
	 * @param queued bytes of all messages that wait on this connection
	 */
	public void offer(long remainingBytes, long messageNanos, long queued) {
		this.queuedBytes = queued;
		if (!this.closed) {
			this.flow.offer(this, remainingBytes, messageNanos);
		}
	}

	/**
	 * Announces that no large message waits on this connection any more.
	 */
	public void onQueueEmpty() {
		this.queuedBytes = 0;
		this.flow.onQueueEmpty(this);
	}

	/**
	 * Returns the rank of a message; those of lower rank are sent first.
	 * @param remainingBytes bytes of the message that were not sent yet
	 * @param messageNanos when the message was ready to be sent
	 * @return the rank
	 */
	public double rank(long remainingBytes, long messageNanos) {
		return this.flow.rank(remainingBytes, messageNanos);
	}

	/**
	 * Handles the acknowledgement of pieces.
	 * @param bytes number of bytes that the receiver has read
	 */
	public void acknowledged(long bytes) {
		if (!this.closed) {
			this.flow.acknowledged(this.stream, bytes);
		}
	}

	/**
	 * Records received bytes.
	 * @param bytes number of bytes
	 */
	public void onReceived(int bytes) {
		this.flow.onReceived(bytes);
	}

	/**
	 * Records what is held for the other daemon.
	 * @param unsentBytes bytes that were not sent yet
	 * @param receivedBytes bytes of a message that is still being received
	 */
	public void hold(long unsentBytes, long receivedBytes) {
		if (this.closed) {
			return;
		}
		long held = unsentBytes + receivedBytes;
		boolean receiving = receivedBytes > 0;
		this.flow.hold(held - this.heldBytes, Boolean.compare(receiving, this.incomplete));
		this.heldBytes = held;
		this.incomplete = receiving;
	}

	/**
	 * Removes the connection, which was closed.
	 */
	public void close() {
		hold(0, 0);
		if (!this.closed) {
			this.closed = true;
			this.flow.close(this);
		}
	}

}
