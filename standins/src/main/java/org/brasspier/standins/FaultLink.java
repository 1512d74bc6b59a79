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
 * One TCP address of the proxy and where it leads. Its fault can be changed at any time.
 * Thread-safe.
 */
public final class FaultLink {

	private static final int PROBE_MILLIS = 20;

	private final StandInLoop loop;

	private final String name;

	private final InetSocketAddress listen;

	private final InetSocketAddress target;

	private final double delayMillis;

	private final Set<Pair> pairs = new HashSet<>();

	private final boolean followsTarget;

	private SimpleServer server;

	private LinkState state = LinkState.WHOLE;

	FaultLink(StandInLoop loop, String name, InetSocketAddress target, double delayMillis, boolean followsTarget) {
		this.loop = loop;
		this.name = name;
		this.listen = Ports.free();
		this.target = target;
		this.delayMillis = delayMillis;
		this.followsTarget = followsTarget;
		this.server = SimpleServer.builder(loop.reactor(), this::accept).withListenAddress(this.listen).build();
		loop.call(() -> {
			open();
			return true;
		});
	}

	/**
	 * The link's name.
	 * @return who it leads from and to
	 */
	public String name() {
		return this.name;
	}

	/**
	 * The address to connect to in place of the target's.
	 * @return the address
	 */
	public InetSocketAddress address() {
		return this.listen;
	}

	/**
	 * Changes what the link does, for open and for new connections.
	 * @param next the new state
	 */
	public void state(LinkState next) {
		this.loop.call(() -> {
			this.state = next;
			if (next == LinkState.RESET) {
				Set.copyOf(this.pairs).forEach(Pair::end);
			}
			// What was held may end a pair as it's passed on.
			Set.copyOf(this.pairs).forEach((pair) -> pair.obey(next));
			return true;
		});
	}

	/**
	 * Makes each connection that is open now silent for good: what is sent over it is
	 * lost and neither end is told. New connections work.
	 */
	public void silenceOpenConnections() {
		this.loop.call(() -> {
			Set.copyOf(this.pairs).forEach(Pair::silence);
			return true;
		});
	}

	/**
	 * How many connections are open through this link.
	 * @return the number
	 */
	public int openConnections() {
		return this.loop.call(this.pairs::size);
	}

	void close() {
		this.loop.execute(() -> {
			this.server.close();
			Set.copyOf(this.pairs).forEach(Pair::end);
		});
	}

	/**
	 * Tells that the target's process has ended. A link that follows its target refuses
	 * connections until the target listens again, as the target's own port would; else
	 * whoever connects could not tell a refused connection from one that broke.
	 */
	void targetEnded() {
		if (this.followsTarget) {
			this.loop.execute(() -> {
				this.server.close();
				Set.copyOf(this.pairs).forEach(Pair::end);
				openOnceTargetListens();
			});
		}
	}

	private void open() throws IOException {
		if (this.followsTarget) {
			openOnceTargetListens();
		}
		else {
			this.server.listen();
		}
	}

	private void openOnceTargetListens() {
		TcpSocket.connect(this.loop.reactor(), this.target)
			.whenException((ex) -> this.loop.reactor().delay(PROBE_MILLIS, this::openOnceTargetListens))
			.whenResult((socket) -> {
				socket.close();
				listenAnew();
			});
	}

	private void listenAnew() {
		try {
			this.server = SimpleServer.builder(this.loop.reactor(), this::accept)
				.withListenAddress(this.listen)
				.build();
			this.server.listen();
		}
		catch (IOException ex) {
			this.loop.reactor().delay(PROBE_MILLIS, this::listenAnew);
		}
	}

	private void accept(ITcpSocket near) {
		if (this.state == LinkState.RESET) {
			near.close();
			return;
		}
		TcpSocket.connect(this.loop.reactor(), this.target)
			.whenException((ex) -> near.close())
			.whenResult((far) -> join(near, far));
	}

	private void join(ITcpSocket near, ITcpSocket far) {
		Pair pair = new Pair(this.loop.reactor(), near, far);
		this.pairs.add(pair);
		pair.obey(this.state);
		pair.start();
	}

	/**
	 * The two ends of one connection.
	 */
	private final class Pair {

		private final ITcpSocket near;

		private final ITcpSocket far;

		private final FaultPipe forth;

		private final FaultPipe back;

		private boolean silent;

		Pair(NioReactor reactor, ITcpSocket near, ITcpSocket far) {
			this.near = near;
			this.far = far;
			this.forth = new FaultPipe(reactor, near, far, this::ended);
			this.back = new FaultPipe(reactor, far, near, this::ended);
			this.forth.delay(FaultLink.this.delayMillis);
			this.back.delay(FaultLink.this.delayMillis);
		}

		void start() {
			this.forth.start();
			this.back.start();
		}

		void obey(LinkState next) {
			this.forth.hold(next.holdsForth());
			this.back.hold(next.holdsBack());
		}

		void silence() {
			this.silent = true;
			this.forth.silence();
			this.back.silence();
		}

		// The end of one side is a message too: over a silent connection the other side
		// never hears of it.
		private void ended() {
			if (!this.silent) {
				end();
			}
		}

		private void end() {
			this.near.close();
			this.far.close();
			FaultLink.this.pairs.remove(this);
		}

	}

}
