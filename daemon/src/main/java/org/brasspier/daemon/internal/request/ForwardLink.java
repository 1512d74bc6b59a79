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
 * The connection to one daemon, with what waits for an answer on it.
 *
 * <p>
 * It guards against a connection that goes silent for good while new ones work, because
 * something between the ends has lost track of it. It shows as an answer that never comes
 * with no error at either end. While anything waits, a ping goes out every 100 ms; if
 * nothing at all has come for 300 ms the connection is given up, and the next exchange
 * opens a new one, so that a lookup with a second to go is still answered. A daemon that
 * is alive answers pings at once whatever its backend server does, so silence is the
 * connection's or the daemon's. Belongs to the thread of requests.
 */
final class ForwardLink {

	/** Room for the header fields that travel with the largest body. */
	private static final int ROOM_FOR_HEADERS = 1 << 18;

	private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(250);

	private static final Duration HANDSHAKE_TIMEOUT = Duration.ofMillis(500);

	private static final Duration PING_EVERY = Duration.ofMillis(100);

	private static final long SILENCE_NANOS = 300_000_000;

	/** What may wait to be sent before new requests are refused. */
	private static final int MAX_UNSENT_BYTES = 4 << 20;

	private static final Duration RETRY_SOON = Duration.ofMillis(100);

	private final ForwardClient client;

	private final InstanceId peer;

	private final PeerAddress address;

	private final Map<Long, SettablePromise<Outcome>> waiting = new HashMap<>();

	private final Promise<PeerConnection> connection;

	private Optional<PeerConnection> open = Optional.empty();

	private long nextExchange = 1;

	private long openedNanos;

	private long heardNanos;

	private PeerClock peerClock = PeerClock.openedAt(0);

	private long pingedNanos;

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
		this.connection = opening.map(this::ready).whenException((ex) -> gone());
	}

	static Handshake handshake(Settings settings, CurrentSecrets secrets) {
		return new Handshake(settings.instance(), secrets.sharedKeys(), settings.limits().maxPeerVersion());
	}

	// The largest frame between daemons.
	static int maxFrameBytes(Settings settings) {
		return settings.limits().maxBodyBytes() + ROOM_FOR_HEADERS;
	}

	PeerAddress address() {
		return this.address;
	}

	boolean isClosed() {
		return this.closed;
	}

	private PeerConnection ready(PeerConnection.Opened opened) {
		this.client.events().record(EventKind.PEER_CONNECTED, this.peer, "forwarding to it");
		this.open = Optional.of(opened.connection());
		this.openedNanos = System.nanoTime();
		this.heardNanos = this.openedNanos;
		this.peerClock = PeerClock.openedAt(this.openedNanos);
		opened.connection().onFrame(this::receive);
		opened.connection().closed().whenResult(this::lost);
		return opened.connection();
	}

	Promise<Outcome> exchange(MessageFactory message, int waitMillis, Cancellation cancellation) {
		SettablePromise<Outcome> outcome = new SettablePromise<>();
		long deadlineNanos = System.nanoTime() + Duration.ofMillis(waitMillis).toNanos();
		ScheduledRunnable unsent = whenOver(deadlineNanos, () -> outcome
			.trySet(Outcome.failed(ErrorKind.DEADLINE_PASSED, "the deadline passed before it was sent")));
		this.connection.whenComplete((ready, ex) -> {
			unsent.cancel();
			if (outcome.isComplete()) {
				return;
			}
			if (ex != null || this.closed) {
				outcome.trySet(ForwardClient.unreachable("the daemon of %s can't be reached".formatted(this.peer)));
			}
			else if (ready.unsentBytes() > MAX_UNSENT_BYTES) {
				outcome.trySet(Outcome.failed(new Failure(ErrorKind.OVERLOADED,
						"the connection to %s is full".formatted(this.peer), RETRY_SOON)));
			}
			else {
				send(ready, message, deadlineNanos, cancellation, outcome);
			}
		});
		return outcome;
	}

	private ScheduledRunnable whenOver(long deadlineNanos, Runnable action) {
		Duration rest = Duration.ofNanos(Math.max(0, deadlineNanos - System.nanoTime()));
		return this.client.reactor().delay(rest.plusMillis(1), action);
	}

	private void send(PeerConnection ready, MessageFactory message, long deadlineNanos, Cancellation cancellation,
			SettablePromise<Outcome> outcome) {
		long exchange = this.nextExchange++;
		if (this.waiting.isEmpty()) {
			this.heardNanos = System.nanoTime();
		}
		this.waiting.put(exchange, outcome);
		long now = System.nanoTime();
		send(ready, message.create(exchange, this.peerClock.peerNanosAt(now)));
		if (this.peerClock.isStale(now)) {
			sendPing(ready, now);
		}
		ScheduledRunnable timeout = whenOver(deadlineNanos, () -> settle(exchange,
				Outcome.failed(ErrorKind.TIMED_OUT, "the deadline passed while the owner had the request")));
		outcome.whenResult(timeout::cancel);
		cancellation.addCancelListener(() -> {
			if (this.waiting.containsKey(exchange)) {
				send(ready, new ForwardMessage.Cancel(exchange));
			}
		});
		keepPinging();
	}

	private void send(PeerConnection ready, ForwardMessage message) {
		ready.send(ForwardCodec.encode(message, this.client.events().stamp()));
	}

	private void keepPinging() {
		if (this.pinging) {
			return;
		}
		this.pinging = true;
		this.client.reactor().delay(PING_EVERY, () -> {
			this.pinging = false;
			if (!this.closed && !this.waiting.isEmpty()) {
				ping();
			}
		});
	}

	private void ping() {
		long now = System.nanoTime();
		if (silentNanos(now) >= SILENCE_NANOS) {
			this.open.ifPresent((ready) -> ready
				.close(new WireException("nothing came for %d ms".formatted(SILENCE_NANOS / 1_000_000))));
			return;
		}
		this.open.ifPresent((ready) -> sendPing(ready, now));
		keepPinging();
	}

	// Any bytes count: a large answer takes longer to come on a narrow network than a
	// link
	// may be silent.
	private long silentNanos(long now) {
		long received = this.open.map(PeerConnection::receivedNanos).orElse(this.heardNanos);
		return Math.min(now - received, now - this.heardNanos);
	}

	private void sendPing(PeerConnection ready, long nowNanos) {
		this.pingedNanos = nowNanos;
		send(ready, new ForwardMessage.Ping(this.nextExchange++));
	}

	private void receive(FrameReader frame) throws WireException {
		this.heardNanos = System.nanoTime();
		ForwardCodec.Stamped received = ForwardCodec.decode(frame);
		this.client.events().receive(received.stamp());
		switch (received.message()) {
			case ForwardMessage.Answered message ->
				settle(message.exchange(), new Outcome.Answered(message.answer(), message.fence(), message.ticket()));
			case ForwardMessage.Failed message -> settle(message.exchange(), failed(message));
			case ForwardMessage.Pong pong -> {
				this.client.onRoundTripMeasured(this.peer, Duration.ofNanos(this.heardNanos - this.pingedNanos));
				pong.sentNanos().ifPresent((sent) -> this.peerClock = PeerClock.measured(sent, this.heardNanos));
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

	// Late answers find nobody waiting under their number and are dropped.
	private void settle(long exchange, Outcome outcome) {
		SettablePromise<Outcome> promise = this.waiting.remove(exchange);
		if (promise != null) {
			promise.trySet(outcome);
		}
	}

	private void lost(Exception reason) {
		gone();
		this.client.events().record(EventKind.PEER_LOST, this.peer, String.valueOf(reason.getMessage()));
		Duration used = Duration.ofNanos(this.heardNanos - this.openedNanos);
		Duration silent = Duration.ofNanos(System.nanoTime() - this.heardNanos);
		Failure failure = Failure.of(ErrorKind.OUTCOME_UNKNOWN,
				"the connection to %s broke: %s".formatted(this.peer, reason.getMessage()));
		Outcome outcome = new Outcome.Failed(failure, "", Optional.empty(), false,
				LostConnectionRetries.exemptFromBudget(used, silent));
		List<SettablePromise<Outcome>> all = List.copyOf(this.waiting.values());
		this.waiting.clear();
		all.forEach((promise) -> promise.trySet(outcome));
	}

	private void gone() {
		this.closed = true;
		this.client.onLinkClosed(this.peer, this);
	}

	/**
	 * A message that gets the number of its exchange when it is sent.
	 */
	interface MessageFactory {

		/**
		 * The message.
		 * @param exchange the number of its exchange
		 * @param sentNanos when it is sent, see {@link PeerClock}
		 * @return the message to encode
		 */
		ForwardMessage create(long exchange, long sentNanos);

	}

}
