package org.brasspier.daemon.internal.ownership;

import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.LongConsumer;
import java.util.function.Supplier;

import io.activej.net.SimpleServer;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.net.socket.tcp.TcpSocket;
import io.activej.reactor.nio.NioReactor;
import org.brasspier.core.InstanceId;
import org.brasspier.core.event.EventKind;
import org.brasspier.core.ownership.ControlMessage;
import org.brasspier.core.ownership.VersionedRow;
import org.brasspier.daemon.internal.DaemonContext;
import org.brasspier.daemon.internal.peer.PeerConnection;
import org.brasspier.wire.ControlCodec;
import org.brasspier.wire.Handshake;
import org.brasspier.wire.MessageDowngrade;
import org.brasspier.wire.WireException;

/**
 * Connections to the control ports of other daemons. A message is sent over the most
 * recently opened connection, whichever side opened it; if there is none, one is opened.
 * Messages may be lost, which their senders expect. Not thread-safe; used in the
 * ownership thread only.
 */
final class PeerLinks {

	/**
	 * How long an answer may be overdue before its connection is closed: two heartbeats.
	 * If a device on the path has lost the state of the connection, it stays silent
	 * forever while a new one works.
	 */
	static final long SILENCE_TIMEOUT_NANOS = Duration.ofMillis(400).toNanos();

	private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(250);

	private static final long RECONNECT_INTERVAL_NANOS = Duration.ofMillis(100).toNanos();

	/** Limit of messages that wait for a connection; older ones are stale by then. */
	private static final int MAX_WAITING = 16;

	private final NioReactor reactor;

	private final DaemonContext context;

	private final Function<InstanceId, Optional<InetSocketAddress>> addresses;

	private final Receiver receiver;

	private final Supplier<VersionedRow> known;

	private final LongConsumer sentBytes;

	private final Map<InstanceId, Link> links = new HashMap<>();

	/**
	 * Creates an object without connections.
	 * @param reactor the reactor of the ownership thread
	 * @param context the context shared by all duties
	 * @param addresses finds the control port of an instance
	 * @param receiver receives messages
	 * @param known supplies the newest known row, for peers that accept only whole rows
	 * @param sentBytes called with the size of each frame sent
	 */
	PeerLinks(NioReactor reactor, DaemonContext context, Function<InstanceId, Optional<InetSocketAddress>> addresses,
			Receiver receiver, Supplier<VersionedRow> known, LongConsumer sentBytes) {
		this.reactor = reactor;
		this.context = context;
		this.addresses = addresses;
		this.receiver = receiver;
		this.known = known;
		this.sentBytes = sentBytes;
	}

	SimpleServer listenOn(InetSocketAddress address) {
		return SimpleServer.builder(this.reactor, this::accept).withListenAddress(address).build();
	}

	private void accept(ITcpSocket socket) {
		PeerConnection.acceptor(socket, handshake(), ControlCodec.MAX_FRAME_BYTES)
			.whenResult((opened) -> link(opened.peer().instance()).onOpened(opened))
			.whenException((ex) -> this.context.events()
				.record(EventKind.PEER_REFUSED, "control port", String.valueOf(ex.getMessage())));
	}

	private Handshake handshake() {
		return new Handshake(this.context.settings().instance(), this.context.secrets().sharedKeys(),
				this.context.settings().limits().maxPeerVersion());
	}

	private Link link(InstanceId peer) {
		return this.links.computeIfAbsent(peer, Link::new);
	}

	void send(InstanceId to, ControlMessage message) {
		link(to).send(message);
	}

	private static boolean expectsAnswer(ControlMessage message) {
		return message instanceof ControlMessage.Heartbeat || message instanceof ControlMessage.Beat
				|| message instanceof ControlMessage.Probe;
	}

	/** Closes connections on which an answer is overdue. */
	void closeSilent() {
		this.links.values().forEach(Link::closeIfSilent);
	}

	/**
	 * Receives messages.
	 */
	interface Receiver {

		/**
		 * Receives one message.
		 * @param from the sender, as authenticated by the handshake
		 * @param message the message
		 */
		void receive(InstanceId from, ControlMessage message);

	}

	/**
	 * The link to one daemon.
	 */
	private final class Link {

		private final InstanceId peer;

		private final Deque<ControlMessage> waiting = new ArrayDeque<>();

		private final ByteArrayOutputStream unsent = new ByteArrayOutputStream();

		private boolean flushing;

		private Optional<PeerConnection.Opened> current = Optional.empty();

		private boolean connecting;

		private long lastConnectNanos = System.nanoTime() - RECONNECT_INTERVAL_NANOS;

		private long unansweredSinceNanos;

		private boolean unanswered;

		Link(InstanceId peer) {
			this.peer = peer;
		}

		void send(ControlMessage message) {
			if (this.current.isPresent()) {
				write(message, this.current.get().peer().version());
				if (expectsAnswer(message) && !this.unanswered) {
					this.unanswered = true;
					this.unansweredSinceNanos = System.nanoTime();
				}
				return;
			}
			if (this.waiting.size() == MAX_WAITING) {
				this.waiting.removeFirst();
			}
			this.waiting.addLast(message);
			connect();
		}

		// Messages to one peer from one step of the state machine, such as a manager's
		// beat, its answer and a heartbeat, are sent in one segment, because the
		// headers of a segment are larger than a frame.
		private void write(ControlMessage message, int version) {
			MessageDowngrade.forVersion(message, version, PeerLinks.this.known.get())
				.map((known) -> ControlCodec.encode(known, PeerLinks.this.context.events().stamp()))
				.ifPresent(this::write);
		}

		private void write(byte[] frame) {
			PeerLinks.this.sentBytes.accept(frame.length);
			this.unsent.write(frame, 0, frame.length);
			if (!this.flushing) {
				this.flushing = true;
				PeerLinks.this.reactor.post(this::flush);
			}
		}

		private void flush() {
			this.flushing = false;
			byte[] frames = this.unsent.toByteArray();
			this.unsent.reset();
			this.current.ifPresent((open) -> open.connection().send(frames));
		}

		private void connect() {
			Optional<InetSocketAddress> address = PeerLinks.this.addresses.apply(this.peer);
			if (this.connecting || address.isEmpty()
					|| System.nanoTime() - this.lastConnectNanos < RECONNECT_INTERVAL_NANOS) {
				return;
			}
			this.connecting = true;
			this.lastConnectNanos = System.nanoTime();
			TcpSocket.connect(PeerLinks.this.reactor, address.get(), CONNECT_TIMEOUT, null)
				.then((socket) -> PeerConnection.connector(socket, handshake(), ControlCodec.MAX_FRAME_BYTES))
				.whenResult(this::onConnected)
				.whenComplete(() -> this.connecting = false);
		}

		private void onConnected(PeerConnection.Opened opened) {
			if (opened.peer().instance().equals(this.peer)) {
				onOpened(opened);
			}
			else {
				opened.connection().close(new WireException("%s answers for %s".formatted(opened.peer(), this.peer)));
			}
		}

		void onOpened(PeerConnection.Opened opened) {
			PeerConnection connection = opened.connection();
			PeerLinks.this.context.events()
				.record(EventKind.PEER_CONNECTED, this.peer, "control, version " + opened.peer().version());
			this.current = Optional.of(opened);
			this.unanswered = false;
			connection.onFrame((frame) -> {
				this.unanswered = false;
				PeerLinks.this.context.events().receive(ControlCodec.stamp(frame));
				PeerLinks.this.receiver.receive(this.peer, ControlCodec.decode(frame));
			});
			connection.closed().whenResult(() -> onClosed(connection));
			while (!this.waiting.isEmpty()) {
				write(this.waiting.removeFirst(), opened.peer().version());
			}
		}

		private void onClosed(PeerConnection connection) {
			if (this.current.filter((open) -> open.connection() == connection).isPresent()) {
				this.current = Optional.empty();
				this.unanswered = false;
			}
		}

		private void closeIfSilent() {
			if (this.unanswered && System.nanoTime() - this.unansweredSinceNanos > SILENCE_TIMEOUT_NANOS) {
				this.current.ifPresent(
						(open) -> open.connection().close(new WireException("%s is silent".formatted(this.peer))));
			}
		}

	}

}
