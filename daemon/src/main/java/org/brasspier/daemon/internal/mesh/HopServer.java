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
import org.brasspier.core.mesh.KnownRows;
import org.brasspier.core.mesh.LinkDelay;
import org.brasspier.core.mesh.SendOutcome;
import org.brasspier.daemon.internal.peer.PeerConnection;
import org.brasspier.daemon.internal.request.Cancellation;
import org.brasspier.wire.FrameReader;
import org.brasspier.wire.WireException;

/**
 * Takes requests of other daemons for the backend server beside this one. It never passes
 * them on, so stale routes can't make a request go in circles. Belongs to the thread of
 * requests.
 */
final class HopServer {

	/**
	 * How often a daemon says how much it knows, on a connection that is in use: often
	 * enough to be told within half a second that it is behind.
	 */
	private static final long TELL_EVERY_NANOS = Duration.ofMillis(250).toNanos();

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final SimpleServer server;

	private final BackendGate gate;

	private final KeyOwnership keys;

	private final SharedRows rows;

	private final RowFollowers followers;

	private final BackendCrashes crashes;

	private final MeshLog log;

	private final RowFrameCache rowFrames = new RowFrameCache();

	private final Set<Exchanges> connections = new HashSet<>();

	private boolean leaving;

	private boolean stopping;

	HopServer(NioReactor reactor, InetSocketAddress address, BackendGate gate, KeyOwnership keys, SharedRows rows,
			RowFollowers followers, BackendCrashes crashes, MeshLog log) {
		this.server = SimpleServer.builder(reactor, this::accept)
			.withListenAddress(address)
			.withSocketSettings(HopLink.SOCKET_SETTINGS)
			.build();
		this.gate = gate;
		this.keys = keys;
		this.rows = rows;
		this.followers = followers;
		this.crashes = crashes;
		this.log = log;
	}

	void listen() throws IOException {
		this.server.listen();
	}

	// Tells all other daemons to send no more.
	void leave() {
		this.leaving = true;
		this.connections.forEach((each) -> each.send(new HopMessage.Leaving()));
	}

	// Tells all other daemons that nothing new is taken.
	void stop() {
		this.stopping = true;
		this.connections.forEach((each) -> each.send(new HopMessage.Stopping()));
	}

	void close() {
		this.server.close();
		List.copyOf(this.connections).forEach(Exchanges::close);
	}

	private void accept(ITcpSocket socket) {
		new Exchanges().begin(socket);
	}

	/**
	 * What one connection asked for and waits for.
	 */
	private final class Exchanges implements RowFollowers.Sink {

		private final Map<Long, Cancellation> running = new HashMap<>();

		private final LinkDelay delay = new LinkDelay();

		private final long openedNanos = System.nanoTime();

		private long toldNanos = this.openedNanos - TELL_EVERY_NANOS;

		private Optional<PeerConnection> connection = Optional.empty();

		private Optional<HopSender> sender = Optional.empty();

		void begin(ITcpSocket socket) {
			PeerConnection opened = PeerConnection.unauthenticated(socket, HopLink.MAX_FRAME_BYTES, this::receive);
			this.connection = Optional.of(opened);
			this.sender = Optional.of(new HopSender(opened, HopServer.this.rowFrames::frame));
			HopServer.this.connections.add(this);
			if (HopServer.this.leaving) {
				send(HopServer.this.stopping ? new HopMessage.Stopping() : new HopMessage.Leaving());
			}
			opened.closed().whenResult(this::closed);
		}

		// Whoever asked is gone, or can't be reached any more: nobody waits for answers.
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
			this.connection.ifPresent((opened) -> opened.close(new WireException("this daemon ends")));
		}

		private void receive(FrameReader frame) throws WireException {
			switch (HopCodec.decode(frame)) {
				case HopMessage.ForwardedRequest asked when frame.isInPieces() -> runLarge(asked);
				case HopMessage.ForwardedRequest asked -> run(asked.exchange(), heldUpNanos(asked), asked.request());
				case HopMessage.Cancel(long exchange) -> cancel(exchange);
				case HopMessage.Ping(boolean takesPieces) -> pinged(takesPieces);
				case HopMessage.LoadReport(var load) -> HopServer.this.keys.onLoadReport(load);
				case HopMessage.PromiseRequest asked -> send(HopServer.this.keys.promise(asked));
				case HopMessage.LeasesRequest asked -> HopServer.this.keys.leaseRows(asked).whenResult(this::send);
				case HopMessage.PromiseRelease(var holder) -> HopServer.this.keys.onPromiseReleased(holder);
				case HopMessage.FollowRequest asked -> HopServer.this.followers.follow(this, asked, this);
				case HopMessage.CrashUpdate(var from, var notes) -> HopServer.this.crashes.onCrashState(from, notes);
				case HopMessage.ForwardedResponse ignored -> throw wrongSide();
				case HopMessage.RowsRequest(KnownRows known) -> send(HopServer.this.rows.missingRows(known));
				case HopMessage.RowsResponse told -> HopServer.this.rows.applyAndLog(told);
				case HopMessage.VersionsNotice(KnownRows known) -> noticed(known);
				case HopMessage.RowChanges ignored -> throw wrongSide();
				case HopMessage.LeasesResponse ignored -> throw wrongSide();
				case HopMessage.PromiseResponse ignored -> throw wrongSide();
				case HopMessage.Pong ignored -> throw wrongSide();
				case HopMessage.Leaving ignored -> throw wrongSide();
				case HopMessage.Stopping ignored -> throw wrongSide();
			}
		}

		private void pinged(boolean takesPieces) {
			if (takesPieces) {
				this.sender.ifPresent((ready) -> ready.peerAcceptsPieces(true));
			}
			send(new HopMessage.Pong());
		}

		// Of all who say that they know more, one at a time is asked.
		private void noticed(KnownRows known) {
			KnownRows own = HopServer.this.rows.knownVersions();
			if (known.aheadOf(own) && HopServer.this.rows.tryRequestRows(System.nanoTime())) {
				send(new HopMessage.RowsRequest(own));
			}
		}

		private static WireException wrongSide() {
			return new WireException("a message came from the wrong side of the connection");
		}

		private long heldUpNanos(HopMessage.ForwardedRequest asked) {
			return this.delay.delayNanos(asked.sentNanos(), System.nanoTime() - this.openedNanos);
		}

		// A large request is long on its way, and nobody has given it up: its sender
		// waits for as long as anything comes.
		private void runLarge(HopMessage.ForwardedRequest asked) throws WireException {
			int onItsWayMillis = (int) (heldUpNanos(asked) / NANOS_PER_MILLI);
			int remaining = Math.max(0, asked.request().request().remainingMillis() - onItsWayMillis);
			run(asked.exchange(), 0, asked.request().withRemainingMillis(remaining));
		}

		private void run(long exchange, long heldUpNanos, HopRequest ask) throws WireException {
			Cancellation cancellation = new Cancellation();
			if (this.running.put(exchange, cancellation) != null) {
				throw new WireException("exchange %d was opened twice".formatted(exchange));
			}
			Promise<SendOutcome> outcome = HopServer.this.gate.run(ask, heldUpNanos, cancellation);
			outcome.whenResult((end) -> {
				this.running.remove(exchange);
				send(new HopMessage.ForwardedResponse(exchange, end));
				tellKnown();
			});
		}

		private void tellKnown() {
			long now = System.nanoTime();
			if (now - this.toldNanos >= TELL_EVERY_NANOS) {
				this.toldNanos = now;
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
