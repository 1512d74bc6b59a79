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
 * Keeps the backend server's grants in step with the lease. A server that checks fences
 * gets no order before it has acknowledged the grant it falls under: it would refuse it.
 * Belongs to the thread of requests.
 */
public final class GrantRenewal {

	/** As often as heartbeats renew the lease; see docs/DESIGN.md, H. */
	private static final long RENEW_NANOS = 150_000_000;

	private static final long NANOS_PER_MILLI = 1_000_000;

	/** A list's end is told in whole milliseconds and read on the server's own clock. */
	private static final long ROUNDING_NANOS = 2 * NANOS_PER_MILLI;

	private final BackendCalls calls;

	private final Supplier<OwnershipSnapshot> ownership;

	private final Supplier<ServiceCatalog> catalog;

	private Set<HeldRange> acknowledged = Set.of();

	private Set<HeldRange> sent = Set.of();

	private Set<HeldRange> unanswered = Set.of();

	/**
	 * Ranges of lists that failed or were forgotten, with when the server's grant ends.
	 */
	private final Map<HeldRange, Long> doubtful = new HashMap<>();

	private Set<HeldRange> wanted = Set.of();

	private @Nullable Sources sources;

	private long acknowledgedUntilNanos;

	private long unansweredUntilNanos;

	private long sentAtNanos;

	private boolean sending;

	/**
	 * Creates a keeper that has granted nothing.
	 * @param calls the way to the backend server
	 * @param ownership what this instance holds and knows now
	 * @param catalog the services as the document in force describes them
	 */
	public GrantRenewal(BackendCalls calls, Supplier<OwnershipSnapshot> ownership, Supplier<ServiceCatalog> catalog) {
		this.calls = calls;
		this.ownership = ownership;
		this.catalog = catalog;
	}

	/**
	 * Forgets what was acknowledged, as when the backend server is lost or refuses a
	 * fence that it was granted.
	 */
	public void forget() {
		doubt(this.acknowledged, this.acknowledgedUntilNanos);
		this.acknowledged = Set.of();
		this.sent = Set.of();
	}

	/**
	 * Whether the server has acknowledged a grant that is still valid.
	 * @param held the range with its fence
	 * @param nowNanos the time, as {@link System#nanoTime()} counts
	 * @return false if an order under it would be refused
	 */
	public boolean acknowledged(HeldRange held, long nowNanos) {
		return nowNanos - this.acknowledgedUntilNanos < 0 && this.acknowledged.contains(held);
	}

	/**
	 * How long the server may still go by a grant of any part of a range: one it
	 * acknowledged, or one in a list that got no answer. A server that was paused may
	 * read such a list when it wakes.
	 * @param held the range with its fence
	 * @param nowNanos the time, as {@link System#nanoTime()} counts
	 * @return the nanoseconds until no grant of it is valid, 0 if none is now
	 */
	public long remainingNanos(HeldRange held, long nowNanos) {
		long acknowledgedFor = overlaps(this.acknowledged, held) ? this.acknowledgedUntilNanos - nowNanos : 0;
		long unansweredFor = overlaps(this.unanswered, held) ? this.unansweredUntilNanos - nowNanos : 0;
		long doubtfulFor = this.doubtful.entrySet()
			.stream()
			.filter((entry) -> overlaps(Set.of(entry.getKey()), held))
			.mapToLong((entry) -> entry.getValue() - nowNanos)
			.max()
			.orElse(0);
		long longest = Math.max(acknowledgedFor, Math.max(unansweredFor, doubtfulFor));
		return (longest > 0) ? longest + ROUNDING_NANOS : 0;
	}

	// A range may have been split or joined since it was granted, under the same fence.
	private static boolean overlaps(Set<HeldRange> granted, HeldRange held) {
		return granted.stream()
			.anyMatch((grant) -> grant.service().equals(held.service()) && grant.fence().equals(held.fence())
					&& overlap(grant.range(), held.range()));
	}

	/**
	 * Sends what has changed, or all anew when it is time. Called every few milliseconds.
	 * @param server what the backend server announced
	 * @param nowNanos the time, as {@link System#nanoTime()} counts
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
		this.calls.grants(GrantList.until(untilNanos, wanted)).whenResult((taken) -> sent(wanted, untilNanos, taken));
	}

	// Looked at 50 times a second, while what it's made from changes now and then.
	private Set<HeldRange> wantedNow(BackendAnnouncement server, OwnershipSnapshot snapshot) {
		Sources now = new Sources(server.service(), snapshot.held(), snapshot.routes(), this.catalog.get());
		if (!now.sameAs(this.sources)) {
			this.sources = now;
			this.wanted = wanted(server, snapshot);
		}
		return this.wanted;
	}

	private void sent(Set<HeldRange> wanted, long untilNanos, boolean taken) {
		this.sending = false;
		this.unanswered = Set.of();
		if (taken && this.sent.equals(wanted)) {
			this.acknowledged = wanted;
			this.acknowledgedUntilNanos = untilNanos;
			return;
		}
		doubt(wanted, untilNanos);
		if (!taken) {
			// It may or may not have them; the next renewal sends all again.
			this.sent = Set.of();
		}
	}

	private void doubt(Set<HeldRange> ranges, long untilNanos) {
		long now = System.nanoTime();
		this.doubtful.values().removeIf((until) -> until - now <= 0);
		ranges.forEach((held) -> this.doubtful.merge(held, untilNanos, Math::max));
	}

	// Where a service is divided by request ids, an order comes under its id's owner's
	// fence, whoever that is, so the server is granted all ranges that are known. Where
	// it
	// is divided by key, only what is held here.
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
	 * What the grants are made from. All but the service are made anew when they change,
	 * so it's enough to look whether they are the same objects.
	 */
	private record Sources(ServiceName service, RouteTable held, RouteTable routes, ServiceCatalog catalog) {

		boolean sameAs(@Nullable Sources other) {
			return other != null && this.service.equals(other.service) && this.held == other.held
					&& this.routes == other.routes && this.catalog == other.catalog;
		}

	}

}
