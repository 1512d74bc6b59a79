package org.brasspier.standins;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.Set;

import io.activej.net.SimpleServer;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.net.socket.tcp.TcpSocket;
import io.activej.reactor.nio.NioReactor;

/**
 * A TCP listener of the proxy that forwards connections to a target. Its state can be
 * changed at any time. Thread-safe.
 */
public final class FaultLink {

	private static final int RETRY_MILLIS = 20;

	private final StandInLoop loop;

	private final String name;

	private final InetSocketAddress listen;

	private final InetSocketAddress target;

	private final double delayMillis;

	private final Set<Connection> connections = new HashSet<>();

	private final boolean followsTarget;

	private SimpleServer server;

	private LinkState state = LinkState.HEALTHY;

	FaultLink(StandInLoop loop, String name, InetSocketAddress target, double delayMillis, boolean followsTarget) {
		this.loop = loop;
		this.name = name;
		this.listen = Ports.free();
		this.target = target;
		this.delayMillis = delayMillis;
		this.followsTarget = followsTarget;
		this.server = SimpleServer.builder(loop.reactor(), this::accept).withListenAddress(this.listen).build();
		loop.call(() -> {
			openListener();
			return true;
		});
	}

	/**
	 * The link's name.
	 * @return the name that it was opened with
	 */
	public String name() {
		return this.name;
	}

	/**
	 * The address to connect to instead of the target's.
	 * @return the address
	 */
	public InetSocketAddress address() {
		return this.listen;
	}

	/**
	 * Changes the state of the link, for open and for new connections.
	 * @param next the new state
	 */
	public void state(LinkState next) {
		this.loop.call(() -> {
			this.state = next;
			if (next == LinkState.RESET) {
				Set.copyOf(this.connections).forEach(Connection::close);
			}
			// Applied to a copy: delivering held bytes may close a connection, which
			// removes it from the set.
			Set.copyOf(this.connections).forEach((connection) -> connection.apply(next));
			return true;
		});
	}

	/**
	 * Silences all open connections permanently: what is sent over them is dropped and
	 * neither end is notified. New connections work.
	 */
	public void silenceOpenConnections() {
		this.loop.call(() -> {
			Set.copyOf(this.connections).forEach(Connection::silence);
			return true;
		});
	}

	/**
	 * Returns how many connections are open through this link.
	 * @return the number
	 */
	public int openConnections() {
		return this.loop.call(this.connections::size);
	}

	void close() {
		this.loop.execute(() -> {
			this.server.close();
			Set.copyOf(this.connections).forEach(Connection::close);
		});
	}

	/**
	 * Called when the target's process has ended. A link that follows its target then
	 * refuses connections until the target listens again, as the target's own port would.
	 * Otherwise a client could not tell a refused connection from a broken one.
	 */
	void onTargetExit() {
		if (this.followsTarget) {
			this.loop.execute(() -> {
				this.server.close();
				Set.copyOf(this.connections).forEach(Connection::close);
				reopenWhenTargetListens();
			});
		}
	}

	private void openListener() throws IOException {
		if (this.followsTarget) {
			reopenWhenTargetListens();
		}
		else {
			this.server.listen();
		}
	}

	private void reopenWhenTargetListens() {
		TcpSocket.connect(this.loop.reactor(), this.target)
			.whenException((ex) -> this.loop.reactor().delay(RETRY_MILLIS, this::reopenWhenTargetListens))
			.whenResult((socket) -> {
				socket.close();
				reopenListener();
			});
	}

	private void reopenListener() {
		try {
			this.server = SimpleServer.builder(this.loop.reactor(), this::accept)
				.withListenAddress(this.listen)
				.build();
			this.server.listen();
		}
		catch (IOException ex) {
			this.loop.reactor().delay(RETRY_MILLIS, this::reopenListener);
		}
	}

	private void accept(ITcpSocket clientSocket) {
		if (this.state == LinkState.RESET) {
			clientSocket.close();
			return;
		}
		TcpSocket.connect(this.loop.reactor(), this.target)
			.whenException((ex) -> clientSocket.close())
			.whenResult((targetSocket) -> connect(clientSocket, targetSocket));
	}

	private void connect(ITcpSocket clientSocket, ITcpSocket targetSocket) {
		Connection connection = new Connection(this.loop.reactor(), clientSocket, targetSocket);
		this.connections.add(connection);
		connection.apply(this.state);
		connection.start();
	}

	/**
	 * One forwarded connection: its sockets to the client and to the target.
	 */
	private final class Connection {

		private final ITcpSocket clientSocket;

		private final ITcpSocket targetSocket;

		private final FaultPipe toTarget;

		private final FaultPipe toClient;

		private boolean silent;

		Connection(NioReactor reactor, ITcpSocket clientSocket, ITcpSocket targetSocket) {
			this.clientSocket = clientSocket;
			this.targetSocket = targetSocket;
			this.toTarget = new FaultPipe(reactor, clientSocket, targetSocket, this::onPipeEnd);
			this.toClient = new FaultPipe(reactor, targetSocket, clientSocket, this::onPipeEnd);
			this.toTarget.delay(FaultLink.this.delayMillis);
			this.toClient.delay(FaultLink.this.delayMillis);
		}

		void start() {
			this.toTarget.readNext();
			this.toClient.readNext();
		}

		void apply(LinkState next) {
			this.toTarget.hold(next.holdsRequests());
			this.toClient.hold(next.holdsAnswers());
		}

		void silence() {
			this.silent = true;
			this.toTarget.silence();
			this.toClient.silence();
		}

		// The end of a stream is data too: on a silenced connection the other side
		// must not learn of it.
		private void onPipeEnd() {
			if (!this.silent) {
				close();
			}
		}

		private void close() {
			this.clientSocket.close();
			this.targetSocket.close();
			FaultLink.this.connections.remove(this);
		}

	}

}
