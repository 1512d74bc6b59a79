package org.brasspier.daemon.internal.peer;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.LongConsumer;

import io.activej.bytebuf.ByteBuf;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import io.activej.reactor.Reactor;
import org.brasspier.core.link.SendWindow;
import org.brasspier.daemon.internal.link.LinkChannel;
import org.brasspier.daemon.internal.link.LinkFlow;
import org.brasspier.wire.FrameDecoder;
import org.brasspier.wire.FramePieces;
import org.brasspier.wire.FrameReader;
import org.brasspier.wire.Handshake;
import org.brasspier.wire.WireException;

/**
 * A connection between two daemons: a handshake, then frames in both directions. Not
 * thread-safe; used in the thread of its socket only.
 */
public final class PeerConnection {

	/** Maximum size of one piece of a large frame. */
	private static final int PIECE_BYTES = SendWindow.PIECE_BYTES;

	/** Maximum frame size during the handshake, while the peer is not authenticated. */
	private static final int MAX_HANDSHAKE_BYTES = 1024;

	private final ITcpSocket socket;

	private final int maxFrameBytes;

	private final FrameDecoder decoder = new FrameDecoder(MAX_HANDSHAKE_BYTES);

	private final SettablePromise<Exception> closed = new SettablePromise<>();

	/** Large frames that wait to be sent, in order. */
	private final Deque<LargeFrame> pieces = new ArrayDeque<>();

	private LargeFrameMode largeFrames = LargeFrameMode.WHOLE;

	/** This connection's part of the flow control that connections share. */
	private Optional<LinkChannel> channel = Optional.empty();

	/** Whether the peer acknowledges pieces, so that they are sent within the window. */
	private boolean windowed;

	private Optional<LongConsumer> acknowledgements = Optional.empty();

	private long acknowledgedBytes;

	private boolean sendingPieces;

	private long unsentBytes;

	private long receivedNanos = System.nanoTime();

	private FrameHandler handler = (frame) -> {
		throw new WireException("received a frame before the end of the handshake");
	};

	private PeerConnection(ITcpSocket socket, int maxFrameBytes) {
		this.socket = socket;
		this.maxFrameBytes = maxFrameBytes;
	}

	/**
	 * Performs the handshake on the connecting side.
	 * @param socket the connected socket
	 * @param handshake a new handshake
	 * @param maxFrameBytes the largest frame accepted afterwards
	 * @return the connection once both sides have proved the key
	 */
	public static Promise<Opened> connector(ITcpSocket socket, Handshake handshake, int maxFrameBytes) {
		PeerConnection connection = new PeerConnection(socket, maxFrameBytes);
		SettablePromise<Opened> opened = new SettablePromise<>();
		connection.handler = (challenge) -> {
			connection.send(handshake.answer(challenge));
			connection.handler = (reply) -> connection.open(opened, handshake.confirm(reply));
		};
		connection.start(opened);
		return opened;
	}

	/**
	 * Performs the handshake on the accepting side.
	 * @param socket the accepted socket
	 * @param handshake a new handshake
	 * @param maxFrameBytes the largest frame accepted afterwards
	 * @return the connection once the connector has proved the key
	 */
	public static Promise<Opened> acceptor(ITcpSocket socket, Handshake handshake, int maxFrameBytes) {
		PeerConnection connection = new PeerConnection(socket, maxFrameBytes);
		SettablePromise<Opened> opened = new SettablePromise<>();
		connection.handler = (answer) -> {
			Handshake.Accepted accepted = handshake.accept(answer);
			connection.send(accepted.reply());
			connection.open(opened, accepted.peer());
		};
		connection.start(opened);
		connection.send(handshake.challenge());
		return opened;
	}

	/**
	 * Opens a connection without authentication, for deployments whose settings contain
	 * no shared secret and whose network keeps others out.
	 * @param socket the connected socket
	 * @param maxFrameBytes the largest frame accepted
	 * @param handler receives the frames
	 * @return the connection
	 */
	public static PeerConnection unauthenticated(ITcpSocket socket, int maxFrameBytes, FrameHandler handler) {
		PeerConnection connection = new PeerConnection(socket, maxFrameBytes);
		connection.decoder.setMaxFrameBytes(maxFrameBytes);
		connection.handler = handler;
		connection.read();
		return connection;
	}

	private void start(SettablePromise<Opened> opened) {
		this.closed.whenResult((reason) -> opened.trySetException(reason));
		read();
	}

	private void open(SettablePromise<Opened> opened, Handshake.Peer peer) {
		this.decoder.setMaxFrameBytes(this.maxFrameBytes);
		opened.trySet(new Opened(this, peer));
	}

	private void read() {
		this.socket.read().whenComplete((buf, ex) -> {
			if (ex != null) {
				close(ex);
			}
			else if (buf == null) {
				close(new PeerClosedException());
			}
			else {
				onBytes(buf.asArray());
			}
		});
	}

	private void onBytes(byte[] bytes) {
		this.receivedNanos = System.nanoTime();
		this.channel.ifPresent((shared) -> shared.onReceived(bytes.length));
		try {
			for (FrameReader frame : this.decoder.decode(bytes)) {
				this.handler.handle(frame);
			}
			acknowledge();
			updateHeldBytes();
			if (!this.socket.isClosed()) {
				read();
			}
		}
		catch (WireException ex) {
			close(ex);
		}
		catch (RuntimeException | Error ex) {
			Reactor.getCurrentReactor().logFatalError(ex, this);
			close(new WireException("a frame can't be handled", ex));
		}
	}

	private void acknowledge() {
		long bytes = this.decoder.pieceBytes() - this.acknowledgedBytes;
		if (bytes > 0 && this.acknowledgements.isPresent()) {
			this.acknowledgedBytes += bytes;
			this.acknowledgements.get().accept(bytes);
		}
	}

	private void updateHeldBytes() {
		this.channel.ifPresent((shared) -> shared.hold(this.unsentBytes, this.decoder.pendingBytes()));
	}

	/**
	 * Makes this connection part of the flow control of the link.
	 * @param flow the flow control that connections share
	 */
	public void join(LinkFlow flow) {
		if (!this.socket.isClosed()) {
			this.channel = Optional.of(flow.open(this::sendGranted));
		}
	}

	/**
	 * Starts to acknowledge pieces, and to send own pieces within the shared window, as
	 * the peer acknowledges them. Must be called before the first piece is sent.
	 * @param sender sends an acknowledgement of a number of bytes
	 */
	public void acknowledgePieces(LongConsumer sender) {
		this.acknowledgements = Optional.of(sender);
		this.windowed = this.channel.isPresent();
	}

	/**
	 * Handles an acknowledgement.
	 * @param bytes number of bytes of pieces that the peer has received
	 */
	public void onAcknowledged(long bytes) {
		this.channel.ifPresent((shared) -> shared.acknowledged(bytes));
	}

	/**
	 * Sets the receiver of subsequent frames.
	 * @param frameHandler called for each complete frame
	 */
	public void onFrame(FrameHandler frameHandler) {
		this.handler = frameHandler;
	}

	/**
	 * Sends a frame. A small frame overtakes large frames that are still being sent in
	 * pieces.
	 * @param frame the complete frame including its length
	 */
	public void send(byte[] frame) {
		if (frame.length > PIECE_BYTES) {
			sendLarge(frame, false);
		}
		else {
			sendNow(frame);
		}
	}

	/**
	 * Sends a frame that may be cancelled later.
	 * @param frame the complete frame including its length
	 * @return cancels the frame
	 */
	public FrameCancellation sendCancellable(byte[] frame) {
		send(frame);
		return (followUp) -> cancel(frame, followUp);
	}

	private boolean cancel(byte[] frame, byte[] followUp) {
		Optional<LargeFrame> waiting = this.pieces.stream().filter((each) -> each.pieces.isOf(frame)).findFirst();
		if (waiting.isPresent() && !waiting.get().pieces.isBegun()) {
			this.pieces.remove(waiting.get());
			this.unsentBytes -= waiting.get().pieces.remainingBytes();
			if (this.pieces.isEmpty()) {
				this.channel.ifPresent(LinkChannel::onQueueEmpty);
			}
			updateHeldBytes();
			// The next frame is announced in place of the cancelled one.
			sendPieces();
			return true;
		}
		waiting.ifPresentOrElse((begun) -> begun.followUps.add(followUp), () -> send(followUp));
		return false;
	}

	/**
	 * Sends a frame after all large frames that were sent before.
	 * @param frame the complete frame including its length
	 */
	public void sendInOrder(byte[] frame) {
		sendLarge(frame, true);
	}

	private void sendLarge(byte[] frame, boolean inOrder) {
		boolean direct = this.largeFrames == LargeFrameMode.WHOLE
				|| frame.length <= PIECE_BYTES && this.pieces.isEmpty();
		if (direct) {
			sendNow(frame);
		}
		else if (!this.socket.isClosed()) {
			FramePieces large = new FramePieces(frame, PIECE_BYTES);
			this.unsentBytes += large.remainingBytes();
			this.pieces.add(new LargeFrame(large, inOrder, System.nanoTime(), new ArrayList<>(1)));
			updateHeldBytes();
			sendPieces();
		}
	}

	/**
	 * Sets how large frames are sent from now on, and sends those that are waiting.
	 * @param mode the mode
	 */
	public void setLargeFrameMode(LargeFrameMode mode) {
		this.largeFrames = mode;
		sendPieces();
	}

	private void sendNow(byte[] frame) {
		if (this.socket.isClosed()) {
			return;
		}
		this.unsentBytes += frame.length;
		write(frame).whenComplete(() -> {
			this.unsentBytes -= frame.length;
			updateHeldBytes();
		});
		updateHeldBytes();
	}

	// A piece is written only after the previous one has left this process, so that
	// other frames wait for at most one piece.
	private void sendPieces() {
		while (!this.sendingPieces && !this.pieces.isEmpty() && this.largeFrames != LargeFrameMode.WAIT) {
			if (this.windowed && this.largeFrames == LargeFrameMode.IN_PIECES) {
				offerPiece(this.channel.get());
				return;
			}
			sendPiece(PIECE_BYTES);
		}
	}

	private void offerPiece(LinkChannel shared) {
		moveFirst(shared);
		LargeFrame first = this.pieces.getFirst();
		shared.offer(first.pieces.remainingBytes(), first.queuedNanos, this.unsentBytes);
	}

	// Frames that need not be in order are sent in the order of their ranks. A frame that
	// was begun is completed first.
	private void moveFirst(LinkChannel shared) {
		LargeFrame best = this.pieces.getFirst();
		if (best.pieces.isBegun()) {
			return;
		}
		for (LargeFrame each : this.pieces) {
			if (each.inOrder) {
				break;
			}
			if (shared.rank(each.pieces.remainingBytes(), each.queuedNanos) < shared.rank(best.pieces.remainingBytes(),
					best.queuedNanos)) {
				best = each;
			}
		}
		if (best != this.pieces.getFirst()) {
			this.pieces.remove(best);
			this.pieces.addFirst(best);
		}
	}

	private void sendGranted(int bytes) {
		if (!this.socket.isClosed()) {
			sendPiece(bytes);
			sendPieces();
		}
	}

	private void sendPiece(int bytes) {
		FramePieces first = this.pieces.getFirst().pieces;
		int before = first.remainingBytes();
		Promise<Void> written = write((this.largeFrames == LargeFrameMode.WHOLE) ? first.whole() : first.next(bytes));
		this.unsentBytes -= before - first.remainingBytes();
		updateHeldBytes();
		if (!first.hasNext()) {
			this.pieces.removeFirst().followUps.forEach(this::sendNow);
		}
		if (this.pieces.isEmpty()) {
			this.channel.ifPresent(LinkChannel::onQueueEmpty);
		}
		if (!written.isComplete()) {
			this.sendingPieces = true;
			written.whenResult(() -> {
				this.sendingPieces = false;
				sendPieces();
			});
		}
	}

	private Promise<Void> write(byte[] frame) {
		return this.socket.write(ByteBuf.wrapForReading(frame)).whenException((ex) -> close(ex));
	}

	/**
	 * Returns the amount of unsent data, which grows if the peer reads slowly or not at
	 * all.
	 * @return bytes, at least 0
	 */
	public long unsentBytes() {
		return this.unsentBytes;
	}

	/**
	 * Returns when bytes were last received, whether or not they completed a frame.
	 * @return the time in nanoseconds of the steady clock; the time when the connection
	 * was opened if no bytes were received yet
	 */
	public long receivedNanos() {
		return this.receivedNanos;
	}

	/**
	 * Returns how much of an incomplete frame has been received.
	 * @return bytes, at least 0
	 */
	public int pendingBytes() {
		return this.decoder.pendingBytes();
	}

	/**
	 * Returns whether a connection ended because the peer closed it in an orderly way.
	 * @param reason the result of {@link #closed()}
	 * @return true if the peer closed it
	 */
	public static boolean isClosedByPeer(Exception reason) {
		return reason instanceof PeerClosedException;
	}

	/**
	 * Closes the connection.
	 * @param reason the result of {@link #closed()}
	 */
	public void close(Exception reason) {
		this.socket.closeEx(reason);
		this.channel.ifPresent(LinkChannel::close);
		this.closed.trySet(reason);
	}

	/**
	 * Completes when the connection is closed by either side.
	 * @return the reason
	 */
	public Promise<Exception> closed() {
		return this.closed;
	}

	// Holds frames that are sent right after it.
	private record LargeFrame(FramePieces pieces, boolean inOrder, long queuedNanos, List<byte[]> followUps) {
	}

	private static final class PeerClosedException extends WireException {

		private static final long serialVersionUID = 1;

		PeerClosedException() {
			super("the peer closed the connection");
		}

	}

	/**
	 * How large frames are sent, which take long on a low-bandwidth network.
	 */
	public enum LargeFrameMode {

		/** Unsplit: the peer does not support pieces. */
		WHOLE,
		/** Held back until it is known whether the peer supports pieces. */
		WAIT,
		/** In pieces, with other frames in between. */
		IN_PIECES

	}

	/**
	 * Cancels a frame that was given to the connection.
	 */
	public interface FrameCancellation {

		/**
		 * Withdraws the frame if no part of it was sent. Otherwise sends another frame
		 * right after it, before other large frames that wait.
		 * @param followUp a small frame that tells the receiver to ignore the cancelled
		 * one
		 * @return whether the frame was withdrawn
		 */
		boolean cancel(byte[] followUp);

	}

	/**
	 * Receives frames.
	 */
	public interface FrameHandler {

		/**
		 * Handles one frame.
		 * @param frame the frame
		 * @throws WireException if the frame is invalid; the connection is then closed
		 */
		void handle(FrameReader frame) throws WireException;

	}

	/**
	 * A connection with a completed handshake.
	 *
	 * @param connection the connection
	 * @param peer the peer at the other end
	 */
	public record Opened(PeerConnection connection, Handshake.Peer peer) {

	}

}
