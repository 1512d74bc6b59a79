package org.brasspier.daemon.internal.link;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.IntConsumer;

import io.activej.reactor.nio.NioReactor;
import org.brasspier.core.link.InboundLoad;
import org.brasspier.core.link.LinkStream;
import org.brasspier.core.link.SendWindow;

/**
 * Flow control of this instance's network link: all connections to other daemons send
 * their large messages within one window. Not thread-safe: confined to the request
 * thread.
 */
public final class LinkFlow {

	/**
	 * Interval at which waiting connections are tried again without an acknowledgement.
	 */
	private static final Duration RETRY_INTERVAL = Duration.ofMillis(250);

	private final NioReactor reactor;

	private final SendWindow window;

	private final InboundLoad inbound = new InboundLoad();

	private final Map<LinkStream, LinkChannel> channels = new HashMap<>();

	private final Set<LinkChannel> queued = new LinkedHashSet<>();

	private long heldBytes;

	private int incompleteMessages;

	private boolean sending;

	private boolean retryScheduled;

	/**
	 * Creates the flow control of a process.
	 * @param reactor the reactor of the request thread
	 * @param linkMegabits configured bandwidth in megabits per second; 0 if unknown
	 */
	public LinkFlow(NioReactor reactor, int linkMegabits) {
		this.reactor = reactor;
		this.window = new SendWindow(linkMegabits);
	}

	/**
	 * Adds a connection.
	 * @param sendPiece sends the connection's next piece, with at most the given number
	 * of bytes
	 * @return its part of the flow control
	 */
	public LinkChannel open(IntConsumer sendPiece) {
		LinkStream stream = this.window.open();
		LinkChannel channel = new LinkChannel(this, stream, sendPiece);
		this.channels.put(stream, channel);
		return channel;
	}

	void offer(LinkChannel channel, long remainingBytes, long messageNanos) {
		this.window.offer(channel.stream(), remainingBytes, messageNanos);
		this.queued.add(channel);
		sendPieces();
	}

	void acknowledged(LinkStream stream, long bytes) {
		this.window.acknowledged(stream, bytes, System.nanoTime());
		sendPieces();
	}

	void onQueueEmpty(LinkChannel channel) {
		this.window.withdraw(channel.stream());
		this.queued.remove(channel);
	}

	void close(LinkChannel channel) {
		this.window.close(channel.stream());
		this.channels.remove(channel.stream());
		this.queued.remove(channel);
		sendPieces();
	}

	void onReceived(int bytes) {
		this.inbound.onReceived(bytes, System.nanoTime());
	}

	void hold(long bytes, int incomplete) {
		this.heldBytes += bytes;
		this.incompleteMessages += incomplete;
	}

	// Sending a piece may close its connection or offer the next one, which leads back
	// here.
	private void sendPieces() {
		if (this.sending) {
			return;
		}
		this.sending = true;
		try {
			for (Optional<LinkStream> next = next(); next.isPresent(); next = next()) {
				Optional.ofNullable(this.channels.get(next.get())).ifPresent(LinkChannel::sendPiece);
			}
		}
		finally {
			this.sending = false;
		}
		scheduleRetry();
	}

	private Optional<LinkStream> next() {
		return this.window.next(System.nanoTime());
	}

	private void scheduleRetry() {
		if (!this.retryScheduled && this.window.hasWaiting()) {
			this.retryScheduled = true;
			this.reactor.delayBackground(RETRY_INTERVAL, () -> {
				this.retryScheduled = false;
				sendPieces();
			});
		}
	}

	double rank(long remainingBytes, long messageNanos) {
		return this.window.rank(remainingBytes, messageNanos, System.nanoTime());
	}

	/**
	 * Returns the time that the link needs for what waits to be sent to other daemons.
	 * Messages to receivers that have stopped reading do not count.
	 * @return the time; zero if the bandwidth is unknown
	 */
	public Duration linkBacklog() {
		return this.window.timeFor(backlogBytes());
	}

	long backlogBytes() {
		long now = System.nanoTime();
		long bytes = this.window.inLinkBytes();
		for (LinkChannel channel : this.queued) {
			if (!this.window.isStalled(channel.stream(), now)) {
				bytes += channel.queuedBytes();
			}
		}
		return bytes;
	}

	/**
	 * Returns the time for which a small message to another daemon and its answer may
	 * wait in this instance's link.
	 * @return nanoseconds; 0 if the bandwidth is unknown
	 */
	public long delayNanos() {
		return this.window.timeFor(this.window.inLinkBytes()).toNanos()
				+ this.inbound.backlogNanos(this.incompleteMessages, this.window.bytesPerSecond(), System.nanoTime());
	}

	/**
	 * Returns what the link carries.
	 * @return bytes per second; 0 if unknown
	 */
	public double bytesPerSecond() {
		return this.window.bytesPerSecond();
	}

	/**
	 * Returns the bytes that are held for other daemons: messages that were not sent yet
	 * or are still being received.
	 * @return bytes, at least 0
	 */
	public long heldBytes() {
		return this.heldBytes;
	}

}
