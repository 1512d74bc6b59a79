package org.brasspier.daemon.internal.request;

import java.net.InetSocketAddress;

import io.activej.net.SimpleServer;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.reactor.nio.NioReactor;
import org.brasspier.core.InstanceId;
import org.brasspier.core.event.EventKind;
import org.brasspier.core.request.CallerRequest;
import org.brasspier.daemon.internal.event.EventLog;
import org.brasspier.daemon.internal.peer.PeerConnection;
import org.brasspier.wire.ForwardCodec;
import org.brasspier.wire.ForwardMessage;
import org.brasspier.wire.FrameReader;
import org.brasspier.wire.Handshake;
import org.brasspier.wire.SharedKeys;
import org.brasspier.wire.WireException;

/**
 * Takes requests that other daemons forward to this one. It never forwards again, so
 * stale route tables can't make a request travel in circles. Belongs to the thread of
 * requests.
 */
public final class ForwardServer {

	private final InstanceId self;

	private final SharedKeys keys;

	private final LocalGate gate;

	private final EventLog events;

	/**
	 * Creates a server that does not listen yet.
	 * @param self this instance
	 * @param keys the shared keys
	 * @param gate the way to the backend server
	 * @param events the time line
	 */
	public ForwardServer(InstanceId self, SharedKeys keys, LocalGate gate, EventLog events) {
		this.self = self;
		this.keys = keys;
		this.gate = gate;
		this.events = events;
	}

	/**
	 * Builds the listening server.
	 * @param reactor the reactor of the thread of requests
	 * @param address where to listen
	 * @return a server to be told to listen
	 */
	public SimpleServer listenOn(NioReactor reactor, InetSocketAddress address) {
		return SimpleServer.builder(reactor, this::accept).withListenAddress(address).build();
	}

	private void accept(ITcpSocket socket) {
		PeerConnection.acceptor(socket, new Handshake(this.self, this.keys), ForwardClient.MAX_FRAME_BYTES)
			.whenResult((opened) -> opened.connection().onFrame((frame) -> receive(opened.connection(), frame)))
			.whenException((ex) -> this.events.record(EventKind.PEER_REFUSED, "forward port",
					String.valueOf(ex.getMessage())));
	}

	private void receive(PeerConnection connection, FrameReader frame) throws WireException {
		switch (ForwardCodec.decode(frame)) {
			case ForwardMessage.Forward(long exchange, CallerRequest request) ->
				this.gate.serve(request).whenResult((outcome) -> reply(connection, exchange, outcome));
			case ForwardMessage.Cancel message -> {
			}
			case ForwardMessage.Answered message -> throw unexpected(message);
			case ForwardMessage.Failed message -> throw unexpected(message);
		}
	}

	private static WireException unexpected(ForwardMessage message) {
		return new WireException("exchange %d was answered by the wrong side".formatted(message.exchange()));
	}

	private static void reply(PeerConnection connection, long exchange, Outcome outcome) {
		connection.send(ForwardCodec.encode(switch (outcome) {
			case Outcome.Answered answered ->
				new ForwardMessage.Answered(exchange, answered.answer(), answered.fence(), answered.ticket());
			case Outcome.Failed failed -> new ForwardMessage.Failed(exchange, failed.failure(), failed.ticket());
		}));
	}

}
