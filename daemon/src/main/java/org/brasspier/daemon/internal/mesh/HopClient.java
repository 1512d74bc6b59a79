package org.brasspier.daemon.internal.mesh;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import org.brasspier.core.InstanceId;
import org.brasspier.core.keys.PromiseMark;
import org.brasspier.core.load.GateReport;
import org.brasspier.core.mesh.SendOutcome;
import org.brasspier.daemon.internal.link.LinkFlow;
import org.brasspier.daemon.internal.request.Cancellation;

/**
 * Client side of hops, the connections from one daemon to another: one for each other
 * instance. Not thread-safe: confined to the request thread.
 */
final class HopClient {

	/**
	 * Delay of the first probe after a connection was lost. It is short, so that a server
	 * that has restarted is soon used again.
	 */
	private static final Duration MIN_PROBE_DELAY = Duration.ofMillis(250);

	/**
	 * Upper bound of the delay between probes, and so of the time that a recovered daemon
	 * waits for its first request from this one.
	 */
	private static final Duration MAX_PROBE_DELAY = Duration.ofSeconds(1);

	private final NioReactor reactor;

	private final SharedRows rows;

	private final LinkFlow flow;

	private final Map<InstanceId, Peer> peers = new HashMap<>();

	private Optional<HopMessage> replicatedState = Optional.empty();

	private BiConsumer<InstanceId, GateReport> reportReceiver = (instance, report) -> {
	};

	HopClient(NioReactor reactor, SharedRows rows) {
		this(reactor, rows, new LinkFlow(reactor, 0));
	}

	HopClient(NioReactor reactor, SharedRows rows, LinkFlow flow) {
		this.reactor = reactor;
		this.rows = rows;
		this.flow = flow;
	}

	// Adds a receiver of what the gates of other instances report with outcomes. It is
	// called before the outcome is completed.
	void setReportReceiver(BiConsumer<InstanceId, GateReport> receiver) {
		this.reportReceiver = this.reportReceiver.andThen(receiver);
	}

	// Returns whether requests should go to another instance: this one is leaving or
	// unreachable.
	boolean shouldAvoid(InstanceId instance, long now) {
		Peer peer = this.peers.get(instance);
		return peer != null && (peer.link.isLeaving() || isUnreachable(instance, now));
	}

	// Returns whether the connection was lost and no probe has been answered since, or
	// nothing has been received for a while. A daemon that is leaving is not unreachable:
	// it still serves the keys that only its server holds.
	boolean isUnreachable(InstanceId instance, long now) {
		Peer peer = this.peers.get(instance);
		return peer != null && (peer.lost || peer.link.isSuspect(now));
	}

	Promise<SendOutcome> send(Member member, HopRequest request, Cancellation cancellation) {
		Peer peer = peer(member);
		return peer.link.send(request, cancellation).whenResult(() -> probeIfClosed(peer));
	}

	void sendOneWay(Member member, HopMessage message) {
		peer(member).link.sendOneWay(message);
	}

	/**
	 * Sets the state of this instance that is replicated to other daemons. Each daemon
	 * that it is replicated to is sent it again on every later connection, since what was
	 * sent on an earlier one may be lost.
	 * @param state the state, which daemons of an earlier build are not sent; empty if
	 * there is nothing to replicate
	 */
	void setReplicatedState(Optional<HopMessage> state) {
		this.replicatedState = state;
	}

	/**
	 * Sends the replicated state to another daemon that has not been sent it on its
	 * current connection. A daemon that can't be reached is sent it once it answers a
	 * probe.
	 * @param member the other instance
	 */
	void replicateTo(Member member) {
		Peer peer = knownPeer(member);
		if (peer.link.isClosed() && !peer.lost) {
			open(peer);
		}
		replicate(peer);
	}

	private void replicate(Peer peer) {
		this.replicatedState.ifPresent((state) -> peer.link.replicate(state).whenResult(() -> probeIfClosed(peer)));
	}

	/**
	 * Asks another daemon to promise not to take over this instance's keys for a while.
	 * @param member the other instance
	 * @param holder this instance
	 * @param rowVersion version of this instance's lease row
	 * @param mark identifies the promise
	 * @return its answer; empty if the connection was lost first
	 */
	Promise<Optional<HopMessage.PromiseResponse>> requestPromise(Member member, InstanceId holder, long rowVersion,
			PromiseMark mark) {
		Peer peer = peer(member);
		return peer.link.requestPromise(holder, rowVersion, mark).whenResult(() -> probeIfClosed(peer));
	}

	/**
	 * Asks another daemon for the lease rows as it reads them from the store.
	 * @param member the other instance
	 * @param maxAge maximum age of the rows
	 * @return its answer; empty if the connection was lost first
	 */
	Promise<Optional<HopMessage.LeasesResponse>> requestLeases(Member member, Duration maxAge) {
		Peer peer = peer(member);
		return peer.link.requestLeases(maxAge).whenResult(() -> probeIfClosed(peer));
	}

	/**
	 * Subscribes to the changes of rows that another daemon reads from the store.
	 * @param member the other instance
	 * @param request the request, with the row versions that are known here
	 * @param receiver receives the changes
	 * @return its first answer; empty if the connection was lost first
	 */
	Promise<Optional<HopMessage.RowChanges>> follow(Member member, HopMessage.FollowRequest request,
			Consumer<HopMessage.RowChanges> receiver) {
		Peer peer = peer(member);
		return peer.link.follow(request, receiver).whenResult(() -> probeIfClosed(peer));
	}

	private void probeIfClosed(Peer peer) {
		if (peer.link.isClosed() && !peer.lost) {
			peer.lost = true;
			scheduleProbe(peer, MIN_PROBE_DELAY);
		}
	}

	// Probes with a ping instead of a request. A frozen machine still accepts
	// connections: when requests served as probes, each of them was lost together with
	// all that followed in the next 200 ms, a twentieth of all lookups by key while one
	// machine was frozen.
	private void scheduleProbe(Peer peer, Duration delay) {
		this.reactor.delayBackground(delay, () -> {
			if (peer.replaced) {
				return;
			}
			if (peer.link.isClosed()) {
				open(peer);
			}
			peer.link.probe().whenResult((answered) -> {
				peer.lost = !answered;
				if (!answered) {
					Duration doubled = delay.multipliedBy(2);
					scheduleProbe(peer, (doubled.compareTo(MAX_PROBE_DELAY) > 0) ? MAX_PROBE_DELAY : doubled);
				}
			});
		});
	}

	private HopLink link(InstanceId instance, InetSocketAddress address) {
		return new HopLink(this.reactor, address, this.rows, this.flow,
				(report) -> this.reportReceiver.accept(instance, report));
	}

	private void open(Peer peer) {
		peer.link = link(peer.instance, peer.address);
		replicate(peer);
	}

	private Peer peer(Member member) {
		Peer known = knownPeer(member);
		if (known.link.isClosed()) {
			open(known);
		}
		return known;
	}

	// Its connection may be closed.
	private Peer knownPeer(Member member) {
		InetSocketAddress address = member.address();
		Peer known = this.peers.get(member.instance());
		if (known != null && known.address.equals(address)) {
			return known;
		}
		Peer opened = new Peer(member.instance(), address, link(member.instance(), address));
		Optional.ofNullable(this.peers.put(member.instance(), opened)).ifPresent((old) -> old.replaced = true);
		replicate(opened);
		return opened;
	}

	private static final class Peer {

		private final InstanceId instance;

		private final InetSocketAddress address;

		private HopLink link;

		private boolean lost;

		private boolean replaced;

		Peer(InstanceId instance, InetSocketAddress address, HopLink link) {
			this.instance = instance;
			this.address = address;
			this.link = link;
		}

	}

}
