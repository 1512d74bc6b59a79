package org.brasspier.daemon.internal.coldstart;

import java.time.Duration;
import java.util.Optional;

import io.activej.reactor.nio.NioReactor;
import org.brasspier.core.coldstart.ColdStartLimiter;
import org.brasspier.core.keys.BackendIncarnation;
import org.brasspier.daemon.internal.exchange.ServerCall;
import org.brasspier.daemon.internal.http.BackendPool;
import org.brasspier.daemon.internal.http.BackendReply;
import org.brasspier.daemon.mesh.BackendProtocol;

/**
 * Sends health checks to the local backend server whenever the limiter needs to know
 * whether the server is cold, on the connections of requests. Not thread-safe; confined
 * to the request thread.
 */
public final class WarmthChecks {

	private static final Duration TIMEOUT = Duration.ofMillis(400);

	private final NioReactor reactor;

	private final BackendPool pool;

	private final BackendProtocol protocol;

	private final ColdStartLimiter limiter;

	/**
	 * Creates an instance that has sent no checks.
	 * @param reactor the reactor of the request thread
	 * @param pool the connections to the server
	 * @param protocol encodes the checks
	 * @param limiter receives the results
	 */
	public WarmthChecks(NioReactor reactor, BackendPool pool, BackendProtocol protocol, ColdStartLimiter limiter) {
		this.reactor = reactor;
		this.pool = pool;
		this.protocol = protocol;
		this.limiter = limiter;
	}

	/**
	 * Sends a check if one is due.
	 * @param path the path of the health check
	 * @param server the server whose answer counts
	 * @param now the current time, nanoseconds of the steady clock
	 * @param onAnswered called once the limiter knows the result
	 */
	public void sendIfDue(String path, BackendIncarnation server, long now, Runnable onAnswered) {
		if (!this.limiter.checkDue(now)) {
			return;
		}
		this.limiter.onCheckSent(now);
		ServerCall call = ServerCall.withoutId(this.protocol.healthCheck(path), true, this.protocol::identity,
				(answer) -> this.protocol.coldRemaining(server, answer).isPresent());
		BackendPool.BackendRun check = this.pool.run(call, () -> true);
		this.reactor.delay(TIMEOUT, check::giveUp);
		check.reply().whenResult((reply) -> {
			record(server, reply, now);
			onAnswered.run();
		});
	}

	private void record(BackendIncarnation server, BackendReply reply, long sentNanos) {
		Optional<Duration> cold = (reply instanceof BackendReply.Whole(var answer))
				? this.protocol.coldRemaining(server, answer) : Optional.empty();
		cold.ifPresentOrElse((remaining) -> this.limiter.onCheckAnswered(sentNanos, remaining, System.nanoTime()),
				this.limiter::onCheckFailed);
	}

}
