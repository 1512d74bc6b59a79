package org.brasspier.daemon.internal.request;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Supplier;

import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import io.activej.reactor.nio.NioReactor;
import org.brasspier.core.ErrorKind;
import org.brasspier.core.Failure;
import org.brasspier.core.InstanceId;
import org.brasspier.core.request.CallerRequest;
import org.brasspier.core.routing.OwnershipSnapshot;
import org.brasspier.core.routing.PeerAddress;
import org.brasspier.daemon.internal.DaemonContext;
import org.brasspier.daemon.internal.event.EventLog;
import org.brasspier.daemon.internal.settings.CurrentSecrets;
import org.brasspier.daemon.internal.settings.Settings;
import org.brasspier.wire.ForwardMessage;

/**
 * Sends requests to other daemons over one link per daemon. Not thread-safe; used in the
 * request thread only.
 */
public final class ForwardClient {

	private static final Duration RETRY_AFTER = Duration.ofMillis(100);

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final NioReactor reactor;

	private final Settings settings;

	private final CurrentSecrets secrets;

	private final Supplier<OwnershipSnapshot> ownership;

	private final EventLog events;

	private final GuardTimes guards;

	private final Map<InstanceId, ForwardLink> links = new HashMap<>();

	private final Map<InstanceId, Duration> roundTrips = new HashMap<>();

	/**
	 * Creates a client with no connections.
	 * @param reactor the reactor of the request thread
	 * @param context this instance, the shared keys and the event log
	 * @param ownership current addresses of the instances
	 * @param guards how long an order may take effect after the end of the lease it was
	 * admitted under
	 */
	ForwardClient(NioReactor reactor, DaemonContext context, Supplier<OwnershipSnapshot> ownership, GuardTimes guards) {
		this.reactor = reactor;
		this.settings = context.settings();
		this.secrets = context.secrets();
		this.ownership = ownership;
		this.events = context.events();
		this.guards = guards;
	}

	/**
	 * Forwards a request to its owner.
	 * @param owner the owner of the request
	 * @param request the request, with its remaining time
	 * @param cancellation notified when the caller disconnects
	 * @return the outcome; never completes exceptionally
	 */
	public Promise<Outcome> forward(InstanceId owner, CallerRequest request, Cancellation cancellation) {
		return exchange(owner, (number, sentNanos) -> new ForwardMessage.Forward(number, request),
				request.remainingMillis(), cancellation);
	}

	/**
	 * Sends an admitted request to the daemon on the instance of the chosen backend
	 * server.
	 * @param chosen the instance
	 * @param order the order
	 * @param cancellation notified when the caller disconnects
	 * @return the execution of the order
	 */
	OrderRun execute(InstanceId chosen, Order order, Cancellation cancellation) {
		long now = System.nanoTime();
		long leaseEnd = order.leaseEndNanos().getAsLong();
		if (leaseEnd - now <= 0) {
			return OrderRun.completed(
					Outcome.failed(new Failure(ErrorKind.NO_OWNER, "the owner's lease has expired", RETRY_AFTER)));
		}
		Promise<Outcome> outcome = exchange(chosen, (number, sentNanos) -> execute(order, leaseEnd, number, sentNanos),
				order.remainingMillis(now), cancellation);
		return new OrderRun(outcome, settled(order, leaseEnd, outcome));
	}

	// Computes the remaining times when the message is sent: opening the connection may
	// have taken most of a lease.
	private static ForwardMessage execute(Order order, long leaseEndNanos, long exchange, long sentNanos) {
		long now = System.nanoTime();
		CallerRequest request = order.request().withRemainingMillis(order.remainingMillis(now));
		int authority = (int) Math.max(0, (leaseEndNanos - now) / NANOS_PER_MILLI);
		return new ForwardMessage.Execute(exchange, request, order.held().range(), order.held().fence(), authority,
				OptionalLong.of(sentNanos));
	}

	// An order whose outcome is unknown may still take effect on the other instance: a
	// read without a key until its deadline, any other order until the end of the lease
	// it was admitted under plus the guard time.
	private Promise<Void> settled(Order order, long leaseEndNanos, Promise<Outcome> outcome) {
		SettablePromise<Void> settled = new SettablePromise<>();
		outcome.whenResult((end) -> {
			long authorityEnd = leaseEndNanos + this.guards.nanos(order.request().service());
			boolean read = !order.request().sharded() && order.request().requestClass().isIdempotent();
			long until = read ? order.deadlineNanos() : Math.min(order.deadlineNanos(), authorityEnd);
			long restMillis = (until - System.nanoTime()) / NANOS_PER_MILLI;
			boolean certain = !(end instanceof Outcome.Failed failed) || failed.certainlyNotRun();
			if (certain || restMillis <= 0) {
				settled.set(null);
			}
			else {
				this.reactor.delay(Duration.ofMillis(restMillis + 1), () -> settled.set(null));
			}
		});
		return settled;
	}

	private Promise<Outcome> exchange(InstanceId peer, ForwardLink.MessageFactory message, int waitMillis,
			Cancellation cancellation) {
		Optional<PeerAddress> address = this.ownership.get().addresses().find(peer);
		if (address.isEmpty()) {
			return Promise.of(unreachable("the address of %s is unknown".formatted(peer)));
		}
		ForwardLink link = this.links.get(peer);
		if (link == null || link.isClosed() || !link.address().equals(address.get())) {
			link = new ForwardLink(this, peer, address.get());
			this.links.put(peer, link);
		}
		return link.exchange(message, waitMillis, cancellation);
	}

	/**
	 * Returns the last round-trip time that was measured on the link to an instance.
	 * @param instance the instance
	 * @return the time, or 1 ms, as is usual between failure domains, if none was
	 * measured yet
	 */
	Duration roundTrip(InstanceId instance) {
		return this.roundTrips.getOrDefault(instance, Duration.ofMillis(1));
	}

	void onRoundTripMeasured(InstanceId instance, Duration roundTrip) {
		this.roundTrips.put(instance, roundTrip);
	}

	void onLinkClosed(InstanceId peer, ForwardLink link) {
		this.links.remove(peer, link);
	}

	NioReactor reactor() {
		return this.reactor;
	}

	Settings settings() {
		return this.settings;
	}

	CurrentSecrets secrets() {
		return this.secrets;
	}

	EventLog events() {
		return this.events;
	}

	static Outcome unreachable(String detail) {
		return Outcome.failed(new Failure(ErrorKind.NO_OWNER, detail, RETRY_AFTER));
	}

}
