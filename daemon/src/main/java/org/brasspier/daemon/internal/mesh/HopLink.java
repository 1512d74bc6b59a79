package org.brasspier.daemon.internal.mesh;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
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
import org.brasspier.core.keys.PromiseMark;
import org.brasspier.core.link.SilenceAllowance;
import org.brasspier.core.load.GateReport;
import org.brasspier.core.mesh.KnownRows;
import org.brasspier.core.mesh.LinkDelay;
import org.brasspier.core.mesh.RowExchange;
import org.brasspier.core.mesh.SendOutcome;
import org.brasspier.daemon.internal.gate.ReplyOutcomes;
import org.brasspier.daemon.internal.link.LinkFlow;
import org.brasspier.daemon.internal.peer.PeerConnection;
import org.brasspier.daemon.internal.request.Cancellation;
import org.brasspier.wire.FrameReader;
import org.brasspier.wire.WireException;

/**
 * Connection to one other daemon. A connection can go silent for good while new ones
 * work, for example when a device between the two ends has lost its state. Therefore
 * pings are sent while anything awaits an answer, and a connection that stays silent is
 * closed. Not thread-safe: confined to the request thread.
 */
final class HopLink {

	private static final long NANOS_PER_MILLI = 1_000_000;

	/** Maximum size of a request's body, plus its headers. */
	static final int MAX_FRAME_BYTES = 72 << 20;

	/**
	 * Bytes in the system's send buffer delay whatever is sent next, up to 0.1 s on a
	 * network of 10 Mbit/s. So the buffer is small.
	 */
	private static final MemSize SEND_BUFFER = MemSize.kilobytes(64);

	/** Settings of connections between daemons, used by both ends. */
	static final SocketSettings SOCKET_SETTINGS = SocketSettings.builder()
		.withTcpNoDelay(true)
		.withSendBufferSize(SEND_BUFFER)
		.build();

	/**
	 * Many round trips between failure domains, but only a tenth of the time for which a
	 * caller waits.
	 */
	private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(150);

	/**
	 * Longer than most runs take: with many daemons, most connections have one request in
	 * flight at a time, so each ping would cost as much as the request itself.
	 */
	private static final Duration PING_INTERVAL = Duration.ofMillis(200);

	/**
	 * Time for a ping and its answer, plus the pause of a process that has used up its
	 * processor quota for a period of 0.1 s.
	 */
	private static final long SILENCE_TIMEOUT_NANOS = LinkDelay.SILENCE_TIMEOUT.toNanos();

	/**
	 * No new requests are sent on a connection that has been silent for this long: a ping
	 * has been unanswered for 100 ms. Requests for a lost instance then wait half as long
	 * until they are rejected or sent elsewhere, and a daemon that is this far behind
	 * rejects requests anyway.
	 */
	private static final long SUSPECT_AFTER_NANOS = Duration.ofMillis(300).toNanos();

	/**
	 * Bounds the memory that a receiver which does not read can take up in this process.
	 */
	private static final long MAX_UNSENT_BYTES = 4 << 20;

	private final NioReactor reactor;

	private final SharedRows rows;

	private final LinkFlow flow;

	private final SilenceAllowance allowance = new SilenceAllowance();

	private final Consumer<GateReport> reportReceiver;

	private final RowExchange rowExchange = new RowExchange();

	private final Promise<HopSender> connection;

	// Completes with whether the other daemon runs this build, once its first answer says
	// so; with false if the connection is closed first.
	private final SettablePromise<Boolean> currentBuild = new SettablePromise<>();

	private final Map<Long, SettablePromise<SendOutcome>> pendingRequests = new HashMap<>();

	private final PendingAnswers<HopMessage.PromiseResponse> pendingPromises = new PendingAnswers<>();

	private final PendingAnswers<HopMessage.LeasesResponse> pendingLeases = new PendingAnswers<>();

	private final List<SettablePromise<Boolean>> pendingProbes = new ArrayList<>();

	private final List<SettablePromise<Optional<HopMessage.RowChanges>>> pendingFollows = new ArrayList<>();

	private Consumer<HopMessage.RowChanges> changesReceiver = (changes) -> {
	};

	// The state of this instance that the other daemon has been sent, or will be once its
	// build is known.
	private Optional<HopMessage> replicated = Optional.empty();

	private Optional<PeerConnection> open = Optional.empty();

	private Optional<HopSender> sender = Optional.empty();

	private long nextExchange = 1;

	private long openedNanos;

	private long waitingSinceNanos;

	private boolean pingScheduled;

	private KnownRows reportedVersions = new KnownRows(0, 0);

	private boolean comparisonScheduled;

	private boolean closed;

	private boolean leaving;

	// Set once the other daemon is about to close the connection. Nothing is sent from
	// then on, because the outcome of such a request would be unknown.
	private boolean stopping;

	HopLink(NioReactor reactor, InetSocketAddress address, SharedRows rows, LinkFlow flow,
			Consumer<GateReport> reportReceiver) {
		this.reactor = reactor;
		this.rows = rows;
		this.flow = flow;
		this.reportReceiver = reportReceiver;
		this.connection = TcpSocket.connect(reactor, address, CONNECT_TIMEOUT, SOCKET_SETTINGS).map((socket) -> {
			this.openedNanos = System.nanoTime();
			PeerConnection opened = PeerConnection.unauthenticated(socket, MAX_FRAME_BYTES, this::receive);
			opened.join(flow);
			opened.closed().whenResult(this::onClosed);
			this.open = Optional.of(opened);
			HopSender opening = new HopSender(opened, HopCodec::encodeCompressed);
			opening.holdLargeMessages();
			opening.send(new HopMessage.Ping());
			this.sender = Optional.of(opening);
			return opening;
		}).whenException((ex) -> {
			this.closed = true;
			this.currentBuild.trySet(false);
		});
	}

	// Any received byte counts, not only a whole message: on a slow network a large
	// message can take longer than the time for which a connection may be silent.
	private long silentNanos(long now) {
		long received = this.open.map(PeerConnection::receivedNanos).orElse(now);
		return Math.min(now - received, now - this.waitingSinceNanos);
	}

	boolean isClosed() {
		return this.closed;
	}

	// Returns whether an answer is awaited and nothing has been received for a while.
	boolean isSuspect(long now) {
		return awaitsAnswer() && silentNanos(now) >= SUSPECT_AFTER_NANOS + allowanceNanos(now);
	}

	// A message, or the answer to a ping, may wait in the link of either side.
	private long allowanceNanos(long now) {
		return this.allowance.nanos(this.flow.delayNanos(), now);
	}

	// Returns whether the other daemon is about to stop. A closed connection says nothing
	// about the daemon that has started since: when it still counted, an instance never
	// got requests from the others again after a planned restart.
	boolean isLeaving() {
		return !this.closed && (this.leaving || this.stopping);
	}

	Promise<SendOutcome> send(HopRequest request, Cancellation cancellation) {
		SettablePromise<SendOutcome> outcome = new SettablePromise<>();
		long requestedNanos = System.nanoTime();
		// Until the request is sent, nothing is awaited from the other daemon.
		cancellation.addCancelListener(() -> {
			if (!this.connection.isComplete()) {
				outcome.trySet(callerLeft());
			}
		});
		this.connection.whenComplete((ready, ex) -> {
			if (outcome.isComplete()) {
				return;
			}
			int left = request.request().remainingMillis()
					- (int) ((System.nanoTime() - requestedNanos) / NANOS_PER_MILLI);
			if (ex != null || this.closed || this.stopping) {
				outcome.set(notSent(ErrorKind.NO_BACKEND, "the backend server's daemon can't be reached"));
			}
			else if (ready.unsentBytes() > MAX_UNSENT_BYTES) {
				outcome.set(notSent(ErrorKind.OVERLOADED, "the connection to the other daemon is full"));
			}
			else if (left <= 0) {
				outcome.set(notSent(ErrorKind.DEADLINE_PASSED, "the deadline passed before the request was sent"));
			}
			else {
				send(ready, request.withRemainingMillis(left), cancellation, outcome);
			}
		});
		return outcome;
	}

	// Sends a message that has no answer. It is lost if the other daemon is unreachable.
	void sendOneWay(HopMessage message) {
		this.connection.whenResult((ready) -> ready.send(message));
	}

	/**
	 * Sends a state of this instance unless it was sent on this connection before.
	 * Daemons of an earlier build can't decode it and are not sent it.
	 * @param state the state
	 * @return completes once the build of the other daemon is known or the connection is
	 * closed
	 */
	Promise<Boolean> replicate(HopMessage state) {
		if (this.replicated.filter(state::equals).isPresent()) {
			return this.currentBuild;
		}
		this.replicated = Optional.of(state);
		return this.currentBuild.whenResult((current) -> {
			if (current && this.replicated.filter(state::equals).isPresent()) {
				sendOneWay(state);
			}
		});
	}

	/**
	 * Asks the other daemon to promise not to take over this instance's keys for a while.
	 * @param holder this instance
	 * @param rowVersion version of this instance's lease row
	 * @param mark identifies the promise
	 * @return its answer; empty if the connection was lost first
	 */
	Promise<Optional<HopMessage.PromiseResponse>> requestPromise(InstanceId holder, long rowVersion, PromiseMark mark) {
		return request(this.pendingPromises,
				(exchange) -> new HopMessage.PromiseRequest(exchange, holder, rowVersion, Optional.of(mark)));
	}

	/**
	 * Asks the other daemon for the lease rows as it reads them from the store.
	 * @param maxAge maximum age of the rows
	 * @return its answer; empty if the connection was lost first
	 */
	Promise<Optional<HopMessage.LeasesResponse>> requestLeases(Duration maxAge) {
		return request(this.pendingLeases,
				(exchange) -> new HopMessage.LeasesRequest(exchange, (int) maxAge.toMillis()));
	}

	private <T> Promise<Optional<T>> request(PendingAnswers<T> answers, LongFunction<HopMessage> message) {
		return this.connection.then((ready, ex) -> {
			if (ex != null || this.closed) {
				return Promise.of(Optional.empty());
			}
			long exchange = beginExchange();
			Promise<Optional<T>> answer = answers.register(exchange);
			ready.send(message.apply(exchange));
			schedulePing();
			return answer;
		});
	}

	/**
	 * Subscribes to the changes of rows that the other daemon reads from the store.
	 * @param request the request, with the row versions that are known here
	 * @param receiver receives the changes
	 * @return its first answer; empty if the connection was lost first
	 */
	Promise<Optional<HopMessage.RowChanges>> follow(HopMessage.FollowRequest request,
			Consumer<HopMessage.RowChanges> receiver) {
		SettablePromise<Optional<HopMessage.RowChanges>> answer = new SettablePromise<>();
		this.connection.whenComplete((ready, ex) -> {
			if (ex != null || this.closed) {
				answer.set(Optional.empty());
				return;
			}
			if (!awaitsAnswer()) {
				this.waitingSinceNanos = System.nanoTime();
			}
			this.changesReceiver = receiver;
			this.pendingFollows.add(answer);
			ready.send(request);
			schedulePing();
		});
		return answer;
	}

	private void onRowChanges(HopMessage.RowChanges changes) {
		this.changesReceiver.accept(changes);
		completeFollows(Optional.of(changes));
	}

	private void completeFollows(Optional<HopMessage.RowChanges> answer) {
		List<SettablePromise<Optional<HopMessage.RowChanges>>> ended = List.copyOf(this.pendingFollows);
		this.pendingFollows.clear();
		ended.forEach((follow) -> follow.set(answer));
	}

	/**
	 * Sends a ping to check whether the other daemon is alive.
	 * @return true once any message has been received from it; false if the connection is
	 * lost first
	 */
	Promise<Boolean> probe() {
		SettablePromise<Boolean> alive = new SettablePromise<>();
		this.connection.whenComplete((ready, ex) -> {
			if (ex != null || this.closed) {
				alive.set(false);
				return;
			}
			if (!awaitsAnswer()) {
				this.waitingSinceNanos = System.nanoTime();
			}
			this.pendingProbes.add(alive);
			ready.send(new HopMessage.Ping());
			schedulePing();
		});
		return alive;
	}

	private void completeProbes(boolean alive) {
		List<SettablePromise<Boolean>> ended = List.copyOf(this.pendingProbes);
		this.pendingProbes.clear();
		ended.forEach((probe) -> probe.set(alive));
	}

	private long beginExchange() {
		if (!awaitsAnswer()) {
			this.waitingSinceNanos = System.nanoTime();
		}
		return this.nextExchange++;
	}

	private boolean awaitsAnswer() {
		return !this.pendingRequests.isEmpty() || !this.pendingPromises.isEmpty() || !this.pendingProbes.isEmpty()
				|| !this.pendingFollows.isEmpty();
	}

	private static SendOutcome notSent(ErrorKind kind, String detail) {
		return new SendOutcome.NotRun(Failure.of(kind, detail), false);
	}

	private static SendOutcome callerLeft() {
		return new SendOutcome.NotRun(ReplyOutcomes.callerLeft(), false);
	}

	private void send(HopSender ready, HopRequest request, Cancellation cancellation,
			SettablePromise<SendOutcome> outcome) {
		long exchange = beginExchange();
		this.pendingRequests.put(exchange, outcome);
		BooleanSupplier cancel = ready
			.sendRequest(new HopMessage.ForwardedRequest(exchange, System.nanoTime() - this.openedNanos, request));
		ScheduledRunnable timeout = this.reactor.delay(request.request().remainingMillis() + 1L,
				() -> complete(exchange, new SendOutcome.Unknown(Failure.of(ErrorKind.TIMED_OUT,
						"the deadline passed while another daemon was handling the request"))));
		outcome.whenResult(timeout::cancel);
		cancellation.addCancelListener(() -> {
			if (this.pendingRequests.containsKey(exchange) && cancel.getAsBoolean()) {
				complete(exchange, callerLeft());
			}
		});
		schedulePing();
	}

	private void schedulePing() {
		if (this.pingScheduled) {
			return;
		}
		this.pingScheduled = true;
		this.reactor.delay(PING_INTERVAL, () -> {
			this.pingScheduled = false;
			if (!this.closed && awaitsAnswer()) {
				ping();
			}
		});
	}

	private void ping() {
		long now = System.nanoTime();
		long silent = silentNanos(now);
		if (silent >= SILENCE_TIMEOUT_NANOS + allowanceNanos(now)) {
			this.open.ifPresent((ready) -> ready.close(silenceTimeout(ready, silent)));
			return;
		}
		if (silent >= PING_INTERVAL.toNanos() / 2) {
			this.sender.ifPresent((ready) -> ready.send(new HopMessage.Ping()));
		}
		schedulePing();
	}

	private static WireException silenceTimeout(PeerConnection ready, long silentNanos) {
		long bytesAgo = System.nanoTime() - ready.receivedNanos();
		return new WireException("nothing came for %d ms, bytes %d ms ago, %d of a message, %d unsent".formatted(
				Duration.ofNanos(silentNanos).toMillis(), Duration.ofNanos(bytesAgo).toMillis(), ready.pendingBytes(),
				ready.unsentBytes()));
	}

	private void receive(FrameReader frame) throws WireException {
		completeProbes(true);
		switch (HopCodec.decode(frame)) {
			case HopMessage.ForwardedResponse(long exchange, SendOutcome outcome, Optional<GateReport> report) -> {
				// Of an exchange that was given up, nobody takes the report with its
				// outcome.
				report.filter((known) -> this.pendingRequests.containsKey(exchange)).ifPresent(this::onReport);
				complete(exchange, outcome);
			}
			case HopMessage.PromiseResponse response -> this.pendingPromises.complete(response.exchange(), response);
			case HopMessage.LeasesResponse response -> this.pendingLeases.complete(response.exchange(), response);
			case HopMessage.VersionsNotice(KnownRows versions) -> onVersionsNotice(versions);
			case HopMessage.RowsResponse response -> this.rows.applyAndLog(response);
			case HopMessage.RowChanges changes -> onRowChanges(changes);
			case HopMessage.Leaving ignored -> this.leaving = true;
			case HopMessage.Stopping ignored -> this.stopping = true;
			case HopMessage.PiecesReceived(long bytes) -> this.sender.ifPresent((ready) -> ready.onAcknowledged(bytes));
			case HopMessage.Pong(boolean acceptsPieces, boolean acknowledges) -> {
				this.sender.ifPresent((ready) -> ready.peerAccepts(acceptsPieces, acknowledges));
				this.currentBuild.trySet(acceptsPieces);
			}
			case HopMessage.ForwardedRequest ignored -> throw wrongDirection();
			case HopMessage.Cancel ignored -> throw wrongDirection();
			case HopMessage.Ping ignored -> throw wrongDirection();
			case HopMessage.CrashUpdate ignored -> throw wrongDirection();
			case HopMessage.LoadReport ignored -> throw wrongDirection();
			case HopMessage.RowsRequest(KnownRows versions) -> sendOneWay(this.rows.missingRows(versions));
			case HopMessage.FollowRequest ignored -> throw wrongDirection();
			case HopMessage.LeasesRequest ignored -> throw wrongDirection();
			case HopMessage.PromiseRequest ignored -> throw wrongDirection();
			case HopMessage.PromiseRelease ignored -> throw wrongDirection();
		}
	}

	private void onReport(GateReport report) {
		this.allowance.onReport(report.load().linkBacklog(), System.nanoTime());
		this.reportReceiver.accept(report);
	}

	private void onVersionsNotice(KnownRows versions) {
		this.reportedVersions = versions;
		if (compareVersions(versions).equals(RowExchange.Action.NOTHING) && !this.comparisonScheduled
				&& !versions.equals(this.rows.knownVersions())) {
			// The next notice comes with an answer, and there may be none for long.
			this.comparisonScheduled = true;
			compareAfter(RowExchange.DIFFERENCE_TOLERANCE);
		}
	}

	// The timer counts from the time at which the loop last looked at its clock, so it
	// may
	// be early by as long as the loop has been busy since.
	private void compareAfter(Duration delay) {
		this.reactor.delayBackground(delay.plusMillis(1), () -> {
			Duration left = this.rowExchange.toleranceLeft(System.nanoTime());
			if (!left.isZero() && !this.closed) {
				compareAfter(left);
				return;
			}
			this.comparisonScheduled = false;
			if (!this.closed) {
				compareVersions(this.reportedVersions);
			}
		});
	}

	private RowExchange.Action compareVersions(KnownRows versions) {
		long now = System.nanoTime();
		RowExchange.Action action = this.rowExchange.compare(this.rows.knownVersions(), versions, now);
		if (action.send()) {
			// The other daemon then requests the rows from one of those that know newer
			// versions. A daemon of an earlier build can't request rows, so it is sent
			// them.
			boolean canRequest = this.sender.filter(HopSender::peerAcceptsPieces).isPresent();
			sendOneWay(canRequest ? new HopMessage.VersionsNotice(this.rows.knownVersions())
					: this.rows.missingRows(versions));
		}
		if (action.request() && this.rows.tryRequestRows(now)) {
			sendOneWay(new HopMessage.RowsRequest(this.rows.knownVersions()));
		}
		return action;
	}

	private static WireException wrongDirection() {
		return new WireException("received a message that only the other side of a connection may send");
	}

	// Exchange numbers are never reused, so a late answer is ignored.
	private void complete(long exchange, SendOutcome outcome) {
		SettablePromise<SendOutcome> promise = this.pendingRequests.remove(exchange);
		if (promise != null) {
			promise.set(outcome);
		}
	}

	private void onClosed(Exception reason) {
		this.closed = true;
		this.currentBuild.trySet(false);
		completeProbes(false);
		completeFollows(Optional.empty());
		this.pendingPromises.onConnectionLost();
		this.pendingLeases.onConnectionLost();
		SendOutcome outcome = new SendOutcome.Unknown(Failure.of(ErrorKind.OUTCOME_UNKNOWN,
				"the connection to the other daemon broke: " + reason.getMessage()));
		List<SettablePromise<SendOutcome>> all = List.copyOf(this.pendingRequests.values());
		this.pendingRequests.clear();
		all.forEach((promise) -> promise.set(outcome));
	}

}
