package org.brasspier.daemon.internal.http;

import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;

import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import io.activej.reactor.nio.NioReactor;
import org.brasspier.core.request.Answer;
import org.brasspier.daemon.internal.exchange.ExchangeFinding;
import org.brasspier.daemon.internal.exchange.ExchangeId;
import org.brasspier.daemon.internal.exchange.ServerCall;
import org.brasspier.daemon.mesh.RawRequest;

/**
 * A pool of connections to one backend server. Connections are kept as long as the server
 * allows, since each new one costs it a round trip and may hold a slot. The most recently
 * used connection is reused first, so that the others expire and close. Not thread-safe;
 * confined to the request thread.
 */
public final class BackendPool {

	private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

	/**
	 * A request that can't be repeated only reuses a connection that carried an answer
	 * within this time: an idle connection may have gone silent, or its server may have
	 * dropped it.
	 */
	private static final long RECENT_USE_NANOS = Duration.ofSeconds(2).toNanos();

	private static final String NOT_ALLOWED = "the backend server may no longer be given it";

	private static final String YET_TO_JOIN = "a new connection has yet to join the session";

	private final NioReactor reactor;

	private final BodyBudget bodies;

	private final Deque<BackendSocket> idle = new ArrayDeque<>();

	private final InetSocketAddress address;

	private final ServerConnections connections;

	private boolean openingToJoin;

	/**
	 * Creates an empty pool.
	 * @param reactor the reactor of the request thread
	 * @param address the address of the server
	 * @param bodies the memory for the bodies of answers
	 * @param connections the connections to this server, of all its pools
	 */
	public BackendPool(NioReactor reactor, InetSocketAddress address, BodyBudget bodies,
			ServerConnections connections) {
		this.reactor = reactor;
		this.address = address;
		this.bodies = bodies;
		this.connections = connections;
	}

	/**
	 * Closes all idle connections, for example when a new incarnation of the server has
	 * started.
	 */
	public void forget() {
		this.idle.forEach(BackendSocket::close);
		this.idle.clear();
	}

	/**
	 * Sends a request whose answer names nothing.
	 * @param request the request
	 * @param repeatable whether the request may run twice
	 * @param own accepts the answer to this request and no answer to an earlier one
	 * @param allowed whether the request may still be sent, evaluated immediately before
	 * it is sent
	 * @return the running request
	 */
	public BackendRun run(RawRequest request, boolean repeatable, Predicate<Answer> own, BooleanSupplier allowed) {
		return run(ServerCall.withoutId(request, repeatable, ServerCall.NAMES_NOTHING, own), allowed);
	}

	/**
	 * Sends a request on a connection that has not carried its id, so that a late answer
	 * to an earlier request with this id can't be taken for the answer to this one.
	 * @param call the request
	 * @param allowed whether the request may still be sent, evaluated immediately before
	 * it is sent
	 * @return the running request
	 */
	public BackendRun run(ServerCall call, BooleanSupplier allowed) {
		BackendRun run = new BackendRun();
		Optional<BackendSocket> kept = takeIdle(call);
		if (kept.isPresent()) {
			if (allowed.getAsBoolean()) {
				begin(run, kept.get(), call);
			}
			else {
				this.idle.addFirst(kept.get());
				run.end(new BackendReply.NotSent(NOT_ALLOWED));
			}
			return run;
		}
		connect().whenComplete((socket, ex) -> {
			if (ex != null) {
				run.end((ex instanceof ConnectException) ? new BackendReply.Closed()
						: new BackendReply.NotSent("no connection: " + ex.getMessage()));
			}
			else if (run.ended()) {
				socket.close();
			}
			else if (!allowed.getAsBoolean()) {
				socket.close();
				run.end(new BackendReply.NotSent(NOT_ALLOWED));
			}
			else {
				begin(run, socket, call);
			}
		});
		return run;
	}

	/**
	 * Sends a request to the process to which a session of connections leads.
	 * @param request the request
	 * @param session the number of the session
	 * @return the running request; it is not sent if the session is over, or if a new
	 * connection is needed; one at a time is opened and kept until it has joined
	 */
	public BackendRun runInSession(RawRequest request, long session) {
		BackendRun run = new BackendRun();
		if (session != this.connections.session() || !this.connections.isOpen()) {
			run.end(new BackendReply.NotSent("the session is over"));
			return run;
		}
		Optional<BackendSocket> member = takeIdleMember();
		if (member.isPresent()) {
			begin(run, member.get(), ServerCall.unidentified(request, true));
			return run;
		}
		this.connections.recordBlocked();
		if (this.openingToJoin || !this.idle.isEmpty()) {
			run.end(new BackendReply.NotSent(YET_TO_JOIN));
			return run;
		}
		openToJoin().whenComplete((socket, ex) -> run
			.end((ex instanceof ConnectException) ? new BackendReply.Closed() : new BackendReply.NotSent(YET_TO_JOIN)));
		return run;
	}

	// Opens a connection that is used behind all others, so that it can join by their
	// answers.
	private Promise<BackendSocket> openToJoin() {
		this.openingToJoin = true;
		return connect().whenComplete((socket, ex) -> {
			this.openingToJoin = false;
			if (ex == null) {
				this.idle.addLast(socket);
			}
		});
	}

	// Connections that have yet to join stay idle.
	private Optional<BackendSocket> takeIdleMember() {
		long now = System.nanoTime();
		List.copyOf(this.idle)
			.stream()
			.filter((socket) -> !socket.usable(now) || this.connections.isOutside(socket))
			.forEach((socket) -> {
				this.idle.remove(socket);
				this.connections.retire(socket);
			});
		Optional<BackendSocket> member = this.idle.stream().filter(this.connections::isMember).findFirst();
		member.ifPresent(this.idle::remove);
		return member;
	}

	/**
	 * Opens a connection and keeps it for the next request.
	 * @return false if nothing listens at the server's address; never an exception
	 */
	public Promise<Boolean> open() {
		return connect().then((socket, ex) -> {
			if (ex == null) {
				this.idle.addFirst(socket);
			}
			return Promise.of(!(ex instanceof ConnectException));
		});
	}

	private Promise<BackendSocket> connect() {
		return BackendSocket.connect(this.reactor, this.address, CONNECT_TIMEOUT, this.bodies, this.connections);
	}

	private void begin(BackendRun run, BackendSocket socket, ServerCall call) {
		Promise<BackendReply> exchange = socket.exchange(call);
		run.on(socket, socket.latestExchange());
		exchange.whenResult((reply) -> {
			if (socket.usable(System.nanoTime())) {
				this.idle.addFirst(socket);
			}
			if (socket.needsSuccessor() && !this.openingToJoin) {
				openToJoin();
			}
			run.end(reply);
		});
	}

	private Optional<BackendSocket> takeIdle(ServerCall call) {
		Deque<BackendSocket> passedOver = new ArrayDeque<>();
		Optional<BackendSocket> taken = Optional.empty();
		while (taken.isEmpty() && !this.idle.isEmpty()) {
			BackendSocket first = this.idle.removeFirst();
			if (!isUsable(first, call.repeatable())) {
				this.connections.retire(first);
			}
			else if (first.hasCarried(call)) {
				passedOver.addFirst(first);
			}
			else {
				taken = Optional.of(first);
			}
		}
		if (!passedOver.isEmpty()) {
			this.connections.exchanges()
				.record(new ExchangeFinding.IdRepeated(passedOver.getLast().latestExchange(), call.name()));
			if (taken.isEmpty()) {
				// The connection that will be opened replaces one, or each use of an id
				// would
				// leave one more open.
				this.connections.retire(passedOver.removeFirst());
			}
			passedOver.forEach(this.idle::addFirst);
		}
		return taken;
	}

	private static boolean isUsable(BackendSocket socket, boolean repeatable) {
		long now = System.nanoTime();
		return socket.usable(now) && (repeatable || socket.restedNanos(now) < RECENT_USE_NANOS);
	}

	/**
	 * A request in flight.
	 */
	public static final class BackendRun {

		private final SettablePromise<BackendReply> reply = new SettablePromise<>();

		private @org.jspecify.annotations.Nullable BackendSocket socket;

		private @org.jspecify.annotations.Nullable ExchangeId exchange;

		private boolean ended;

		/**
		 * Returns the result of the request.
		 * @return the reply; never an exception
		 */
		public Promise<BackendReply> reply() {
			return this.reply;
		}

		/**
		 * Returns when the connection was opened that carries the request.
		 * @return nanoseconds of the steady clock; empty while the request has none
		 */
		public OptionalLong connectionOpenedNanos() {
			return (this.socket != null) ? OptionalLong.of(this.socket.openedNanos()) : OptionalLong.empty();
		}

		/**
		 * Returns the exchange that carries the request.
		 * @return the exchange; empty while the request has no connection
		 */
		public Optional<ExchangeId> exchange() {
			return Optional.ofNullable(this.exchange);
		}

		/**
		 * Abandons the request by closing its connection; most servers then stop working
		 * on it.
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

		/**
		 * Abandons the request if it has not been sent yet.
		 */
		public void giveUpIfUnsent() {
			if (this.socket == null) {
				giveUp();
			}
		}

		private void on(BackendSocket taken, ExchangeId begun) {
			this.socket = taken;
			this.exchange = begun;
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
