package org.brasspier.daemon.internal.mesh;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.function.LongSupplier;

import io.activej.reactor.nio.NioReactor;
import io.activej.reactor.schedule.ScheduledRunnable;
import org.brasspier.core.keys.BackendIncarnation;
import org.brasspier.core.keys.GrantCall;
import org.brasspier.core.keys.GrantCallScheduler;
import org.brasspier.core.keys.GrantTracker;
import org.brasspier.core.keys.KeyHolding;
import org.brasspier.core.keys.KeyMap;
import org.brasspier.core.keys.KeySpan;
import org.brasspier.daemon.internal.http.BackendPool;
import org.brasspier.daemon.internal.http.BackendReply;
import org.brasspier.daemon.mesh.GrantProtocol;
import org.brasspier.daemon.mesh.GrantProtocol.GrantReply;

/**
 * Sends grants and releases to the backend server beside this daemon. They have
 * connections of their own: an answer to a request that comes late on a shared one could
 * be taken for the answer to a call. Belongs to the thread of requests.
 */
final class GrantSender {

	/** A backend server answers a grant without waiting for a slot. */
	private static final Duration GRANT_TIMEOUT = Duration.ofMillis(400);

	/**
	 * A release is answered when the work on its keys has ended, and no work outlasts the
	 * hold.
	 */
	private static final Duration RELEASE_TIMEOUT = Duration.ofSeconds(5);

	private static final int MAX_ANSWER_BYTES = 64 << 10;

	private final NioReactor reactor;

	private final InetSocketAddress server;

	private final GrantProtocol protocol;

	private final BackendRegistration registration;

	private final GrantCallScheduler calls;

	private final BackendPool grants;

	private final LongSupplier clock;

	private final MeshLog log;

	private final Runnable ended;

	GrantSender(NioReactor reactor, InetSocketAddress server, GrantProtocol protocol, BackendRegistration registration,
			GrantTracker book, LongSupplier clock, MeshLog log, Runnable ended) {
		this.reactor = reactor;
		this.server = server;
		this.protocol = protocol;
		this.registration = registration;
		this.calls = new GrantCallScheduler(book);
		this.grants = new BackendPool(reactor, server, MAX_ANSWER_BYTES);
		this.clock = clock;
		this.log = log;
		this.ended = ended;
	}

	/**
	 * Sends what is due.
	 * @param map who holds what
	 * @param life the life of the backend server
	 * @param leaseNanos how long this instance's lease goes on
	 */
	void sendDue(KeyMap map, BackendIncarnation life, long leaseNanos) {
		this.calls.dueCalls(map, life, leaseNanos, this.clock.getAsLong()).forEach(this::send);
	}

	// Whether a holding needs a higher fence before its server accepts it.
	boolean needsNewFence(KeyHolding held) {
		return this.calls.needsNewFence(held);
	}

	// Whether nobody knows yet what came of a grant of some of these keys.
	boolean isGrantPending(KeySpan span) {
		return this.calls.isGrantPending(span);
	}

	private void send(GrantCall call) {
		switch (call) {
			case GrantCall.Grant ignored -> send(call, this.grants, GRANT_TIMEOUT, () -> {
			});
			case GrantCall.Release ignored -> {
				// An answer on a new connection belongs to no earlier call.
				BackendPool once = new BackendPool(this.reactor, this.server, MAX_ANSWER_BYTES);
				send(call, once, RELEASE_TIMEOUT, once::forget);
			}
		}
	}

	private void send(GrantCall call, BackendPool pool, Duration timeout, Runnable done) {
		long sentNanos = this.clock.getAsLong();
		BackendPool.BackendRun run = pool.run(this.protocol.request(call, this.server), true, (answer) -> true,
				() -> true);
		ScheduledRunnable giveUp = this.reactor.delay(timeout, run::giveUp);
		run.reply().whenResult((reply) -> {
			giveUp.cancel();
			take(call, sentNanos, reply);
			done.run();
			this.reactor.post(this.ended::run);
		});
	}

	private void take(GrantCall call, long sentNanos, BackendReply reply) {
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
				this.calls.onSuperseded(grant, now);
			}
			case GrantReply.Superseded ignored -> unanswered(call, reply, now);
			case GrantReply.Failed ignored -> unanswered(call, reply, now);
		}
	}

	private void done(GrantCall call, long sentNanos, String handover, long now) {
		switch (call) {
			case GrantCall.Grant grant -> this.calls.onGranted(grant, sentNanos, now);
			case GrantCall.Release release -> this.calls.onReleased(release, handover);
		}
	}

	private void notSent(GrantCall call, Object reply, long now) {
		logFailed(call, reply);
		this.calls.onNotSent(call, now);
	}

	private void unanswered(GrantCall call, Object reply, long now) {
		logFailed(call, reply);
		this.calls.onUnanswered(call, now);
	}

	private void logFailed(GrantCall call, Object reply) {
		this.log.record(MeshEvent.GRANT_FAILED, "call", call.getClass().getSimpleName(), "keys", call.span(), "fence",
				call.fence(), "life", call.incarnation(), "reply", reply);
	}

}
