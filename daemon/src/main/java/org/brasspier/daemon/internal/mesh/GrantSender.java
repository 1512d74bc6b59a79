package org.brasspier.daemon.internal.mesh;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.function.LongSupplier;

import io.activej.reactor.nio.NioReactor;
import io.activej.reactor.schedule.ScheduledRunnable;
import org.brasspier.core.InstanceId;
import org.brasspier.core.keys.BackendIncarnation;
import org.brasspier.core.keys.GrantCall;
import org.brasspier.core.keys.GrantCallScheduler;
import org.brasspier.core.keys.GrantTracker;
import org.brasspier.core.keys.KeyHolding;
import org.brasspier.core.keys.KeyMap;
import org.brasspier.core.keys.KeySpan;
import org.brasspier.core.keys.ServerSession;
import org.brasspier.daemon.internal.http.BackendPool;
import org.brasspier.daemon.internal.http.BackendReply;
import org.brasspier.daemon.internal.http.BodyBudget;
import org.brasspier.daemon.internal.http.ServerConnections;
import org.brasspier.daemon.mesh.GrantProtocol;
import org.brasspier.daemon.mesh.GrantProtocol.GrantReply;
import org.brasspier.daemon.mesh.RawRequest;

/**
 * Sends grants and releases to the backend server on this instance. They use separate
 * connections: on a shared connection, a late answer to a request could be mistaken for
 * the answer to a call. Grants name no process, so each is sent in the session of
 * connections for which it was made. Not thread-safe; confined to the request thread.
 */
final class GrantSender {

	/** Short, since a backend server answers a grant without waiting for a slot. */
	private static final Duration GRANT_TIMEOUT = Duration.ofMillis(400);

	/**
	 * A release is answered once the work on its keys has ended, and no work lasts longer
	 * than the hold.
	 */
	private static final Duration RELEASE_TIMEOUT = Duration.ofSeconds(5);

	private static final int MAX_ANSWER_BYTES = 64 << 10;

	private final BodyBudget answers;

	/** Shorter than the delay after which a call that failed is sent again. */
	private static final Duration CONNECT_INTERVAL = Duration.ofMillis(100);

	private final NioReactor reactor;

	private final InstanceId self;

	private final InetSocketAddress server;

	private final GrantProtocol protocol;

	private final BackendRegistration registration;

	private final GrantCallScheduler scheduler;

	private final ServerConnections connections;

	private final BackendPool grantConnections;

	private final LongSupplier clock;

	private final MeshLog log;

	private final Runnable onEnded;

	private boolean connecting;

	private long lastConnectNanos = System.nanoTime() - CONNECT_INTERVAL.toNanos();

	GrantSender(NioReactor reactor, InstanceId self, InetSocketAddress server, GrantProtocol protocol,
			BackendRegistration registration, ServerConnections connections, GrantTracker tracker, LongSupplier clock,
			MeshLog log, Runnable onEnded) {
		this.reactor = reactor;
		this.self = self;
		this.server = server;
		this.protocol = protocol;
		this.registration = registration;
		this.scheduler = new GrantCallScheduler(tracker);
		this.connections = connections;
		this.answers = new BodyBudget(reactor, MAX_ANSWER_BYTES);
		this.grantConnections = new BackendPool(reactor, server, this.answers, connections);
		this.clock = clock;
		this.log = log;
		this.onEnded = onEnded;
	}

	/**
	 * Records that fences may have been sent to the backend server otherwise than by this
	 * sender.
	 * @param limit the lowest fence that has certainly not been sent
	 */
	void recordSentBelow(long limit) {
		this.scheduler.recordSentBelow(limit);
	}

	/**
	 * Sends the grants and releases that are due.
	 * @param map the current key map
	 * @param incarnation incarnation of the backend server
	 * @param leaseNanos remaining time of this instance's lease, in nanoseconds
	 */
	void sendDue(KeyMap map, BackendIncarnation incarnation, long leaseNanos) {
		this.connections.endSilentSession();
		if (leaseNanos > 0 && !this.connections.isOpen() && !map.heldBy(this.self).isEmpty()) {
			connect();
		}
		Optional<ServerSession> session = session();
		this.scheduler.dueCalls(map, incarnation, session, leaseNanos, this.clock.getAsLong())
			.forEach((call) -> send(call, session));
	}

	private Optional<ServerSession> session() {
		boolean heardFrom = this.registration.lastHeartbeatNanos() - this.connections.startedNanos() > 0;
		return this.connections.isOpen() ? Optional.of(new ServerSession(this.connections.session(), heardFrom))
				: Optional.empty();
	}

	private void connect() {
		long now = System.nanoTime();
		if (this.connecting || now - this.lastConnectNanos < CONNECT_INTERVAL.toNanos()) {
			return;
		}
		this.connecting = true;
		this.lastConnectNanos = now;
		this.grantConnections.open().whenResult((listens) -> {
			this.connecting = false;
			this.registration.onConnectionAttempt(listens);
			this.reactor.post(this.onEnded::run);
		});
	}

	// Returns whether a holding needs a higher fence before it can be granted.
	boolean needsNewFence(KeyHolding held) {
		return this.scheduler.needsNewFence(held, session());
	}

	// Returns whether the outcome of a grant of some of these keys is still unknown.
	boolean isGrantPending(KeySpan span) {
		return this.scheduler.isGrantPending(span);
	}

	private void send(GrantCall call, Optional<ServerSession> session) {
		RawRequest request = this.protocol.request(call, this.server);
		switch (call) {
			case GrantCall.Grant ignored -> session.ifPresent((current) -> await(call,
					this.grantConnections.runInSession(request, current.number()), GRANT_TIMEOUT));
			case GrantCall.Release ignored -> {
				// A new connection is used, so that an answer on it can't belong to an
				// earlier call.
				BackendPool singleUse = new BackendPool(this.reactor, this.server, this.answers, this.connections);
				BackendPool.BackendRun run = singleUse.run(request, true, (answer) -> true, () -> true);
				await(call, run, RELEASE_TIMEOUT);
				run.reply().whenResult(singleUse::forget);
			}
		}
	}

	private void await(GrantCall call, BackendPool.BackendRun run, Duration timeout) {
		long sentNanos = this.clock.getAsLong();
		ScheduledRunnable timeoutTask = this.reactor.delay(timeout, run::giveUp);
		run.reply().whenResult((reply) -> {
			timeoutTask.cancel();
			onReply(call, sentNanos, reply);
			this.reactor.post(this.onEnded::run);
		});
	}

	private void onReply(GrantCall call, long sentNanos, BackendReply reply) {
		long now = this.clock.getAsLong();
		this.registration.onConnectionAttempt(!(reply instanceof BackendReply.Closed));
		switch (reply) {
			case BackendReply.Whole(var answer) -> answered(call, sentNanos, this.protocol.reply(answer), now);
			case BackendReply.NotSent ignored -> notSent(call, reply, now);
			case BackendReply.Closed ignored -> notSent(call, reply, now);
			case BackendReply.Broken ignored -> unanswered(call, reply, now);
			case BackendReply.Garbled ignored -> unanswered(call, reply, now);
			case BackendReply.GivenUp ignored -> unanswered(call, reply, now);
		}
	}

	private void answered(GrantCall call, long sentNanos, GrantReply reply, long now) {
		switch (reply) {
			case GrantReply.Done(String handover) -> done(call, sentNanos, handover, now);
			case GrantReply.Superseded ignored when call instanceof GrantCall.Grant grant -> {
				logFailed(call, reply);
				this.scheduler.onSuperseded(grant, now);
			}
			case GrantReply.Superseded ignored -> unanswered(call, reply, now);
			case GrantReply.Failed ignored -> unanswered(call, reply, now);
		}
	}

	private void done(GrantCall call, long sentNanos, String handover, long now) {
		switch (call) {
			case GrantCall.Grant grant -> this.scheduler.onGranted(grant, sentNanos, now);
			case GrantCall.Release release -> this.scheduler.onReleased(release, handover);
		}
	}

	private void notSent(GrantCall call, Object reply, long now) {
		logFailed(call, reply);
		this.scheduler.onNotSent(call, now);
	}

	private void unanswered(GrantCall call, Object reply, long now) {
		logFailed(call, reply);
		this.scheduler.onUnanswered(call, now);
	}

	private void logFailed(GrantCall call, Object reply) {
		this.log.record(MeshEvent.GRANT_FAILED, "call", call.getClass().getSimpleName(), "keys", call.span(), "fence",
				call.fence(), "life", call.incarnation(), "reply", reply);
	}

}
