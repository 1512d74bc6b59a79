package org.brasspier.daemon.internal.request;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Supplier;

import com.codahale.metrics.Counter;
import io.activej.net.SimpleServer;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import io.activej.reactor.nio.NioReactor;
import org.brasspier.core.ErrorKind;
import org.brasspier.core.Failure;
import org.brasspier.core.Fence;
import org.brasspier.core.event.EventKind;
import org.brasspier.core.ownership.HeldRange;
import org.brasspier.core.request.CallerRequest;
import org.brasspier.core.routing.OwnershipSnapshot;
import org.brasspier.daemon.internal.DaemonContext;
import org.brasspier.daemon.internal.event.EventLog;
import org.brasspier.daemon.internal.peer.PeerConnection;
import org.brasspier.daemon.internal.settings.CurrentSecrets;
import org.brasspier.daemon.internal.settings.Settings;
import org.brasspier.wire.ForwardCodec;
import org.brasspier.wire.ForwardMessage;
import org.brasspier.wire.FrameReader;
import org.brasspier.wire.WireException;

/**
 * Accepts requests that other daemons forward to this one. Never forwards a request
 * again, so stale route tables can't cause a routing loop. Not thread-safe; used in the
 * request thread only.
 */
public final class ForwardServer {

	private static final Duration HANDSHAKE_TIMEOUT = Duration.ofSeconds(1);

	private static final long NANOS_PER_MILLI = 1_000_000;

	private static final Duration RETRY_AFTER = Duration.ofMillis(100);

	private final Settings settings;

	private final CurrentSecrets secrets;

	private final OwnerGate owner;

	private final ServerGate servers;

	private final Supplier<OwnershipSnapshot> ownership;

	private final EventLog events;

	private final Counter refused;

	private long latestRequestNanos = System.nanoTime();

	/**
	 * Creates a server that does not listen yet.
	 * @param context this instance, the shared keys, the listen address, the event log
	 * and the metrics
	 * @param owner serves requests that this instance owns
	 * @param servers runs orders that other owners have admitted
	 * @param ownership the current owners
	 */
	ForwardServer(DaemonContext context, OwnerGate owner, ServerGate servers, Supplier<OwnershipSnapshot> ownership) {
		this.settings = context.settings();
		this.secrets = context.secrets();
		this.owner = owner;
		this.servers = servers;
		this.ownership = ownership;
		this.events = context.events();
		this.refused = context.metrics().counter("peers.refused");
	}

	/**
	 * Builds the listening server.
	 * @param reactor the reactor of the request thread
	 * @return a server that does not listen yet
	 */
	public SimpleServer listenOn(NioReactor reactor) {
		return SimpleServer.builder(reactor, this::accept).withListenAddress(this.settings.listen().forwards()).build();
	}

	// The time of the last request or order from another daemon, on the steady clock.
	long latestRequestNanos() {
		return this.latestRequestNanos;
	}

	private void accept(ITcpSocket socket) {
		Promises
			.timeout(HANDSHAKE_TIMEOUT,
					PeerConnection.acceptor(socket, ForwardLink.handshake(this.settings, this.secrets),
							ForwardLink.maxFrameBytes(this.settings)))
			.whenResult((opened) -> new Exchanges(opened.connection()).begin())
			.whenException((ex) -> {
				socket.closeEx(ex);
				this.refused.inc();
				this.events.record(EventKind.PEER_REFUSED, "forward port", String.valueOf(ex.getMessage()));
			});
	}

	private Promise<Outcome> execute(ForwardMessage.Execute message, long delayNanos, Cancellation cancellation) {
		CallerRequest request = message.request();
		Fence known = this.ownership.get()
			.routes()
			.find(request.service(), request.keyHash())
			.map((route) -> route.fence())
			.orElse(Fence.NONE);
		if (message.fence().isOlderThan(known)) {
			return Promise.of(Outcome.failed(new Failure(ErrorKind.NO_OWNER,
					"the range of the request id has a newer owner than the sender", RETRY_AFTER)));
		}
		long sent = System.nanoTime() - delayNanos;
		long leaseEnd = sent + message.authorityMillis() * NANOS_PER_MILLI;
		if (leaseEnd - System.nanoTime() <= 0) {
			String detail = "the order was delayed for %d ms between daemons, longer than its owner's lease"
				.formatted(delayNanos / NANOS_PER_MILLI);
			this.events.record(EventKind.REQUEST_REFUSED, request, detail);
			return Promise.of(Outcome.failed(new Failure(ErrorKind.NO_OWNER, detail, RETRY_AFTER)));
		}
		HeldRange held = new HeldRange(request.service(), message.range(), message.fence());
		Order order = new Order(request, held, sent + request.remainingMillis() * NANOS_PER_MILLI, () -> leaseEnd);
		return this.servers.run(order, cancellation).outcome();
	}

	/**
	 * The exchanges of one connection.
	 */
	private final class Exchanges {

		private final PeerConnection connection;

		private final Map<Long, Cancellation> running = new HashMap<>();

		private final long openedNanos = System.nanoTime();

		Exchanges(PeerConnection connection) {
			this.connection = connection;
		}

		void begin() {
			this.connection.onFrame(this::receive);
			this.connection.closed().whenResult((reason) -> {
				if (reason instanceof WireException && !PeerConnection.isClosedByPeer(reason)) {
					ForwardServer.this.refused.inc();
					ForwardServer.this.events.record(EventKind.PEER_REFUSED, "forward port",
							String.valueOf(reason.getMessage()));
				}
			});
		}

		private void receive(FrameReader frame) throws WireException {
			ForwardCodec.Stamped received = ForwardCodec.decode(frame);
			ForwardServer.this.events.receive(received.stamp());
			switch (received.message()) {
				case ForwardMessage.Forward(long exchange, CallerRequest request) ->
					answer(exchange, ForwardServer.this.owner.serve(request, begin(exchange)));
				case ForwardMessage.Execute message ->
					answer(message.exchange(), execute(message, delayNanos(message), begin(message.exchange())));
				case ForwardMessage.Cancel(long exchange) ->
					Optional.ofNullable(this.running.get(exchange)).ifPresent(Cancellation::cancel);
				case ForwardMessage.Ping(long exchange) ->
					send(new ForwardMessage.Pong(exchange, OptionalLong.of(sinceOpenedNanos())));
				case ForwardMessage.Pong message -> throw unexpected(message);
				case ForwardMessage.Answered message -> throw unexpected(message);
				case ForwardMessage.Failed message -> throw unexpected(message);
			}
		}

		private long sinceOpenedNanos() {
			return System.nanoTime() - this.openedNanos;
		}

		// An upper bound: the sender's estimate of this daemon's clock lags by the
		// one-way delay of a message.
		private long delayNanos(ForwardMessage.Execute message) {
			long now = sinceOpenedNanos();
			return Math.max(0, now - message.sentNanos().orElse(now));
		}

		private void send(ForwardMessage message) {
			this.connection.send(ForwardCodec.encode(message, ForwardServer.this.events.stamp()));
		}

		private Cancellation begin(long exchange) throws WireException {
			ForwardServer.this.latestRequestNanos = System.nanoTime();
			Cancellation cancellation = new Cancellation();
			if (this.running.put(exchange, cancellation) != null) {
				throw new WireException("exchange %d was opened twice".formatted(exchange));
			}
			return cancellation;
		}

		private void answer(long exchange, Promise<Outcome> outcome) {
			outcome.whenResult((end) -> {
				this.running.remove(exchange);
				send(message(exchange, end));
			});
		}

		private static WireException unexpected(ForwardMessage message) {
			return new WireException("exchange %d was answered by the wrong side".formatted(message.exchange()));
		}

		private static ForwardMessage message(long exchange, Outcome outcome) {
			return switch (outcome) {
				case Outcome.Answered answered ->
					new ForwardMessage.Answered(exchange, answered.answer(), answered.fence(), answered.ticket());
				case Outcome.Failed failed -> new ForwardMessage.Failed(exchange, failed.failure(), failed.ticket(),
						failed.owner().map(Outcome.Owner::instance),
						failed.owner().map(Outcome.Owner::fence).orElse(Fence.NONE), failed.backendLost());
			};
		}

	}

}
