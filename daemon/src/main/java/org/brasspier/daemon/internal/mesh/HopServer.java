package org.brasspier.daemon.internal.mesh;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.activej.net.SimpleServer;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import org.brasspier.core.ErrorKind;
import org.brasspier.core.Failure;
import org.brasspier.core.mesh.KnownRows;
import org.brasspier.core.mesh.LinkDelay;
import org.brasspier.core.mesh.SendOutcome;
import org.brasspier.daemon.internal.link.LinkFlow;
import org.brasspier.daemon.internal.peer.PeerConnection;
import org.brasspier.daemon.internal.request.Cancellation;
import org.brasspier.wire.FrameReader;
import org.brasspier.wire.WireException;

/**
 * Accepts requests of other daemons for the local backend server. It never forwards them,
 * so stale routes can't create a loop. Not thread-safe: confined to the request thread.
 */
final class HopServer {

	/**
	 * Interval at which a daemon sends the row versions it knows on a connection that is
	 * in use: short enough that a daemon that is behind learns so within half a second.
	 */
	private static final long VERSIONS_NOTICE_INTERVAL_NANOS = Duration.ofMillis(250).toNanos();

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final SimpleServer server;

	private final BackendGate gate;

	private final KeyOwnership keys;

	private final SharedRows rows;

	private final RowFollowers followers;

	private final BackendCrashes crashes;

	private final LinkFlow flow;

	private final MeshLog log;

	private final RowFrameCache rowFrames = new RowFrameCache();

	private final Set<Connection> connections = new HashSet<>();

	private boolean leaving;

	private boolean stopping;

	HopServer(NioReactor reactor, InetSocketAddress address, BackendGate gate, KeyOwnership keys, SharedRows rows,
			RowFollowers followers, BackendCrashes crashes, LinkFlow flow, MeshLog log) {
		this.server = SimpleServer.builder(reactor, this::accept)
			.withListenAddress(address)
			.withSocketSettings(HopLink.SOCKET_SETTINGS)
			.build();
		this.gate = gate;
		this.keys = keys;
		this.rows = rows;
		this.followers = followers;
		this.crashes = crashes;
		this.flow = flow;
		this.log = log;
	}

	void listen() throws IOException {
		this.server.listen();
	}

	// Asks all other daemons to send new requests elsewhere.
	void leave() {
		this.leaving = true;
		sendToAll(new HopMessage.Leaving());
	}

	// Tells all other daemons that new requests are rejected.
	void stop() {
		this.stopping = true;
		sendToAll(new HopMessage.Stopping());
	}

	// A connection that breaks while it is written to is removed from the set.
	private void sendToAll(HopMessage message) {
		List.copyOf(this.connections).forEach((each) -> each.send(message));
	}

	// Returns whether answers, or other messages, have not left this process yet.
	boolean hasUnsentData() {
		return this.connections.stream().anyMatch(Connection::hasUnsentData);
	}

	void close() {
		this.server.close();
		List.copyOf(this.connections).forEach(Connection::close);
	}

	private void accept(ITcpSocket socket) {
		new Connection().begin(socket);
	}

	/**
	 * One connection from another daemon, with its running requests.
	 */
	private final class Connection implements RowFollowers.Sink {

		private final Map<Long, Cancellation> running = new HashMap<>();

		private final LinkDelay delay = new LinkDelay();

		private final long openedNanos = System.nanoTime();

		private long noticeSentNanos = this.openedNanos - VERSIONS_NOTICE_INTERVAL_NANOS;

		private Optional<PeerConnection> connection = Optional.empty();

		private Optional<HopSender> sender = Optional.empty();

		void begin(ITcpSocket socket) {
			PeerConnection opened = PeerConnection.unauthenticated(socket, HopLink.MAX_FRAME_BYTES, this::receive);
			opened.join(HopServer.this.flow);
			this.connection = Optional.of(opened);
			this.sender = Optional.of(new HopSender(opened, HopServer.this.rowFrames::frame));
			HopServer.this.connections.add(this);
			if (HopServer.this.leaving) {
				send(HopServer.this.stopping ? new HopMessage.Stopping() : new HopMessage.Leaving());
			}
			opened.closed().whenResult(this::closed);
		}

		// The sender is gone or unreachable, so nobody waits for the answers.
		private void closed(Exception reason) {
			HopServer.this.connections.remove(this);
			HopServer.this.followers.remove(this);
			if (reason instanceof WireException && !PeerConnection.isClosedByPeer(reason) && !HopServer.this.leaving) {
				HopServer.this.log.record(MeshEvent.BAD_PEER_INPUT, "reason", String.valueOf(reason.getMessage()));
			}
			List.copyOf(this.running.values()).forEach(Cancellation::cancel);
		}

		@Override
		public void send(HopMessage message) {
			this.sender.ifPresent((ready) -> ready.send(message));
		}

		@Override
		public boolean hasUnsentData() {
			return this.sender.filter((ready) -> ready.unsentBytes() > 0).isPresent();
		}

		void close() {
			this.connection.ifPresent((opened) -> opened.close(new WireException("this daemon is stopping")));
		}

		private void receive(FrameReader frame) throws WireException {
			switch (HopCodec.decode(frame)) {
				case HopMessage.ForwardedRequest message when frame.isInPieces() -> runLarge(message);
				case HopMessage.ForwardedRequest message ->
					run(message.exchange(), delayNanos(message), message.request());
				case HopMessage.Cancel(long exchange) -> cancel(exchange);
				case HopMessage.Ping ping -> onPing(ping);
				case HopMessage.PiecesReceived(long bytes) ->
					this.sender.ifPresent((ready) -> ready.onAcknowledged(bytes));
				case HopMessage.LoadReport(var load) -> HopServer.this.keys.onLoadReport(load);
				case HopMessage.PromiseRequest message -> send(HopServer.this.keys.promise(message));
				case HopMessage.LeasesRequest message -> HopServer.this.keys.leaseRows(message).whenResult(this::send);
				case HopMessage.PromiseRelease release -> HopServer.this.keys.onPromiseReleased(release);
				case HopMessage.FollowRequest message -> HopServer.this.followers.follow(this, message, this);
				case HopMessage.CrashUpdate(var instance, var state) ->
					HopServer.this.crashes.onCrashState(instance, state);
				case HopMessage.ForwardedResponse ignored -> throw wrongDirection();
				case HopMessage.RowsRequest(KnownRows versions) -> send(HopServer.this.rows.missingRows(versions));
				case HopMessage.RowsResponse response -> HopServer.this.rows.applyAndLog(response);
				case HopMessage.VersionsNotice(KnownRows versions) -> onVersionsNotice(versions);
				case HopMessage.RowChanges ignored -> throw wrongDirection();
				case HopMessage.LeasesResponse ignored -> throw wrongDirection();
				case HopMessage.PromiseResponse ignored -> throw wrongDirection();
				case HopMessage.Pong ignored -> throw wrongDirection();
				case HopMessage.Leaving ignored -> throw wrongDirection();
				case HopMessage.Stopping ignored -> throw wrongDirection();
			}
		}

		private void onPing(HopMessage.Ping ping) {
			if (ping.acceptsPieces()) {
				this.sender.ifPresent((ready) -> ready.peerAccepts(true, ping.acknowledgesPieces()));
			}
			send(new HopMessage.Pong());
			sendVersionsIfDue();
		}

		// If several daemons know newer rows, they are requested from one of them at a
		// time.
		private void onVersionsNotice(KnownRows versions) {
			KnownRows own = HopServer.this.rows.knownVersions();
			if (versions.aheadOf(own) && HopServer.this.rows.tryRequestRows(System.nanoTime())) {
				send(new HopMessage.RowsRequest(own));
			}
		}

		private static WireException wrongDirection() {
			return new WireException("received a message that only the other side of a connection may send");
		}

		private long delayNanos(HopMessage.ForwardedRequest message) {
			return this.delay.delayNanos(message.sentNanos(), System.nanoTime() - this.openedNanos);
		}

		// A large request takes long to arrive, which is not a delay after which it is
		// rejected: its sender waits as long as any bytes are exchanged. Only its
		// remaining time is reduced.
		private void runLarge(HopMessage.ForwardedRequest message) throws WireException {
			int delayMillis = (int) (delayNanos(message) / NANOS_PER_MILLI);
			int remaining = Math.max(0, message.request().request().remainingMillis() - delayMillis);
			run(message.exchange(), 0, message.request().withRemainingMillis(remaining));
		}

		private void run(long exchange, long delayNanos, HopRequest request) throws WireException {
			Cancellation cancellation = new Cancellation();
			if (this.running.put(exchange, cancellation) != null) {
				throw new WireException("exchange %d was opened twice".formatted(exchange));
			}
			Promise<SendOutcome> outcome = HopServer.this.gate.runForPeer(request, delayNanos, cancellation);
			outcome.whenResult((result) -> respond(exchange, result, request));
			outcome.whenException((ex) -> respond(exchange,
					new SendOutcome.Unknown(
							Failure.of(ErrorKind.OUTCOME_UNKNOWN, "another daemon failed while it ran the request")),
					request));
		}

		private void respond(long exchange, SendOutcome outcome, HopRequest request) {
			this.running.remove(exchange);
			send(new HopMessage.ForwardedResponse(exchange, outcome, HopServer.this.gate.report(request)));
			sendVersionsIfDue();
		}

		private void sendVersionsIfDue() {
			long now = System.nanoTime();
			if (now - this.noticeSentNanos >= VERSIONS_NOTICE_INTERVAL_NANOS) {
				this.noticeSentNanos = now;
				send(new HopMessage.VersionsNotice(HopServer.this.rows.knownVersions()));
			}
		}

		private void cancel(long exchange) {
			Cancellation cancellation = this.running.get(exchange);
			if (cancellation != null) {
				cancellation.cancel();
			}
		}

	}

}
