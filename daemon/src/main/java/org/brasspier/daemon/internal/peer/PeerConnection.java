package org.brasspier.daemon.internal.peer;

import java.util.ArrayDeque;
import java.util.Deque;

import io.activej.bytebuf.ByteBuf;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import org.brasspier.wire.FrameDecoder;
import org.brasspier.wire.FramePieces;
import org.brasspier.wire.FrameReader;
import org.brasspier.wire.Handshake;
import org.brasspier.wire.WireException;

/**
 * One connection between two daemons: handshake, then frames both ways. Belongs to the
 * thread of its socket.
 */
public final class PeerConnection {

	/** What one piece of a large frame carries at most. */
	private static final int PIECE_BYTES = 16 << 10;

	/** The largest frame before the handshake is over: nobody unproven may send much. */
	private static final int MAX_HANDSHAKE_BYTES = 1024;

	private final ITcpSocket socket;

	private final int maxFrameBytes;

	private final FrameDecoder decoder = new FrameDecoder(MAX_HANDSHAKE_BYTES);

	private final SettablePromise<Exception> closed = new SettablePromise<>();

	/** What waits to be sent in pieces, in order. */
	private final Deque<FramePieces> pieces = new ArrayDeque<>();

	private LargeFrames largeFrames = LargeFrames.WHOLE;

	private boolean sendingPieces;

	private long unsentBytes;

	private long receivedNanos = System.nanoTime();

	private FrameHandler handler = (frame) -> {
		throw new WireException("a frame came before the handshake was over");
	};

	private PeerConnection(ITcpSocket socket, int maxFrameBytes) {
		this.socket = socket;
		this.maxFrameBytes = maxFrameBytes;
	}

	/**
	 * Opens the connector's side.
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
		connection.begin(opened);
		return opened;
	}

	/**
	 * Opens the acceptor's side.
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
		connection.begin(opened);
		connection.send(handshake.challenge());
		return opened;
	}

	/**
	 * Opens a connection on which neither side proves who it is. For deployments whose
	 * settings carry no shared secret and whose network keeps others out.
	 * @param socket the connected socket
	 * @param maxFrameBytes the largest frame accepted
	 * @param handler takes the frames
	 * @return the connection
	 */
	public static PeerConnection unproven(ITcpSocket socket, int maxFrameBytes, FrameHandler handler) {
		PeerConnection connection = new PeerConnection(socket, maxFrameBytes);
		connection.decoder.setMaxFrameBytes(maxFrameBytes);
		connection.handler = handler;
		connection.read();
		return connection;
	}

	private void begin(SettablePromise<Opened> opened) {
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
				take(buf.asArray());
			}
		});
	}

	private void take(byte[] bytes) {
		this.receivedNanos = System.nanoTime();
		try {
			for (FrameReader frame : this.decoder.decode(bytes)) {
				this.handler.handle(frame);
			}
			if (!this.socket.isClosed()) {
				read();
			}
		}
		catch (WireException ex) {
			close(ex);
		}
	}

	/**
	 * Sets who receives frames from now on.
	 * @param frameHandler called for each whole frame
	 */
	public void onFrame(FrameHandler frameHandler) {
		this.handler = frameHandler;
	}

	/**
	 * Sends a frame. It goes before large frames that are still being sent in pieces.
	 * @param frame the whole frame, length included
	 */
	public void send(byte[] frame) {
		if (frame.length > PIECE_BYTES) {
			sendInOrder(frame);
		}
		else {
			sendNow(frame);
		}
	}

	/**
	 * Sends a frame after all large ones that were sent before.
	 * @param frame the whole frame, length included
	 */
	public void sendInOrder(byte[] frame) {
		boolean direct = this.largeFrames == LargeFrames.WHOLE || frame.length <= PIECE_BYTES && this.pieces.isEmpty();
		if (direct) {
			sendNow(frame);
		}
		else if (!this.socket.isClosed()) {
			this.unsentBytes += frame.length;
			this.pieces.add(new FramePieces(frame, PIECE_BYTES));
			sendPieces();
		}
	}

	/**
	 * Says how large frames are sent from now on.
	 * @param way how; those that waited for this go on
	 */
	public void largeFrames(LargeFrames way) {
		this.largeFrames = way;
		sendPieces();
	}

	private void sendNow(byte[] frame) {
		if (this.socket.isClosed()) {
			return;
		}
		this.unsentBytes += frame.length;
		write(frame).whenComplete(() -> this.unsentBytes -= frame.length);
	}

	// A piece is handed over once the one before has left this process, so that whatever
	// is sent meanwhile waits for one piece at most.
	private void sendPieces() {
		while (!this.sendingPieces && !this.pieces.isEmpty() && this.largeFrames != LargeFrames.WAIT) {
			FramePieces first = this.pieces.getFirst();
			int before = first.remainingBytes();
			Promise<Void> written = write((this.largeFrames == LargeFrames.WHOLE) ? first.whole() : first.next());
			this.unsentBytes -= before - first.remainingBytes();
			if (!first.hasNext()) {
				this.pieces.removeFirst();
			}
			if (!written.isComplete()) {
				this.sendingPieces = true;
				written.whenResult(() -> {
					this.sendingPieces = false;
					sendPieces();
				});
			}
		}
	}

	private Promise<Void> write(byte[] frame) {
		return this.socket.write(ByteBuf.wrapForReading(frame)).whenException((ex) -> close(ex));
	}

	/**
	 * How much waits to be sent, as where the peer reads slowly or not at all.
	 * @return bytes, at least 0
	 */
	public long unsentBytes() {
		return this.unsentBytes;
	}

	/**
	 * When bytes last came, whether they made a frame whole or not.
	 * @return the time by the steady clock, in nanoseconds; when the connection was
	 * opened if none came yet
	 */
	public long receivedNanos() {
		return this.receivedNanos;
	}

	/**
	 * How much of a frame that is not whole yet has come.
	 * @return bytes, at least 0
	 */
	public int pendingBytes() {
		return this.decoder.pendingBytes();
	}

	/**
	 * Whether a connection ended because the peer closed it in an orderly way.
	 * @param reason what {@link #closed()} told
	 * @return true if so
	 */
	public static boolean closedByPeer(Exception reason) {
		return reason instanceof PeerClosedException;
	}

	/**
	 * Closes the connection.
	 * @param reason told to {@link #closed()}
	 */
	public void close(Exception reason) {
		this.socket.closeEx(reason);
		this.closed.trySet(reason);
	}

	/**
	 * Completes when the connection is closed by either side.
	 * @return the reason
	 */
	public Promise<Exception> closed() {
		return this.closed;
	}

	private static final class PeerClosedException extends WireException {

		private static final long serialVersionUID = 1;

		PeerClosedException() {
			super("the peer closed the connection");
		}

	}

	/**
	 * How frames are sent that take long on a narrow network.
	 */
	public enum LargeFrames {

		/** As they are; the peer knows nothing else. */
		WHOLE,
		/** Not before it is known which way the peer takes them. */
		WAIT,
		/** In pieces, and other frames between them. */
		IN_PIECES

	}

	/**
	 * Receives frames.
	 */
	public interface FrameHandler {

		/**
		 * Takes one frame.
		 * @param frame the frame
		 * @throws WireException if it makes no sense; the connection is then closed
		 */
		void handle(FrameReader frame) throws WireException;

	}

	/**
	 * A connection whose handshake is over.
	 *
	 * @param connection the connection
	 * @param peer who is at the other end
	 */
	public record Opened(PeerConnection connection, Handshake.Peer peer) {

	}

}
