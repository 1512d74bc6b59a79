package org.brasspier.daemon.internal.mesh;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongFunction;

import io.activej.common.MemSize;
import io.activej.net.socket.tcp.TcpSocket;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import io.activej.reactor.net.SocketSettings;
import io.activej.reactor.nio.NioReactor;
import io.activej.reactor.schedule.ScheduledRunnable;
import org.brasspier.core.ErrorKind;
import org.brasspier.core.Failure;
import org.brasspier.core.InstanceId;
import org.brasspier.core.mesh.KnownRows;
import org.brasspier.core.mesh.LinkDelay;
import org.brasspier.core.mesh.RowExchange;
import org.brasspier.core.mesh.SendOutcome;
import org.brasspier.daemon.internal.peer.PeerConnection;
import org.brasspier.daemon.internal.request.Cancellation;
import org.brasspier.wire.FrameReader;
import org.brasspier.wire.WireException;

/**
 * The connection to one other daemon. It guards against connections that go silent for
 * good while new ones work, as when something between the two ends has lost track of
 * them: anything that waits is pinged for, and silence ends the connection. Belongs to
 * the thread of requests.
 */
final class HopLink {

	private static final long NANOS_PER_MILLI = 1_000_000;

	/** Largest body of a request plus its head. */
	static final int MAX_FRAME_BYTES = 72 << 20;

	/**
	 * What is sent next waits for what the system has taken from this process, 0.1 s on a
	 * network of 10 megabits a second.
	 */
	private static final MemSize SEND_BUFFER = MemSize.kilobytes(64);

	/** Of connections between daemons, at both ends. */
	static final SocketSettings SOCKET_SETTINGS = SocketSettings.builder()
		.withTcpNoDelay(true)
		.withSendBufferSize(SEND_BUFFER)
		.build();

	/**
	 * Many times a round trip between failure domains, a tenth of a caller's patience.
	 */
	private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(150);

	private static final Duration PING_EVERY = Duration.ofMillis(100);

	/**
	 * Three pings and the pause that a processor share of a tenth of a second allows.
	 */
	private static final long SILENCE_NANOS = LinkDelay.SILENCE_TIMEOUT.toNanos();

	/**
	 * Silent for so long, a link gets nothing new: two pings went unanswered. A lost
	 * instance's requests then wait for half as long until they are refused or sent
	 * elsewhere, and a daemon that is this far behind turns requests away anyway.
	 */
	private static final long SUSPECT_NANOS = Duration.ofMillis(200).toNanos();

	/** A receiver that doesn't read must not fill this process's memory. */
	private static final long MAX_UNSENT_BYTES = 4 << 20;

	private final NioReactor reactor;

	private final SharedRows rows;

	private final RowExchange differences = new RowExchange();

	private final Promise<HopSender> connection;

	// Whether the other daemon is of this build, once it has said so.
	private final SettablePromise<Boolean> currentBuild = new SettablePromise<>();

	private final Map<Long, SettablePromise<SendOutcome>> waiting = new HashMap<>();

	private final PendingAnswers<HopMessage.PromiseResponse> promises = new PendingAnswers<>();

	private final PendingAnswers<HopMessage.LeasesResponse> leases = new PendingAnswers<>();

	private final List<SettablePromise<Boolean>> probes = new ArrayList<>();

	private final List<SettablePromise<Optional<HopMessage.RowChanges>>> follows = new ArrayList<>();

	private Consumer<HopMessage.RowChanges> follower = (passed) -> {
	};

	private Optional<PeerConnection> open = Optional.empty();

	private Optional<HopSender> sender = Optional.empty();

	private long nextExchange = 1;

	private long openedNanos;

	private long waitedFromNanos;

	private boolean pinging;

	private boolean closed;

	private boolean leaving;

	// What is sent into a connection that the other side is about to close has an unknown
	// outcome, so nothing is.
	private boolean stopping;

	HopLink(NioReactor reactor, InetSocketAddress address, SharedRows rows) {
		this.reactor = reactor;
		this.rows = rows;
		this.connection = TcpSocket.connect(reactor, address, CONNECT_TIMEOUT, SOCKET_SETTINGS).map((socket) -> {
			this.openedNanos = System.nanoTime();
			PeerConnection opened = PeerConnection.unauthenticated(socket, MAX_FRAME_BYTES, this::receive);
			opened.closed().whenResult(this::lost);
			this.open = Optional.of(opened);
			HopSender opening = new HopSender(opened, HopCodec::encodeCompressed);
			opening.holdLargeMessages();
			opening.send(new HopMessage.Ping());
			this.sender = Optional.of(opening);
			return opening;
		}).whenException((ex) -> this.closed = true);
	}

	// Any bytes count: a large message takes longer to come on a narrow network than a
	// connection may be silent.
	private long silentNanos(long now) {
		long received = this.open.map(PeerConnection::receivedNanos).orElse(now);
		return Math.min(now - received, now - this.waitedFromNanos);
	}

	boolean closed() {
		return this.closed;
	}

	// Whether something waits and nothing has come for a while.
	boolean suspected(long now) {
		return anybodyWaits() && silentNanos(now) >= SUSPECT_NANOS;
	}

	// Whether the other daemon is about to stop. What a daemon said on a connection that
	// is gone says nothing of the one that has started in its place: taken for leaving
	// still, an instance got nothing from the others for good after a planned restart.
	boolean leaving() {
		return !this.closed && (this.leaving || this.stopping);
	}

	Promise<SendOutcome> send(HopRequest ask, Cancellation cancellation) {
		SettablePromise<SendOutcome> outcome = new SettablePromise<>();
		long askedNanos = System.nanoTime();
		this.connection.whenComplete((ready, ex) -> {
			int left = ask.request().remainingMillis() - (int) ((System.nanoTime() - askedNanos) / NANOS_PER_MILLI);
			if (ex != null || this.closed || this.stopping) {
				outcome.set(notSent(ErrorKind.NO_BACKEND, "the daemon beside the backend server can't be reached"));
			}
			else if (ready.unsentBytes() > MAX_UNSENT_BYTES) {
				outcome.set(notSent(ErrorKind.OVERLOADED, "the connection to the other daemon is full"));
			}
			else if (left <= 0) {
				outcome.set(notSent(ErrorKind.DEADLINE_PASSED, "the deadline passed before it was sent"));
			}
			else {
				send(ready, ask.withRemainingMillis(left), cancellation, outcome);
			}
		});
		return outcome;
	}

	// Sends what needs no answer; lost if the other daemon can't be reached.
	void sendOneWay(HopMessage message) {
		this.connection.whenResult((ready) -> ready.send(message));
	}

	// Sends what daemons of an earlier build can't read, to others only.
	void sendToCurrentBuild(HopMessage message) {
		this.currentBuild.whenResult((current) -> {
			if (current) {
				sendOneWay(message);
			}
		});
	}

	/**
	 * Asks the other daemon to leave this instance's keys alone for a while.
	 * @param holder this instance
	 * @param rowVersion the version of its lease's row
	 * @return its answer; empty if none came
	 */
	Promise<Optional<HopMessage.PromiseResponse>> requestPromise(InstanceId holder, long rowVersion) {
		return ask(this.promises, (exchange) -> new HopMessage.PromiseRequest(exchange, holder, rowVersion));
	}

	/**
	 * Asks the other daemon what the store shows of the leases.
	 * @param oldest how old the answer may be
	 * @return its answer; empty if none came
	 */
	Promise<Optional<HopMessage.LeasesResponse>> requestLeases(Duration oldest) {
		return ask(this.leases, (exchange) -> new HopMessage.LeasesRequest(exchange, (int) oldest.toMillis()));
	}

	private <T> Promise<Optional<T>> ask(PendingAnswers<T> answers, LongFunction<HopMessage> question) {
		return this.connection.then((ready, ex) -> {
			if (ex != null || this.closed) {
				return Promise.of(Optional.empty());
			}
			long exchange = begin();
			Promise<Optional<T>> answer = answers.register(exchange);
			ready.send(question.apply(exchange));
			keepPinging();
			return answer;
		});
	}

	/**
	 * Asks the other daemon for what the store tells it, now and for a while.
	 * @param ask what is known here
	 * @param receiver takes what it passes on
	 * @return its first answer; empty if none came
	 */
	Promise<Optional<HopMessage.RowChanges>> follow(HopMessage.FollowRequest ask,
			Consumer<HopMessage.RowChanges> receiver) {
		SettablePromise<Optional<HopMessage.RowChanges>> answer = new SettablePromise<>();
		this.connection.whenComplete((ready, ex) -> {
			if (ex != null || this.closed) {
				answer.set(Optional.empty());
				return;
			}
			if (!anybodyWaits()) {
				this.waitedFromNanos = System.nanoTime();
			}
			this.follower = receiver;
			this.follows.add(answer);
			ready.send(ask);
			keepPinging();
		});
		return answer;
	}

	private void passed(HopMessage.RowChanges passed) {
		this.follower.accept(passed);
		endFollows(Optional.of(passed));
	}

	private void endFollows(Optional<HopMessage.RowChanges> answer) {
		List<SettablePromise<Optional<HopMessage.RowChanges>>> ended = List.copyOf(this.follows);
		this.follows.clear();
		ended.forEach((follow) -> follow.set(answer));
	}

	/**
	 * Asks whether the other daemon hears.
	 * @return true once anything has come from it; false if the connection is lost first
	 */
	Promise<Boolean> probe() {
		SettablePromise<Boolean> heard = new SettablePromise<>();
		this.connection.whenComplete((ready, ex) -> {
			if (ex != null || this.closed) {
				heard.set(false);
				return;
			}
			if (!anybodyWaits()) {
				this.waitedFromNanos = System.nanoTime();
			}
			this.probes.add(heard);
			ready.send(new HopMessage.Ping());
			keepPinging();
		});
		return heard;
	}

	private void endProbes(boolean heard) {
		List<SettablePromise<Boolean>> ended = List.copyOf(this.probes);
		this.probes.clear();
		ended.forEach((probe) -> probe.set(heard));
	}

	private long begin() {
		if (!anybodyWaits()) {
			this.waitedFromNanos = System.nanoTime();
		}
		return this.nextExchange++;
	}

	private boolean anybodyWaits() {
		return !this.waiting.isEmpty() || !this.promises.isEmpty() || !this.probes.isEmpty() || !this.follows.isEmpty();
	}

	private static SendOutcome notSent(ErrorKind kind, String detail) {
		return new SendOutcome.NotRun(Failure.of(kind, detail), false);
	}

	private void send(HopSender ready, HopRequest ask, Cancellation cancellation,
			SettablePromise<SendOutcome> outcome) {
		long exchange = begin();
		this.waiting.put(exchange, outcome);
		ready.send(new HopMessage.ForwardedRequest(exchange, System.nanoTime() - this.openedNanos, ask));
		ScheduledRunnable timeout = this.reactor.delay(ask.request().remainingMillis() + 1L,
				() -> settle(exchange, new SendOutcome.Unknown(
						Failure.of(ErrorKind.TIMED_OUT, "the deadline passed while another daemon had the request"))));
		outcome.whenResult(timeout::cancel);
		cancellation.addCancelListener(() -> {
			if (this.waiting.containsKey(exchange)) {
				ready.send(new HopMessage.Cancel(exchange));
			}
		});
		keepPinging();
	}

	private void keepPinging() {
		if (this.pinging) {
			return;
		}
		this.pinging = true;
		this.reactor.delay(PING_EVERY, () -> {
			this.pinging = false;
			if (!this.closed && anybodyWaits()) {
				ping();
			}
		});
	}

	private void ping() {
		long silent = silentNanos(System.nanoTime());
		if (silent >= SILENCE_NANOS) {
			this.open.ifPresent((ready) -> ready.close(silent(ready, silent)));
			return;
		}
		if (silent >= PING_EVERY.toNanos() / 2) {
			this.sender.ifPresent((ready) -> ready.send(new HopMessage.Ping()));
		}
		keepPinging();
	}

	private static WireException silent(PeerConnection ready, long silentNanos) {
		long bytesAgo = System.nanoTime() - ready.receivedNanos();
		return new WireException("nothing came for %d ms, bytes %d ms ago, %d of a message, %d unsent".formatted(
				Duration.ofNanos(silentNanos).toMillis(), Duration.ofNanos(bytesAgo).toMillis(), ready.pendingBytes(),
				ready.unsentBytes()));
	}

	private void receive(FrameReader frame) throws WireException {
		endProbes(true);
		switch (HopCodec.decode(frame)) {
			case HopMessage.ForwardedResponse(long exchange, SendOutcome outcome) -> settle(exchange, outcome);
			case HopMessage.PromiseResponse promised -> this.promises.complete(promised.exchange(), promised);
			case HopMessage.LeasesResponse told -> this.leases.complete(told.exchange(), told);
			case HopMessage.VersionsNotice(KnownRows known) -> compare(known);
			case HopMessage.RowsResponse told -> this.rows.applyAndLog(told);
			case HopMessage.RowChanges passed -> passed(passed);
			case HopMessage.Leaving ignored -> this.leaving = true;
			case HopMessage.Stopping ignored -> this.stopping = true;
			case HopMessage.Pong(boolean takes) -> {
				this.sender.ifPresent((ready) -> ready.peerAcceptsPieces(takes));
				this.currentBuild.trySet(takes);
			}
			case HopMessage.ForwardedRequest ignored -> throw wrongSide();
			case HopMessage.Cancel ignored -> throw wrongSide();
			case HopMessage.Ping ignored -> throw wrongSide();
			case HopMessage.CrashUpdate ignored -> throw wrongSide();
			case HopMessage.LoadReport ignored -> throw wrongSide();
			case HopMessage.RowsRequest(KnownRows known) -> sendOneWay(this.rows.missingRows(known));
			case HopMessage.FollowRequest ignored -> throw wrongSide();
			case HopMessage.LeasesRequest ignored -> throw wrongSide();
			case HopMessage.PromiseRequest ignored -> throw wrongSide();
			case HopMessage.PromiseRelease ignored -> throw wrongSide();
		}
	}

	private void compare(KnownRows known) {
		long now = System.nanoTime();
		RowExchange.Action step = this.differences.compare(this.rows.knownVersions(), known, now);
		if (step.send()) {
			// It asks one of those who know more; a daemon of an earlier build can't ask.
			boolean asks = this.sender.filter(HopSender::peerAcceptsPieces).isPresent();
			sendOneWay(asks ? new HopMessage.VersionsNotice(this.rows.knownVersions()) : this.rows.missingRows(known));
		}
		if (step.request() && this.rows.tryRequestRows(now)) {
			sendOneWay(new HopMessage.RowsRequest(this.rows.knownVersions()));
		}
	}

	private static WireException wrongSide() {
		return new WireException("a message came from the wrong side of the connection");
	}

	// Numbers are never used twice, so a late answer finds nobody.
	private void settle(long exchange, SendOutcome outcome) {
		SettablePromise<SendOutcome> promise = this.waiting.remove(exchange);
		if (promise != null) {
			promise.set(outcome);
		}
	}

	private void lost(Exception reason) {
		this.closed = true;
		endProbes(false);
		endFollows(Optional.empty());
		this.promises.onConnectionLost();
		this.leases.onConnectionLost();
		SendOutcome outcome = new SendOutcome.Unknown(Failure.of(ErrorKind.OUTCOME_UNKNOWN,
				"the connection to the other daemon broke: " + reason.getMessage()));
		List<SettablePromise<SendOutcome>> all = List.copyOf(this.waiting.values());
		this.waiting.clear();
		all.forEach((promise) -> promise.set(outcome));
	}

}
