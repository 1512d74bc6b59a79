package org.brasspier.daemon.internal.request;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.activej.net.socket.tcp.TcpSocket;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import io.activej.promise.SettablePromise;
import io.activej.reactor.schedule.ScheduledRunnable;
import org.brasspier.core.ErrorKind;
import org.brasspier.core.Failure;
import org.brasspier.core.InstanceId;
import org.brasspier.core.event.EventKind;
import org.brasspier.core.retry.LostConnectionRetries;
import org.brasspier.core.routing.PeerAddress;
import org.brasspier.daemon.internal.peer.PeerConnection;
import org.brasspier.daemon.internal.settings.CurrentSecrets;
import org.brasspier.daemon.internal.settings.Settings;
import org.brasspier.wire.ForwardCodec;
import org.brasspier.wire.ForwardMessage;
import org.brasspier.wire.FrameReader;
import org.brasspier.wire.Handshake;
import org.brasspier.wire.WireException;

/**
 * The connection to one daemon, with the exchanges that wait for an answer on it.
 *
 * <p>
 * Detects half-open connections: a device on the path has lost the state of the
 * connection, so no answer ever arrives and neither end sees an error, while new
 * connections work. As long as any exchange is pending, a ping is sent every 100 ms. If
 * no bytes arrive for 300 ms, the connection is closed and the next exchange opens a new
 * one, so that a lookup with one second left is still answered. A running daemon answers
 * pings at once regardless of its backend server, so silence means that the connection or
 * the daemon has failed. Not thread-safe; used in the request thread only.
 */
final class ForwardLink {

	/** Allowance for the header fields that are sent with a body of maximum size. */
	private static final int HEADER_ALLOWANCE_BYTES = 1 << 18;

	private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(250);

	private static final Duration HANDSHAKE_TIMEOUT = Duration.ofMillis(500);

	private static final Duration PING_INTERVAL = Duration.ofMillis(100);

	private static final long SILENCE_TIMEOUT_NANOS = 300_000_000;

	/** Limit of unsent data; beyond it new requests are refused. */
	private static final int MAX_UNSENT_BYTES = 4 << 20;

	private static final Duration RETRY_AFTER = Duration.ofMillis(100);

	private final ForwardClient client;

	private final InstanceId peer;

	private final PeerAddress address;

	private final Map<Long, SettablePromise<Outcome>> waiting = new HashMap<>();

	private final Promise<PeerConnection> connection;

	private Optional<PeerConnection> open = Optional.empty();

	private long nextExchange = 1;

	private long openedNanos;

	private long lastFrameNanos;

	private PeerClock peerClock = PeerClock.openedAt(0);

	private long pingSentNanos;

	private boolean pinging;

	private boolean closed;

	ForwardLink(ForwardClient client, InstanceId peer, PeerAddress address) {
		this.client = client;
		this.peer = peer;
		this.address = address;
		Promise<PeerConnection.Opened> opening = TcpSocket
			.connect(client.reactor(), new InetSocketAddress(address.host(), address.forwardPort()), CONNECT_TIMEOUT,
					null)
			.then((socket) -> Promises
				.timeout(HANDSHAKE_TIMEOUT, PeerConnection.connector(socket,
						handshake(client.settings(), client.secrets()), maxFrameBytes(client.settings())))
				.whenException(socket::closeEx));
		this.connection = opening.map(this::onConnected).whenException((ex) -> markClosed());
	}

	static Handshake handshake(Settings settings, CurrentSecrets secrets) {
		return new Handshake(settings.instance(), secrets.sharedKeys(), settings.limits().maxPeerVersion());
	}

	// The largest frame between daemons.
	static int maxFrameBytes(Settings settings) {
		return settings.limits().maxBodyBytes() + HEADER_ALLOWANCE_BYTES;
	}

	PeerAddress address() {
		return this.address;
	}

	boolean isClosed() {
		return this.closed;
	}

	private PeerConnection onConnected(PeerConnection.Opened opened) {
		this.client.events().record(EventKind.PEER_CONNECTED, this.peer, "forwarding to it");
		this.open = Optional.of(opened.connection());
		this.openedNanos = System.nanoTime();
		this.lastFrameNanos = this.openedNanos;
		this.peerClock = PeerClock.openedAt(this.openedNanos);
		opened.connection().onFrame(this::receive);
		opened.connection().closed().whenResult(this::onConnectionLost);
		return opened.connection();
	}

	Promise<Outcome> exchange(MessageFactory message, int waitMillis, Cancellation cancellation) {
		SettablePromise<Outcome> outcome = new SettablePromise<>();
		long deadlineNanos = System.nanoTime() + Duration.ofMillis(waitMillis).toNanos();
		ScheduledRunnable connectTimeout = scheduleAtDeadline(deadlineNanos, () -> outcome
			.trySet(Outcome.failed(ErrorKind.DEADLINE_PASSED, "the deadline passed before the request was sent")));
		this.connection.whenComplete((ready, ex) -> {
			connectTimeout.cancel();
			if (outcome.isComplete()) {
				return;
			}
			if (ex != null || this.closed) {
				outcome.trySet(ForwardClient.unreachable("the daemon of %s can't be reached".formatted(this.peer)));
			}
			else if (ready.unsentBytes() > MAX_UNSENT_BYTES) {
				outcome.trySet(Outcome.failed(new Failure(ErrorKind.OVERLOADED,
						"the connection to %s is full".formatted(this.peer), RETRY_AFTER)));
			}
			else {
				send(ready, message, deadlineNanos, cancellation, outcome);
			}
		});
		return outcome;
	}

	private ScheduledRunnable scheduleAtDeadline(long deadlineNanos, Runnable action) {
		Duration rest = Duration.ofNanos(Math.max(0, deadlineNanos - System.nanoTime()));
		return this.client.reactor().delay(rest.plusMillis(1), action);
	}

	private void send(PeerConnection ready, MessageFactory message, long deadlineNanos, Cancellation cancellation,
			SettablePromise<Outcome> outcome) {
		long exchange = this.nextExchange++;
		if (this.waiting.isEmpty()) {
			this.lastFrameNanos = System.nanoTime();
		}
		this.waiting.put(exchange, outcome);
		long now = System.nanoTime();
		send(ready, message.create(exchange, this.peerClock.peerNanosAt(now)));
		if (this.peerClock.isStale(now)) {
			sendPing(ready, now);
		}
		ScheduledRunnable timeout = scheduleAtDeadline(deadlineNanos, () -> settle(exchange,
				Outcome.failed(ErrorKind.TIMED_OUT, "the deadline passed while the owner had the request")));
		outcome.whenResult(timeout::cancel);
		cancellation.addCancelListener(() -> {
			if (this.waiting.containsKey(exchange)) {
				send(ready, new ForwardMessage.Cancel(exchange));
			}
		});
		schedulePing();
	}

	private void send(PeerConnection ready, ForwardMessage message) {
		ready.send(ForwardCodec.encode(message, this.client.events().stamp()));
	}

	private void schedulePing() {
		if (this.pinging) {
			return;
		}
		this.pinging = true;
		this.client.reactor().delay(PING_INTERVAL, () -> {
			this.pinging = false;
			if (!this.closed && !this.waiting.isEmpty()) {
				ping();
			}
		});
	}

	private void ping() {
		long now = System.nanoTime();
		if (silentNanos(now) >= SILENCE_TIMEOUT_NANOS) {
			this.open.ifPresent((ready) -> ready
				.close(new WireException("nothing came for %d ms".formatted(SILENCE_TIMEOUT_NANOS / 1_000_000))));
			return;
		}
		this.open.ifPresent((ready) -> sendPing(ready, now));
		schedulePing();
	}

	// Any received bytes count: on a low-bandwidth network a large answer takes longer
	// to arrive than the silence timeout.
	private long silentNanos(long now) {
		long received = this.open.map(PeerConnection::receivedNanos).orElse(this.lastFrameNanos);
		return Math.min(now - received, now - this.lastFrameNanos);
	}

	private void sendPing(PeerConnection ready, long nowNanos) {
		this.pingSentNanos = nowNanos;
		send(ready, new ForwardMessage.Ping(this.nextExchange++));
	}

	private void receive(FrameReader frame) throws WireException {
		this.lastFrameNanos = System.nanoTime();
		ForwardCodec.Stamped received = ForwardCodec.decode(frame);
		this.client.events().receive(received.stamp());
		switch (received.message()) {
			case ForwardMessage.Answered message ->
				settle(message.exchange(), new Outcome.Answered(message.answer(), message.fence(), message.ticket()));
			case ForwardMessage.Failed message -> settle(message.exchange(), failed(message));
			case ForwardMessage.Pong pong -> {
				this.client.onRoundTripMeasured(this.peer, Duration.ofNanos(this.lastFrameNanos - this.pingSentNanos));
				pong.sentNanos().ifPresent((sent) -> this.peerClock = PeerClock.measured(sent, this.lastFrameNanos));
			}
			case ForwardMessage.Forward message -> throw unexpected(message);
			case ForwardMessage.Execute message -> throw unexpected(message);
			case ForwardMessage.Cancel message -> throw unexpected(message);
			case ForwardMessage.Ping message -> throw unexpected(message);
		}
	}

	private static Outcome failed(ForwardMessage.Failed message) {
		Optional<Outcome.Owner> owner = message.owner()
			.map((instance) -> new Outcome.Owner(instance, message.ownerFence()));
		return new Outcome.Failed(message.failure(), message.ticket(), owner, message.backendLost());
	}

	private static WireException unexpected(ForwardMessage message) {
		return new WireException("exchange %d was opened by the wrong side".formatted(message.exchange()));
	}

	// Drops late answers: their exchange is no longer pending.
	private void settle(long exchange, Outcome outcome) {
		SettablePromise<Outcome> promise = this.waiting.remove(exchange);
		if (promise != null) {
			promise.trySet(outcome);
		}
	}

	private void onConnectionLost(Exception reason) {
		markClosed();
		this.client.events().record(EventKind.PEER_LOST, this.peer, String.valueOf(reason.getMessage()));
		Duration used = Duration.ofNanos(this.lastFrameNanos - this.openedNanos);
		Duration silent = Duration.ofNanos(System.nanoTime() - this.lastFrameNanos);
		Failure failure = Failure.of(ErrorKind.OUTCOME_UNKNOWN,
				"the connection to %s broke: %s".formatted(this.peer, reason.getMessage()));
		Outcome outcome = new Outcome.Failed(failure, "", Optional.empty(), false,
				LostConnectionRetries.exemptFromBudget(used, silent));
		List<SettablePromise<Outcome>> all = List.copyOf(this.waiting.values());
		this.waiting.clear();
		all.forEach((promise) -> promise.trySet(outcome));
	}

	private void markClosed() {
		this.closed = true;
		this.client.onLinkClosed(this.peer, this);
	}

	/**
	 * Creates a message once the number of its exchange is known.
	 */
	interface MessageFactory {

		/**
		 * Creates the message.
		 * @param exchange the number of its exchange
		 * @param sentNanos the send time on the clock of the peer, see {@link PeerClock}
		 * @return the message to encode
		 */
		ForwardMessage create(long exchange, long sentNanos);

	}

}
