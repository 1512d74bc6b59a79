package org.brasspier.daemon.internal.request;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import io.activej.net.socket.tcp.TcpSocket;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import io.activej.reactor.nio.NioReactor;
import org.brasspier.core.ErrorKind;
import org.brasspier.core.Failure;
import org.brasspier.core.InstanceId;
import org.brasspier.core.event.EventKind;
import org.brasspier.core.request.CallerRequest;
import org.brasspier.core.routing.PeerAddress;
import org.brasspier.core.routing.PeerAddresses;
import org.brasspier.daemon.internal.event.EventLog;
import org.brasspier.daemon.internal.peer.PeerConnection;
import org.brasspier.wire.ForwardCodec;
import org.brasspier.wire.ForwardMessage;
import org.brasspier.wire.FrameReader;
import org.brasspier.wire.Handshake;
import org.brasspier.wire.SharedKeys;
import org.brasspier.wire.WireException;

/**
 * Sends requests to the daemons that own them, one connection for each daemon. Belongs to
 * the thread of requests.
 */
public final class ForwardClient {

	/** The largest frame between daemons: the largest body and room for its headers. */
	static final int MAX_FRAME_BYTES = 2 << 20;

	private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(250);

	private final NioReactor reactor;

	private final InstanceId self;

	private final SharedKeys keys;

	private final EventLog events;

	private final Map<InstanceId, Link> links = new HashMap<>();

	private long nextExchange = 1;

	/**
	 * Creates a client with no connections.
	 * @param reactor the reactor of the thread of requests
	 * @param self this instance
	 * @param keys the shared keys
	 * @param events the time line
	 */
	public ForwardClient(NioReactor reactor, InstanceId self, SharedKeys keys, EventLog events) {
		this.reactor = reactor;
		this.self = self;
		this.keys = keys;
		this.events = events;
	}

	/**
	 * Forwards a request.
	 * @param owner who owns it
	 * @param addresses where instances are
	 * @param request the request
	 * @return how it ended; never an exception
	 */
	public Promise<Outcome> forward(InstanceId owner, PeerAddresses addresses, CallerRequest request) {
		return addresses.find(owner)
			.map((address) -> link(owner, address).exchange(request))
			.orElseGet(() -> Promise.of(failed(ErrorKind.NO_OWNER, "the address of %s is unknown".formatted(owner))));
	}

	private Link link(InstanceId owner, PeerAddress address) {
		return this.links.computeIfAbsent(owner, (instance) -> new Link(instance, address));
	}

	private static Outcome failed(ErrorKind kind, String detail) {
		return new Outcome.Failed(Failure.of(kind, detail), "");
	}

	/**
	 * The connection to one daemon, with what is waiting for an answer on it.
	 */
	private final class Link {

		private final InstanceId peer;

		private final Map<Long, SettablePromise<Outcome>> waiting = new HashMap<>();

		private final Promise<PeerConnection> connection;

		Link(InstanceId peer, PeerAddress address) {
			this.peer = peer;
			this.connection = TcpSocket
				.connect(ForwardClient.this.reactor, new InetSocketAddress(address.host(), address.forwardPort()),
						CONNECT_TIMEOUT, null)
				.then((socket) -> PeerConnection.connector(socket,
						new Handshake(ForwardClient.this.self, ForwardClient.this.keys), MAX_FRAME_BYTES))
				.map(this::ready)
				.whenException((ex) -> ForwardClient.this.links.remove(peer, this));
		}

		private PeerConnection ready(PeerConnection.Opened opened) {
			ForwardClient.this.events.record(EventKind.PEER_CONNECTED, this.peer, "forwarding to it");
			opened.connection().onFrame(this::receive);
			opened.connection().closed().whenResult(this::lost);
			return opened.connection();
		}

		Promise<Outcome> exchange(CallerRequest request) {
			long exchange = ForwardClient.this.nextExchange++;
			SettablePromise<Outcome> outcome = new SettablePromise<>();
			this.connection.whenResult((open) -> {
				this.waiting.put(exchange, outcome);
				open.send(ForwardCodec.encode(new ForwardMessage.Forward(exchange, request)));
			})
				.whenException((ex) -> outcome
					.trySet(failed(ErrorKind.NO_OWNER, "the daemon of %s can't be reached".formatted(this.peer))));
			return outcome;
		}

		private void receive(FrameReader frame) throws WireException {
			switch (ForwardCodec.decode(frame)) {
				case ForwardMessage.Answered message -> settle(message.exchange(),
						new Outcome.Answered(message.answer(), message.fence(), message.ticket()));
				case ForwardMessage.Failed message ->
					settle(message.exchange(), new Outcome.Failed(message.failure(), message.ticket()));
				case ForwardMessage.Forward message -> throw unexpected(message);
				case ForwardMessage.Cancel message -> throw unexpected(message);
			}
		}

		private WireException unexpected(ForwardMessage message) {
			return new WireException("exchange %d was opened by the wrong side".formatted(message.exchange()));
		}

		private void settle(long exchange, Outcome outcome) {
			SettablePromise<Outcome> promise = this.waiting.remove(exchange);
			if (promise != null) {
				promise.trySet(outcome);
			}
		}

		private void lost(Exception reason) {
			ForwardClient.this.links.remove(this.peer, this);
			Outcome outcome = failed(ErrorKind.OUTCOME_UNKNOWN,
					"the connection to %s broke: %s".formatted(this.peer, reason.getMessage()));
			this.waiting.values().forEach((promise) -> promise.trySet(outcome));
			this.waiting.clear();
		}

	}

}
