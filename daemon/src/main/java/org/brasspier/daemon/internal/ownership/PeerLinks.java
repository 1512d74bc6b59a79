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
 * The ways to the other daemons' control ports. A message goes over the connection that
 * opened last, whoever opened it; where there is none, one is opened. Messages may be
 * lost, as what sends them expects. Belongs to the thread of ownership.
 */
final class PeerLinks {

	/**
	 * How long an answer may be missing before a connection is given up: two heartbeats.
	 * Something between the ends may have lost track of it, and then it stays silent for
	 * good while a new one works.
	 */
	static final long SILENT_NANOS = Duration.ofMillis(400).toNanos();

	private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(250);

	private static final long REDIAL_NANOS = Duration.ofMillis(100).toNanos();

	/** What waits for a connection to open; older messages are stale by then. */
	private static final int MAX_WAITING = 16;

	private final NioReactor reactor;

	private final DaemonContext context;

	private final Function<InstanceId, Optional<InetSocketAddress>> addresses;

	private final Receiver receiver;

	private final Supplier<VersionedRow> known;

	private final LongConsumer sentBytes;

	private final Map<InstanceId, Link> links = new HashMap<>();

	/**
	 * Creates links to nobody yet.
	 * @param reactor the reactor of the thread of ownership
	 * @param context what every duty needs
	 * @param addresses where an instance's control port is
	 * @param receiver takes messages
	 * @param known the newest row that is known, for peers that take whole rows only
	 * @param sentBytes told the size of each frame sent
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
			.whenResult((opened) -> link(opened.peer().instance()).opened(opened))
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

	/** Gives up connections on which an answer has been missing for too long. */
	void dropSilent() {
		this.links.values().forEach(Link::dropIfSilent);
	}

	/**
	 * Takes messages.
	 */
	interface Receiver {

		/**
		 * Takes one message.
		 * @param from who sent it, as the handshake proved
		 * @param message the message
		 */
		void receive(InstanceId from, ControlMessage message);

	}

	/**
	 * The way to one daemon.
	 */
	private final class Link {

		private final InstanceId peer;

		private final Deque<ControlMessage> waiting = new ArrayDeque<>();

		private final ByteArrayOutputStream unsent = new ByteArrayOutputStream();

		private boolean flushing;

		private Optional<PeerConnection.Opened> current = Optional.empty();

		private boolean dialing;

		private long dialledAt = System.nanoTime() - REDIAL_NANOS;

		private long unansweredSince;

		private boolean unanswered;

		Link(InstanceId peer) {
			this.peer = peer;
		}

		void send(ControlMessage message) {
			if (this.current.isPresent()) {
				write(message, this.current.get().peer().version());
				if (expectsAnswer(message) && !this.unanswered) {
					this.unanswered = true;
					this.unansweredSince = System.nanoTime();
				}
				return;
			}
			if (this.waiting.size() == MAX_WAITING) {
				this.waiting.removeFirst();
			}
			this.waiting.addLast(message);
			dial();
		}

		// What one step of the state machine sends to one peer, a manager's beat with its
		// answer and its heartbeat, leaves in one segment: the headers of each are more
		// than a frame.
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

		private void dial() {
			Optional<InetSocketAddress> address = PeerLinks.this.addresses.apply(this.peer);
			if (this.dialing || address.isEmpty() || System.nanoTime() - this.dialledAt < REDIAL_NANOS) {
				return;
			}
			this.dialing = true;
			this.dialledAt = System.nanoTime();
			TcpSocket.connect(PeerLinks.this.reactor, address.get(), CONNECT_TIMEOUT, null)
				.then((socket) -> PeerConnection.connector(socket, handshake(), ControlCodec.MAX_FRAME_BYTES))
				.whenResult(this::dialled)
				.whenComplete(() -> this.dialing = false);
		}

		private void dialled(PeerConnection.Opened opened) {
			if (opened.peer().instance().equals(this.peer)) {
				opened(opened);
			}
			else {
				opened.connection().close(new WireException("%s answers for %s".formatted(opened.peer(), this.peer)));
			}
		}

		void opened(PeerConnection.Opened opened) {
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
			connection.closed().whenResult(() -> closed(connection));
			while (!this.waiting.isEmpty()) {
				write(this.waiting.removeFirst(), opened.peer().version());
			}
		}

		private void closed(PeerConnection connection) {
			if (this.current.filter((open) -> open.connection() == connection).isPresent()) {
				this.current = Optional.empty();
				this.unanswered = false;
			}
		}

		private void dropIfSilent() {
			if (this.unanswered && System.nanoTime() - this.unansweredSince > SILENT_NANOS) {
				this.current.ifPresent(
						(open) -> open.connection().close(new WireException("%s is silent".formatted(this.peer))));
			}
		}

	}

}
