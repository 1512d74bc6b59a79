package org.brasspier.daemon.internal.mesh;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import org.brasspier.core.InstanceId;
import org.brasspier.core.mesh.SendOutcome;
import org.brasspier.daemon.internal.request.Cancellation;

/**
 * The connections to other daemons, one for each. Belongs to the thread of requests.
 */
final class HopClient {

	/**
	 * A daemon that could not be reached, or is leaving, isn't tried for this long unless
	 * there is no other: each try costs a request the time to connect.
	 */
	private static final long AVOID_NANOS = Duration.ofMillis(500).toNanos();

	private final NioReactor reactor;

	private final SharedRows rows;

	private final Map<InstanceId, Peer> peers = new HashMap<>();

	HopClient(NioReactor reactor, SharedRows rows) {
		this.reactor = reactor;
		this.rows = rows;
	}

	// Whether requests are better sent elsewhere just now.
	boolean avoided(InstanceId instance, long now) {
		Peer peer = this.peers.get(instance);
		return peer != null && (peer.link.leaving() || unreachable(instance, now));
	}

	// Whether it could not be reached lately, or is not heard just now. A daemon that is
	// leaving still serves what
	// only it can.
	boolean unreachable(InstanceId instance, long now) {
		Peer peer = this.peers.get(instance);
		return peer != null && (peer.link.suspect(now) || (peer.failed && now - peer.failedNanos < AVOID_NANOS));
	}

	Promise<SendOutcome> send(Member member, Ask ask, Cancellation cancellation) {
		Peer peer = peer(member);
		return peer.link.send(ask, cancellation).whenResult(() -> note(peer));
	}

	void tell(Member member, HopMessage message) {
		peer(member).link.tell(message);
	}

	/**
	 * Asks another daemon to leave this instance's keys alone for a while.
	 * @param member the other instance
	 * @param holder this instance
	 * @param rowVersion the version of its lease's row
	 * @return its answer; empty if none came
	 */
	Promise<Optional<HopMessage.Promised>> askPromise(Member member, InstanceId holder, long rowVersion) {
		Peer peer = peer(member);
		return peer.link.askPromise(holder, rowVersion).whenResult(() -> note(peer));
	}

	private void note(Peer peer) {
		if (peer.link.closed()) {
			peer.failed = true;
			peer.failedNanos = System.nanoTime();
		}
		else {
			peer.failed = false;
		}
	}

	private Peer peer(Member member) {
		InetSocketAddress address = member.address();
		Peer known = this.peers.get(member.instance());
		if (known != null && known.address.equals(address) && !known.link.closed()) {
			return known;
		}
		Peer opened = new Peer(address, new HopLink(this.reactor, address, this.rows));
		if (known != null) {
			opened.failed = known.failed;
			opened.failedNanos = known.failedNanos;
		}
		this.peers.put(member.instance(), opened);
		return opened;
	}

	private static final class Peer {

		private final InetSocketAddress address;

		private final HopLink link;

		private boolean failed;

		private long failedNanos;

		Peer(InetSocketAddress address, HopLink link) {
			this.address = address;
			this.link = link;
		}

	}

}
