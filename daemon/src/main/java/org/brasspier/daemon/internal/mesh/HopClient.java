package org.brasspier.daemon.internal.mesh;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

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
	 * How long after a connection was lost it is tried again, without a request: a server
	 * that restarts is missed for long.
	 */
	private static final Duration FIRST_PAUSE = Duration.ofMillis(250);

	/** So long a daemon that is back may wait for its first request from here. */
	private static final Duration LONGEST_PAUSE = Duration.ofSeconds(1);

	private final NioReactor reactor;

	private final SharedRows rows;

	private final Map<InstanceId, Peer> peers = new HashMap<>();

	HopClient(NioReactor reactor, SharedRows rows) {
		this.reactor = reactor;
		this.rows = rows;
	}

	// Whether requests are better sent elsewhere just now.
	boolean shouldAvoid(InstanceId instance, long now) {
		Peer peer = this.peers.get(instance);
		return peer != null && (peer.link.leaving() || unreachable(instance, now));
	}

	// Whether it could not be reached and has not answered since, or is not heard just
	// now. A daemon that is leaving still serves what only it can.
	boolean unreachable(InstanceId instance, long now) {
		Peer peer = this.peers.get(instance);
		return peer != null && (peer.lost || peer.link.suspected(now));
	}

	Promise<SendOutcome> send(Member member, HopRequest ask, Cancellation cancellation) {
		Peer peer = peer(member);
		return peer.link.send(ask, cancellation).whenResult(() -> note(peer));
	}

	void sendOneWay(Member member, HopMessage message) {
		peer(member).link.sendOneWay(message);
	}

	void sendToCurrentBuild(Member member, HopMessage message) {
		peer(member).link.sendToCurrentBuild(message);
	}

	/**
	 * Asks another daemon to leave this instance's keys alone for a while.
	 * @param member the other instance
	 * @param holder this instance
	 * @param rowVersion the version of its lease's row
	 * @return its answer; empty if none came
	 */
	Promise<Optional<HopMessage.PromiseResponse>> requestPromise(Member member, InstanceId holder, long rowVersion) {
		Peer peer = peer(member);
		return peer.link.requestPromise(holder, rowVersion).whenResult(() -> note(peer));
	}

	/**
	 * Asks another daemon what the store shows of the leases.
	 * @param member the other instance
	 * @param oldest how old the answer may be
	 * @return its answer; empty if none came
	 */
	Promise<Optional<HopMessage.LeasesResponse>> requestLeases(Member member, Duration oldest) {
		Peer peer = peer(member);
		return peer.link.requestLeases(oldest).whenResult(() -> note(peer));
	}

	/**
	 * Asks another daemon for what the store tells it, now and for a while.
	 * @param member the other instance
	 * @param ask what is known here
	 * @param receiver takes what it passes on
	 * @return its first answer; empty if none came
	 */
	Promise<Optional<HopMessage.RowChanges>> follow(Member member, HopMessage.FollowRequest ask,
			Consumer<HopMessage.RowChanges> receiver) {
		Peer peer = peer(member);
		return peer.link.follow(ask, receiver).whenResult(() -> note(peer));
	}

	private void note(Peer peer) {
		if (peer.link.closed() && !peer.lost) {
			peer.lost = true;
			probeLater(peer, FIRST_PAUSE);
		}
	}

	// A frozen machine still takes connections. A request that was sent to find out
	// whether the daemon there is back was lost each time, with all that came after it in
	// the next 200 ms: a twentieth of all lookups by key while one machine stood still.
	private void probeLater(Peer peer, Duration pause) {
		this.reactor.delayBackground(pause, () -> {
			if (peer.replaced) {
				return;
			}
			if (peer.link.closed()) {
				peer.link = link(peer.address);
			}
			peer.link.probe().whenResult((answered) -> {
				peer.lost = !answered;
				if (!answered) {
					Duration doubled = pause.multipliedBy(2);
					probeLater(peer, (doubled.compareTo(LONGEST_PAUSE) > 0) ? LONGEST_PAUSE : doubled);
				}
			});
		});
	}

	private HopLink link(InetSocketAddress address) {
		return new HopLink(this.reactor, address, this.rows);
	}

	private Peer peer(Member member) {
		InetSocketAddress address = member.address();
		Peer known = this.peers.get(member.instance());
		if (known == null || !known.address.equals(address)) {
			Peer opened = new Peer(address, link(address));
			Optional.ofNullable(this.peers.put(member.instance(), opened)).ifPresent((old) -> old.replaced = true);
			return opened;
		}
		if (known.link.closed()) {
			known.link = link(address);
		}
		return known;
	}

	private static final class Peer {

		private final InetSocketAddress address;

		private HopLink link;

		private boolean lost;

		private boolean replaced;

		Peer(InetSocketAddress address, HopLink link) {
			this.address = address;
			this.link = link;
		}

	}

}
