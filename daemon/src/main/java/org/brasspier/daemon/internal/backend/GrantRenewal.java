package org.brasspier.daemon.internal.backend;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.brasspier.core.KeyRange;
import org.brasspier.core.ServiceName;
import org.brasspier.core.document.ServiceCatalog;
import org.brasspier.core.ownership.HeldRange;
import org.brasspier.core.routing.Assignment;
import org.brasspier.core.routing.OwnershipSnapshot;
import org.brasspier.core.routing.RouteTable;
import org.jspecify.annotations.Nullable;

/**
 * Renews the grants of the backend server along with the lease. A server that checks
 * fences gets no request before it has acknowledged the grant that covers it, since it
 * would reject the request. Not thread-safe; confined to the request thread.
 */
public final class GrantRenewal {

	/** The interval at which heartbeats renew the lease; see docs/DESIGN.md, H. */
	private static final long RENEW_NANOS = 150_000_000;

	private static final long NANOS_PER_MILLI = 1_000_000;

	/**
	 * The validity is sent in whole milliseconds and measured by the server's own clock.
	 */
	private static final long ROUNDING_NANOS = 2 * NANOS_PER_MILLI;

	private final BackendCalls calls;

	private final Supplier<OwnershipSnapshot> ownership;

	private final Supplier<ServiceCatalog> catalog;

	private Set<HeldRange> acknowledged = Set.of();

	private Set<HeldRange> sent = Set.of();

	private Set<HeldRange> unanswered = Set.of();

	/**
	 * Ranges of lists that failed or were forgotten, with the time at which the server's
	 * grant ends.
	 */
	private final Map<HeldRange, Long> uncertain = new HashMap<>();

	private Set<HeldRange> wanted = Set.of();

	private @Nullable Inputs inputs;

	private long acknowledgedUntilNanos;

	private long unansweredUntilNanos;

	private long sentAtNanos;

	private boolean sending;

	/**
	 * Creates a renewal with no grants.
	 * @param calls sends calls to the backend server
	 * @param ownership the current ownership as this instance knows it
	 * @param catalog the services of the document in force
	 */
	public GrantRenewal(BackendCalls calls, Supplier<OwnershipSnapshot> ownership, Supplier<ServiceCatalog> catalog) {
		this.calls = calls;
		this.ownership = ownership;
		this.catalog = catalog;
	}

	/**
	 * Forgets the acknowledged grants, for example when the backend server is lost or
	 * rejects a fence that it was granted.
	 */
	public void forgetAcknowledged() {
		markUncertain(this.acknowledged, this.acknowledgedUntilNanos);
		this.acknowledged = Set.of();
		this.sent = Set.of();
	}

	/**
	 * Returns whether the server has acknowledged a grant that is still valid.
	 * @param held the range with its fence
	 * @param nowNanos current time of {@link System#nanoTime()}
	 * @return false if a request with this fence would be rejected
	 */
	public boolean isAcknowledged(HeldRange held, long nowNanos) {
		return nowNanos - this.acknowledgedUntilNanos < 0 && this.acknowledged.contains(held);
	}

	/**
	 * Returns how long the server may still act on a grant of any part of a range: one it
	 * acknowledged, or one in a list that got no answer. A server that was paused may
	 * read such a list when it resumes.
	 * @param held the range with its fence
	 * @param nowNanos current time of {@link System#nanoTime()}
	 * @return nanoseconds until no grant of the range is valid, 0 if none is valid now
	 */
	public long remainingNanos(HeldRange held, long nowNanos) {
		long acknowledgedFor = overlaps(this.acknowledged, held) ? this.acknowledgedUntilNanos - nowNanos : 0;
		long unansweredFor = overlaps(this.unanswered, held) ? this.unansweredUntilNanos - nowNanos : 0;
		long uncertainFor = this.uncertain.entrySet()
			.stream()
			.filter((entry) -> overlaps(Set.of(entry.getKey()), held))
			.mapToLong((entry) -> entry.getValue() - nowNanos)
			.max()
			.orElse(0);
		long longest = Math.max(acknowledgedFor, Math.max(unansweredFor, uncertainFor));
		return (longest > 0) ? longest + ROUNDING_NANOS : 0;
	}

	// A range may have been split or merged under the same fence since it was granted.
	private static boolean overlaps(Set<HeldRange> granted, HeldRange held) {
		return granted.stream()
			.anyMatch((grant) -> grant.service().equals(held.service()) && grant.fence().equals(held.fence())
					&& overlap(grant.range(), held.range()));
	}

	/**
	 * Sends the grants if they have changed or are due for renewal. Called every few
	 * milliseconds.
	 * @param server the latest announcement of the backend server
	 * @param nowNanos current time of {@link System#nanoTime()}
	 */
	public void renew(BackendAnnouncement server, long nowNanos) {
		OwnershipSnapshot snapshot = this.ownership.get();
		Set<HeldRange> wanted = (snapshot.isLeaseValid(nowNanos)) ? wantedNow(server, snapshot) : Set.of();
		boolean due = nowNanos - this.sentAtNanos >= RENEW_NANOS && !wanted.isEmpty();
		if (this.sending || (wanted.equals(this.sent) && !due)) {
			return;
		}
		this.sending = true;
		this.sent = wanted;
		this.sentAtNanos = nowNanos;
		long untilNanos = snapshot.leaseEndNanos();
		this.unanswered = wanted;
		this.unansweredUntilNanos = untilNanos;
		this.calls.grants(GrantList.until(untilNanos, wanted))
			.whenResult((accepted) -> onAnswer(wanted, untilNanos, accepted));
	}

	// Called 50 times a second, while its inputs change rarely; hence cached.
	private Set<HeldRange> wantedNow(BackendAnnouncement server, OwnershipSnapshot snapshot) {
		Inputs now = new Inputs(server.service(), snapshot.held(), snapshot.routes(), this.catalog.get());
		if (!now.sameAs(this.inputs)) {
			this.inputs = now;
			this.wanted = wanted(server, snapshot);
		}
		return this.wanted;
	}

	private void onAnswer(Set<HeldRange> wanted, long untilNanos, boolean accepted) {
		this.sending = false;
		this.unanswered = Set.of();
		if (accepted && this.sent.equals(wanted)) {
			this.acknowledged = wanted;
			this.acknowledgedUntilNanos = untilNanos;
			return;
		}
		markUncertain(wanted, untilNanos);
		if (!accepted) {
			// The server may or may not have the grants; the next renewal sends all
			// again.
			this.sent = Set.of();
		}
	}

	private void markUncertain(Set<HeldRange> ranges, long untilNanos) {
		long now = System.nanoTime();
		this.uncertain.values().removeIf((until) -> until - now <= 0);
		ranges.forEach((held) -> this.uncertain.merge(held, untilNanos, Math::max));
	}

	// In a service that is sharded by request id, a request carries the fence of
	// whichever instance owns its id, so the server is granted all known ranges. In a
	// service that is sharded by key, the server is granted only the ranges held here.
	private Set<HeldRange> wanted(BackendAnnouncement server, OwnershipSnapshot snapshot) {
		boolean byId = this.catalog.get().isShardedByRequestId(server.service());
		List<Assignment> own = snapshot.held().assignments(server.service());
		Stream<Assignment> others = snapshot.routes()
			.assignments(server.service())
			.stream()
			.filter((route) -> byId && own.stream().noneMatch((mine) -> overlap(mine.range(), route.range())));
		return Stream.concat(own.stream(), others)
			.map((assignment) -> new HeldRange(server.service(), assignment.range(), assignment.fence()))
			.collect(Collectors.toUnmodifiableSet());
	}

	private static boolean overlap(KeyRange one, KeyRange other) {
		return one.low() < other.high() && other.low() < one.high();
	}

	/**
	 * The inputs of the grants. All but the service are replaced by new objects when they
	 * change, so comparing by identity is enough.
	 */
	private record Inputs(ServiceName service, RouteTable held, RouteTable routes, ServiceCatalog catalog) {

		boolean sameAs(@Nullable Inputs other) {
			return other != null && this.service.equals(other.service) && this.held == other.held
					&& this.routes == other.routes && this.catalog == other.catalog;
		}

	}

}
