package org.brasspier.daemon.internal.http;

import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;

import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import io.activej.reactor.nio.NioReactor;
import org.brasspier.core.request.Answer;
import org.brasspier.daemon.mesh.RawRequest;

/**
 * The connections to one backend server. They are kept as long as the server allows,
 * since each new one costs it a round trip and may hold a slot; the one used last is used
 * first, so that the others can grow old and close. Belongs to the thread of requests.
 */
public final class BackendPool {

	private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

	/**
	 * An order that can't be repeated goes on a connection that carried an answer within
	 * this time, or on a new one: a connection may have gone silent, or its server may
	 * have forgotten it, while it rested.
	 */
	private static final long FRESH_NANOS = Duration.ofSeconds(2).toNanos();

	private final NioReactor reactor;

	private final int maxBodyBytes;

	private final Deque<BackendSocket> resting = new ArrayDeque<>();

	private InetSocketAddress address;

	/**
	 * Creates a pool with no connection.
	 * @param reactor the reactor of the thread of requests
	 * @param address where the server listens
	 * @param maxBodyBytes the largest body of an answer, in bytes
	 */
	public BackendPool(NioReactor reactor, InetSocketAddress address, int maxBodyBytes) {
		this.reactor = reactor;
		this.address = address;
		this.maxBodyBytes = maxBodyBytes;
	}

	/**
	 * Closes what rests, as when another life of the server has begun.
	 */
	public void forget() {
		this.resting.forEach(BackendSocket::close);
		this.resting.clear();
	}

	/**
	 * Sends an order.
	 * @param request the order
	 * @param repeatable whether it may run twice
	 * @param own tells its answer from one to an earlier order
	 * @param allowed whether it may still be sent, asked once a new connection is open
	 * @return its run
	 */
	public BackendRun run(RawRequest request, boolean repeatable, Predicate<Answer> own, BooleanSupplier allowed) {
		BackendRun run = new BackendRun();
		BackendSocket kept = kept(repeatable);
		if (kept != null) {
			begin(run, kept, request, own);
			return run;
		}
		BackendSocket.connect(this.reactor, this.address, CONNECT_TIMEOUT, this.maxBodyBytes)
			.whenComplete((socket, ex) -> {
				if (ex != null) {
					run.end((ex instanceof ConnectException) ? new BackendReply.Closed()
							: new BackendReply.NotSent("no connection: " + ex.getMessage()));
				}
				else if (run.ended()) {
					socket.close();
				}
				else if (!allowed.getAsBoolean()) {
					socket.close();
					run.end(new BackendReply.NotSent("the backend server may no longer be given it"));
				}
				else {
					begin(run, socket, request, own);
				}
			});
		return run;
	}

	/**
	 * Opens a connection and keeps it for the next order.
	 * @return false if nothing listens at the server's address; never an exception
	 */
	public Promise<Boolean> open() {
		return BackendSocket.connect(this.reactor, this.address, CONNECT_TIMEOUT, this.maxBodyBytes)
			.then((socket, ex) -> {
				if (ex == null) {
					this.resting.addFirst(socket);
				}
				return Promise.of(!(ex instanceof ConnectException));
			});
	}

	private void begin(BackendRun run, BackendSocket socket, RawRequest request, Predicate<Answer> own) {
		run.on(socket);
		socket.exchange(request, own).whenResult((reply) -> {
			if (socket.usable(System.nanoTime())) {
				this.resting.addFirst(socket);
			}
			run.end(reply);
		});
	}

	private @org.jspecify.annotations.Nullable BackendSocket kept(boolean repeatable) {
		long now = System.nanoTime();
		while (!this.resting.isEmpty()) {
			BackendSocket first = this.resting.removeFirst();
			if (first.usable(now) && (repeatable || first.restedNanos(now) < FRESH_NANOS)) {
				return first;
			}
			first.close();
		}
		return null;
	}

	/**
	 * One order on its way.
	 */
	public static final class BackendRun {

		private final SettablePromise<BackendReply> reply = new SettablePromise<>();

		private @org.jspecify.annotations.Nullable BackendSocket socket;

		private boolean ended;

		/**
		 * How it ends.
		 * @return the reply; never an exception
		 */
		public Promise<BackendReply> reply() {
			return this.reply;
		}

		/**
		 * Gives it up: its connection is closed, at which most servers drop it.
		 */
		public void giveUp() {
			if (this.ended) {
				return;
			}
			if (this.socket != null) {
				this.socket.finish(new BackendReply.GivenUp());
			}
			else {
				end(new BackendReply.NotSent("given up before it was sent"));
			}
		}

		private void on(BackendSocket taken) {
			this.socket = taken;
		}

		private boolean ended() {
			return this.ended;
		}

		private void end(BackendReply end) {
			if (!this.ended) {
				this.ended = true;
				this.reply.set(end);
			}
		}

	}

}
