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
 * Sends requests to other daemons, one link for each. Belongs to the thread of requests.
 */
public final class ForwardClient {

	private static final Duration RETRY_SOON = Duration.ofMillis(100);

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
	 * @param reactor the reactor of the thread of requests
	 * @param context this instance, the shared keys and the time line
	 * @param ownership where instances are
	 * @param guards how long orders may outlast the lease they were given under
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
	 * @param owner who owns it
	 * @param request the request, with the time that is left
	 * @param cancellation tells when its caller is gone
	 * @return how it ended; never an exception
	 */
	public Promise<Outcome> forward(InstanceId owner, CallerRequest request, Cancellation cancellation) {
		return exchange(owner, (number, sentNanos) -> new ForwardMessage.Forward(number, request),
				request.remainingMillis(), cancellation);
	}

	/**
	 * Hands an admitted request to the daemon beside the chosen backend server.
	 * @param chosen the instance
	 * @param order the order
	 * @param cancellation tells when its caller is gone
	 * @return its run
	 */
	OrderRun execute(InstanceId chosen, Order order, Cancellation cancellation) {
		long now = System.nanoTime();
		long leaseEnd = order.leaseEndNanos().getAsLong();
		if (leaseEnd - now <= 0) {
			return OrderRun
				.ended(Outcome.failed(new Failure(ErrorKind.NO_OWNER, "the owner's lease ran out", RETRY_SOON)));
		}
		Promise<Outcome> outcome = exchange(chosen, (number, sentNanos) -> execute(order, leaseEnd, number, sentNanos),
				order.remainingMillis(now), cancellation);
		return new OrderRun(outcome, over(order, leaseEnd, outcome));
	}

	// Made when it is sent: its connection may have taken most of a lease to open.
	private static ForwardMessage execute(Order order, long leaseEndNanos, long exchange, long sentNanos) {
		long now = System.nanoTime();
		CallerRequest request = order.request().withRemainingMillis(order.remainingMillis(now));
		int authority = (int) Math.max(0, (leaseEndNanos - now) / NANOS_PER_MILLI);
		return new ForwardMessage.Execute(exchange, request, order.held().range(), order.held().fence(), authority,
				OptionalLong.of(sentNanos));
	}

	// An order whose outcome is unknown may still take effect there: a read without a key
	// until its deadline, any other until the lease it was given under has ended, with
	// the guard.
	private Promise<Void> over(Order order, long leaseEndNanos, Promise<Outcome> outcome) {
		SettablePromise<Void> over = new SettablePromise<>();
		outcome.whenResult((end) -> {
			long authorityEnd = leaseEndNanos + this.guards.nanos(order.request().service());
			boolean read = !order.request().sharded() && order.request().requestClass().isIdempotent();
			long until = read ? order.deadlineNanos() : Math.min(order.deadlineNanos(), authorityEnd);
			long rest = (until - System.nanoTime()) / NANOS_PER_MILLI;
			boolean certain = !(end instanceof Outcome.Failed failed) || failed.certainlyNotRun();
			if (certain || rest <= 0) {
				over.set(null);
			}
			else {
				this.reactor.delay(Duration.ofMillis(rest + 1), () -> over.set(null));
			}
		});
		return over;
	}

	private Promise<Outcome> exchange(InstanceId peer, ForwardLink.Message message, int waitMillis,
			Cancellation cancellation) {
		Optional<PeerAddress> address = this.ownership.get().addresses().find(peer);
		if (address.isEmpty()) {
			return Promise.of(unreachable("the address of %s is unknown".formatted(peer)));
		}
		ForwardLink known = this.links.get(peer);
		if (known == null || known.closed() || !known.address().equals(address.get())) {
			known = new ForwardLink(this, peer, address.get());
			this.links.put(peer, known);
		}
		return known.exchange(message, waitMillis, cancellation);
	}

	/**
	 * The time to an instance and back, as its link measured it last.
	 * @param instance the instance
	 * @return a millisecond if nothing was measured yet, as between failure domains
	 */
	Duration roundTrip(InstanceId instance) {
		return this.roundTrips.getOrDefault(instance, Duration.ofMillis(1));
	}

	void measured(InstanceId instance, Duration roundTrip) {
		this.roundTrips.put(instance, roundTrip);
	}

	void gone(InstanceId peer, ForwardLink link) {
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
		return Outcome.failed(new Failure(ErrorKind.NO_OWNER, detail, RETRY_SOON));
	}

}
