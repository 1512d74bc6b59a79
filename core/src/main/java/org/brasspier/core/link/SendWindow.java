package org.brasspier.core.link;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;

import org.brasspier.core.link.LinkStream.Piece;
import org.jspecify.annotations.Nullable;

/**
 * Decides when the pieces of large messages are sent, over all connections of a process
 * that share one network link. It bounds the bytes in the link's queue, so that small
 * messages, which are not subject to it, pass quickly. A link carries bytes in the order
 * in which they were sent. So once a piece is acknowledged, all pieces sent earlier have
 * left the link as well, even if their receivers are slow. Where the bandwidth is neither
 * configured nor learned, every piece is sent at once. Not thread-safe; times are
 * nanoseconds of a steady clock.
 */
public final class SendWindow {

	/** Maximum size of one piece, and of a message that is sent unsplit, in bytes. */
	public static final int PIECE_BYTES = 16 << 10;

	/**
	 * Small messages are to be delayed by at most 20 ms, which are the window and the
	 * piece that may exceed it. With a window of 50 ms, the model of a full link delays
	 * one small message in a hundred by 59 ms.
	 */
	private static final double QUEUE_SECONDS = 0.012;

	/** The window is larger only by the time that receivers take to acknowledge. */
	private static final double MAX_WINDOW_SECONDS = 0.05;

	/**
	 * A delay that is taken for too low costs bandwidth, one that is too high does not.
	 */
	private static final double HIGHER_DELAY_WEIGHT = 0.7;

	private static final double LOWER_DELAY_WEIGHT = 0.25;

	/** Interval at which a full link is emptied to measure the delay without a queue. */
	private static final long PROBE_INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();

	private static final long MAX_PROBE_NANOS = Duration.ofMillis(100).toNanos();

	private static final int PIECES_PER_WINDOW = 2;

	private static final int MIN_PIECE_BYTES = 2 << 10;

	/** A longer time is not spent in this window but in the queue of another link. */
	private static final long SLOW_NANOS = Duration.ofMillis(100).toNanos();

	private static final long OPENS_AFTER_NANOS = Duration.ofSeconds(1).toNanos();

	/**
	 * A waiting message is overtaken by a smaller one only if that one came within four
	 * times the time that the link needs for the difference.
	 */
	private static final double AGE_WEIGHT = 0.25;

	private static final double NANOS_PER_SECOND = 1_000_000_000;

	private final LinkRate rate;

	/** Pieces that may still be in the link's queue, oldest first. */
	private final Deque<Piece> inLink = new ArrayDeque<>();

	private final Set<LinkStream> waiting = new LinkedHashSet<>();

	private long inLinkBytes;

	private long nextNumber;

	private long progressNanos;

	/** Mean time from the link to the receiver and back, without any queue. */
	private double delaySeconds;

	/** The last piece that was sent when nothing else was in the link. */
	private @Nullable Piece probe;

	private long probedNanos;

	/**
	 * Creates the window.
	 * @param linkMegabits configured bandwidth of the link in megabits per second; 0 if
	 * unknown
	 */
	public SendWindow(int linkMegabits) {
		this.rate = new LinkRate(linkMegabits);
	}

	/**
	 * Adds a connection.
	 * @return its state
	 */
	public LinkStream open() {
		return new LinkStream();
	}

	/**
	 * Removes a connection that was closed; its unacknowledged bytes no longer count.
	 * @param stream the connection
	 */
	public void close(LinkStream stream) {
		this.waiting.remove(stream);
		for (Piece piece : stream.unacknowledged()) {
			if (this.inLink.remove(piece)) {
				this.inLinkBytes -= piece.bytes();
			}
		}
		stream.unacknowledged().clear();
	}

	/**
	 * Announces that a connection has a piece to send.
	 * @param stream the connection
	 * @param remainingBytes bytes of the message that were not sent yet
	 * @param messageNanos when the message was ready to be sent
	 */
	public void offer(LinkStream stream, long remainingBytes, long messageNanos) {
		stream.offer(remainingBytes, (int) Math.min(pieceBytes(), remainingBytes), messageNanos);
		this.waiting.add(stream);
	}

	/**
	 * Withdraws what a connection has announced, since it has nothing to send any more.
	 * @param stream the connection
	 */
	public void withdraw(LinkStream stream) {
		this.waiting.remove(stream);
	}

	/**
	 * Returns the connection that sends its piece now; the piece then counts as sent.
	 * @param now the time
	 * @return the connection; empty if none may send
	 */
	public Optional<LinkStream> next(long now) {
		openAfterSilence(now);
		if (isEmptying(now)) {
			return Optional.empty();
		}
		LinkStream first = null;
		boolean full = false;
		for (LinkStream stream : this.waiting) {
			if (!fitsLink(stream)) {
				full = true;
			}
			else if (fitsStream(stream) && (first == null || rank(stream, now) < rank(first, now))) {
				first = stream;
			}
		}
		if (first != null) {
			send(first, now);
		}
		else if (full) {
			this.rate.onBusy(now);
		}
		else if (this.rate.isKnown()) {
			this.rate.onIdle();
		}
		return Optional.ofNullable(first);
	}

	private void send(LinkStream stream, long now) {
		this.waiting.remove(stream);
		if (this.inLink.isEmpty()) {
			this.progressNanos = now;
		}
		Piece piece = new Piece(stream, this.nextNumber++, stream.nextBytes(), now);
		if (this.inLink.isEmpty()) {
			this.probe = piece;
			this.probedNanos = now;
		}
		stream.sent(piece);
		this.inLink.add(piece);
		this.inLinkBytes += piece.bytes();
		if (!this.rate.isKnown()) {
			this.rate.onBusy(now);
		}
	}

	// A window that is too small for receivers that acknowledge late would leave the link
	// idle, which looks like a lower bandwidth.
	private boolean isEmptying(long now) {
		long late = now - this.probedNanos - PROBE_INTERVAL_NANOS;
		if (late >= MAX_PROBE_NANOS) {
			this.probedNanos = now;
		}
		return this.rate.isKnown() && !this.inLink.isEmpty() && late >= 0 && late < MAX_PROBE_NANOS;
	}

	private void measureDelay(Piece last, long now) {
		Piece sent = this.probe;
		if (sent != null && sent.stream() == last.stream() && sent.number() <= last.number()) {
			this.probe = null;
			double seconds = Math.clamp((now - sent.sentNanos() - this.rate.nanosFor(sent.bytes())) / NANOS_PER_SECOND,
					0, MAX_WINDOW_SECONDS);
			this.delaySeconds += (seconds - this.delaySeconds)
					* ((seconds > this.delaySeconds) ? HIGHER_DELAY_WEIGHT : LOWER_DELAY_WEIGHT);
		}
	}

	private double rank(LinkStream stream, long now) {
		return rank(stream.remainingBytes(), stream.firstOfferedNanos(), now);
	}

	/**
	 * Returns the rank of a message; those of lower rank are sent first.
	 * @param remainingBytes bytes of the message that were not sent yet
	 * @param messageNanos when the message was ready to be sent
	 * @param now the time
	 * @return the rank
	 */
	public double rank(long remainingBytes, long messageNanos, long now) {
		double age = Math.max(0, now - messageNanos) / NANOS_PER_SECOND;
		return remainingBytes - age * AGE_WEIGHT * this.rate.bytesPerSecond();
	}

	private boolean fitsStream(LinkStream stream) {
		if (!this.rate.isKnown()) {
			return true;
		}
		return !stream.isForgiven() && (stream.unacknowledgedBytes() == 0
				|| stream.unacknowledgedBytes() + stream.nextBytes() <= Math.min(stream.windowBytes(), windowBytes()));
	}

	// A connection without unacknowledged bytes may exceed the window by one piece. Its
	// acknowledgement tells whether the pieces that fill the window have left the link.
	private boolean fitsLink(LinkStream stream) {
		int excess = (stream.unacknowledgedBytes() == 0) ? stream.nextBytes() : 0;
		return !this.rate.isKnown() || this.inLinkBytes + stream.nextBytes() <= windowBytes() + excess;
	}

	private long windowBytes() {
		return Math.max((long) PIECES_PER_WINDOW * pieceBytes(),
				(long) (this.rate.bytesPerSecond() * Math.min(MAX_WINDOW_SECONDS, QUEUE_SECONDS + this.delaySeconds)));
	}

	private int pieceBytes() {
		double bytes = this.rate.bytesPerSecond() * QUEUE_SECONDS / PIECES_PER_WINDOW;
		return this.rate.isKnown() ? (int) Math.clamp(bytes, MIN_PIECE_BYTES, PIECE_BYTES) : PIECE_BYTES;
	}

	/**
	 * Handles the acknowledgement of bytes.
	 * @param stream the connection on which it was received
	 * @param bytes number of bytes of pieces that the receiver has read
	 * @param now the time
	 */
	public void acknowledged(LinkStream stream, long bytes, long now) {
		Piece last = stream.acknowledge(bytes);
		if (last == null) {
			return;
		}
		adjustStream(stream, now - last.sentNanos());
		measureDelay(last, now);
		this.progressNanos = now;
		long carried = 0;
		while (!this.inLink.isEmpty() && this.inLink.getFirst().number() <= last.number()) {
			carried += this.inLink.removeFirst().bytes();
		}
		this.inLinkBytes -= carried;
		this.rate.onCarried(carried, now - last.sentNanos() >= SLOW_NANOS, now);
		if (this.inLink.isEmpty() && !this.rate.isKnown()) {
			this.rate.onIdle();
		}
	}

	// Many daemons that send to one receiver fill its link, although none of them fills
	// its own. So each of them lowers what it keeps on its way there.
	private void adjustStream(LinkStream stream, long delayNanos) {
		if (this.rate.isKnown()) {
			long current = Math.min(stream.windowBytes(), windowBytes());
			stream.setWindowBytes((delayNanos > SLOW_NANOS) ? Math.max(pieceBytes(), current / 2)
					: Math.min(windowBytes(), current + pieceBytes()));
		}
	}

	// Without any acknowledgement for a second, the receivers of the oldest pieces may be
	// gone. They are sent nothing more until they acknowledge what they were sent, or
	// they would fill the window again.
	private void openAfterSilence(long now) {
		if (this.inLink.isEmpty() || now - this.progressNanos < OPENS_AFTER_NANOS) {
			return;
		}
		this.progressNanos = now;
		for (long opened = 0; opened < (long) PIECES_PER_WINDOW * pieceBytes() && !this.inLink.isEmpty();) {
			Piece piece = this.inLink.removeFirst();
			opened += piece.bytes();
			this.inLinkBytes -= piece.bytes();
			piece.stream().forgive(piece);
		}
	}

	/**
	 * Returns whether any connection waits to send.
	 * @return whether {@link #next(long)} must be asked again later
	 */
	public boolean hasWaiting() {
		return !this.waiting.isEmpty();
	}

	/**
	 * Returns whether a connection's receiver seems to have stopped reading.
	 * @param stream the connection
	 * @param now the time
	 * @return true if it has not acknowledged a piece for a second
	 */
	public boolean isStalled(LinkStream stream, long now) {
		Piece oldest = stream.unacknowledged().peekFirst();
		return stream.isForgiven() || oldest != null && now - oldest.sentNanos() >= OPENS_AFTER_NANOS;
	}

	/**
	 * Returns the time that the link needs for bytes.
	 * @param bytes number of bytes
	 * @return the time; zero if the bandwidth is unknown
	 */
	public Duration timeFor(long bytes) {
		return Duration.ofNanos(this.rate.nanosFor(bytes));
	}

	/**
	 * Returns the bytes that were sent and may still be in the link's queue.
	 * @return bytes, at least 0
	 */
	public long inLinkBytes() {
		return this.inLinkBytes;
	}

	/**
	 * Returns what the link carries.
	 * @return bytes per second; 0 if unknown
	 */
	public double bytesPerSecond() {
		return this.rate.bytesPerSecond();
	}

}
