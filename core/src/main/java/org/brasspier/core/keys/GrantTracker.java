package org.brasspier.core.keys;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.brasspier.core.InstanceId;

/**
 * Tracks which keys this instance has granted to its local backend server, and which ones
 * the server has released. A key may move to another holder only after the server has
 * confirmed its release, after the server has restarted as another incarnation, or after
 * the latest grant has expired by any clock. All times are nanoseconds of a clock that
 * also runs while the machine is suspended. Not thread-safe.
 */
public final class GrantTracker {

	/**
	 * A shorter hold would expire before the next heartbeat and is not granted.
	 */
	private static final long MIN_HOLD_NANOS = Duration.ofMillis(300).toNanos();

	/**
	 * Time for the answer to reach the server and be applied. Earlier requests would
	 * overtake the grant and be rejected.
	 */
	private static final long GRANT_DELAY_NANOS = Duration.ofMillis(4).toNanos();

	private final InstanceId self;

	private final LeaseTiming timing;

	private final long startedNanos;

	private Map<KeySpan, Granted> granted = new HashMap<>();

	private Map<KeySpan, String> releasedSpans = new HashMap<>();

	private final List<UnansweredGrant> unansweredGrants = new ArrayList<>();

	/**
	 * Creates a tracker without grants. A previous process may have granted any keys
	 * until now.
	 * @param self this instance
	 * @param timing the lease and grant durations
	 * @param now the current time, in nanoseconds
	 */
	public GrantTracker(InstanceId self, LeaseTiming timing, long now) {
		this.self = self;
		this.timing = timing;
		this.startedNanos = now;
	}

	/**
	 * Answers a heartbeat.
	 * @param map the current key map
	 * @param report what the server reports
	 * @param leaseNanos remaining time of this instance's lease
	 * @param now arrival time of the heartbeat
	 * @return the keys to hold; empty if this instance may not answer, so that nothing is
	 * renewed and nothing is withdrawn
	 */
	public Optional<GrantAnswer> answerHeartbeat(KeyMap map, HoldReport report, long leaseNanos, long now) {
		List<KeyHolding> own = applyMap(map, report.incarnation());
		noteReleases(own, report);
		long hold = holdNanos(leaseNanos);
		if (hold == 0) {
			return Optional.empty();
		}
		List<KeyGrant> grants = new ArrayList<>();
		for (KeyHolding held : own) {
			if (held.nextHolder().isPresent()) {
				stopUsing(held.span(), now);
			}
			else {
				// The server may have released keys before their move was cancelled.
				this.releasedSpans.remove(held.span());
				grants.add(new KeyGrant(held.span(), held.fence(), held.handover()));
				grant(held, report, now, hold);
			}
		}
		return Optional.of(new GrantAnswer(grants, Duration.ofNanos(hold)));
	}

	/**
	 * Returns the hold time that may be granted now.
	 * @param leaseNanos remaining time of this instance's lease
	 * @return nanoseconds; 0 if it would be too short
	 */
	long holdNanos(long leaseNanos) {
		long hold = Math.min(this.timing.hold().toNanos(), this.timing.minusDrift(leaseNanos));
		return (hold < MIN_HOLD_NANOS) ? 0 : hold;
	}

	/**
	 * Applies the current key map.
	 * @param map the current key map
	 * @param incarnation the incarnation of the backend server
	 * @return the holdings of this incarnation
	 */
	List<KeyHolding> applyMap(KeyMap map, BackendIncarnation incarnation) {
		List<KeyHolding> own = map.heldBy(this.self)
			.stream()
			.filter((held) -> held.incarnation().equals(incarnation))
			.toList();
		carryOver(own);
		return own;
	}

	// Returns when a holding expires unless it is granted again.
	long usableUntilNanos(KeyHolding held, long now) {
		return Optional.ofNullable(this.granted.get(held.span()))
			.filter((grant) -> grant.fence == held.fence().value() && grant.isLive(now))
			.map(Granted::endNanos)
			.orElse(now);
	}

	// Returns the handover to send with a grant. Keys that were released before their
	// move was cancelled keep the handover of their own server.
	String handover(KeyHolding held) {
		return this.releasedSpans.getOrDefault(held.span(), held.handover());
	}

	boolean wasReleased(KeyHolding held) {
		return this.releasedSpans.containsKey(held.span());
	}

	// The hold began at some time between sending the call and receiving its answer.
	void recordGrant(GrantCall.Grant call, long sentNanos, long now) {
		long hold = call.hold().toNanos();
		Granted before = this.granted.get(call.span());
		long expired = now + this.timing.plusDrift(hold);
		if (before != null && before.expiredNanos - expired > 0) {
			expired = before.expiredNanos;
		}
		this.releasedSpans.remove(call.span());
		this.granted.put(call.span(), new Granted(call.fence().value(), now, sentNanos + hold, expired));
	}

	void recordRelease(KeySpan span, String handover) {
		this.releasedSpans.put(span, handover);
	}

	// The hold starts when the call arrives, which was before the call was abandoned.
	void recordUnansweredGrant(GrantCall.Grant call, long now) {
		this.unansweredGrants.add(new UnansweredGrant(call.span(), now + this.timing.plusDrift(call.hold().toNanos())));
	}

	// A previous process may have sent grants that were never answered.
	void recordPredecessorGrants() {
		KeySpan all = new KeySpan(0, KeySpan.LAST_KEY);
		this.unansweredGrants
			.add(new UnansweredGrant(all, this.startedNanos + this.timing.plusDrift(this.timing.hold().toNanos())));
	}

	// The server releases every key that an answer leaves out, so it must receive no more
	// requests for the key from then on. Until then it continues to serve the keys:
	// stopping when the move is planned would leave them unserved for another half of the
	// heartbeat interval.
	void stopUsing(KeySpan span, long now) {
		this.granted.computeIfPresent(span, (key, grant) -> grant.endingBy(now));
	}

	private void grant(KeyHolding held, HoldReport report, long now, long hold) {
		Granted before = this.granted.get(held.span());
		boolean known = report.holds(held.span(), held.fence())
				|| before != null && before.fence == held.fence().value() && before.isLive(now);
		long usable = known ? now : now + GRANT_DELAY_NANOS;
		if (known && before != null) {
			usable = Math.min(before.usableNanos, now);
		}
		this.granted.put(held.span(),
				new Granted(held.fence().value(), usable, now + hold, now + this.timing.plusDrift(hold)));
	}

	private void noteReleases(List<KeyHolding> own, HoldReport report) {
		for (KeyHolding held : own) {
			boolean leaving = held.nextHolder().isPresent();
			if (leaving && !report.holdsAny(held.span())) {
				report.released(held.span()).ifPresent((handover) -> this.releasedSpans.put(held.span(), handover));
			}
		}
	}

	// Spans are split and merged while they are held. State of a span applies to each of
	// its parts, and a whole has a state only if all its parts have it.
	private void carryOver(List<KeyHolding> own) {
		Map<KeySpan, Granted> newGrants = new HashMap<>();
		Map<KeySpan, String> newReleases = new HashMap<>();
		for (KeyHolding held : own) {
			this.granted.entrySet()
				.stream()
				.filter((entry) -> entry.getKey().overlaps(held.span()))
				.map(Map.Entry::getValue)
				.reduce(Granted::merge)
				.ifPresent((joined) -> newGrants.put(held.span(), joined));
			this.releasedSpans.entrySet()
				.stream()
				.filter((entry) -> entry.getKey().covers(held.span()))
				.map(Map.Entry::getValue)
				.findFirst()
				.ifPresent((handover) -> newReleases.put(held.span(), handover));
		}
		this.granted = newGrants;
		this.releasedSpans = newReleases;
	}

	/**
	 * Returns whether a request for a key may be sent to the server now.
	 * @param key the key
	 * @param holding the holding that contains the key
	 * @param incarnation the server's incarnation
	 * @param now the current time, in nanoseconds
	 * @return true if the server holds the key under the holding's fence
	 */
	public boolean usable(int key, KeyHolding holding, BackendIncarnation incarnation, long now) {
		boolean own = holding.holder().equals(this.self) && holding.incarnation().equals(incarnation);
		if (!own) {
			return false;
		}
		for (Map.Entry<KeySpan, Granted> entry : this.granted.entrySet()) {
			Granted grant = entry.getValue();
			if (entry.getKey().contains(key) && grant.fence == holding.fence().value() && now >= grant.usableNanos
					&& grant.isLive(now)) {
				return true;
			}
		}
		return false;
	}

	/**
	 * Returns the handover if the server has definitely released a holding, so that the
	 * holding may move to another holder.
	 * @param holding a holding of this instance
	 * @param now the current time, in nanoseconds
	 * @return the handover, an empty string if there is none; empty if the server may
	 * still hold the keys
	 */
	public Optional<String> released(KeyHolding holding, long now) {
		this.unansweredGrants.removeIf((grant) -> now - grant.expiredNanos >= 0);
		if (this.unansweredGrants.stream().anyMatch((grant) -> grant.span.overlaps(holding.span()))) {
			return Optional.empty();
		}
		String handover = this.releasedSpans.get(holding.span());
		if (handover != null) {
			return Optional.of(handover);
		}
		long unknown = this.startedNanos + this.timing.plusDrift(this.timing.hold().toNanos());
		long expired = this.granted.entrySet()
			.stream()
			.filter((entry) -> entry.getKey().overlaps(holding.span()))
			.mapToLong((entry) -> entry.getValue().expiredNanos)
			.reduce(unknown, (one, other) -> (one - other > 0) ? one : other);
		return (now - expired >= 0) ? Optional.of("") : Optional.empty();
	}

	/**
	 * An unanswered grant, which may take effect at any time until it would have expired.
	 *
	 * @param span its keys
	 * @param expiredNanos when it has expired by any clock
	 */
	private record UnansweredGrant(KeySpan span, long expiredNanos) {
	}

	/**
	 * A grant.
	 *
	 * @param fence its fence
	 * @param usableNanos when the server may first receive requests under it
	 * @param endNanos when it expires by the local clock
	 * @param expiredNanos when it has expired by any clock
	 */
	private record Granted(long fence, long usableNanos, long endNanos, long expiredNanos) {

		boolean isLive(long now) {
			return now < this.endNanos;
		}

		Granted endingBy(long now) {
			return new Granted(this.fence, this.usableNanos, Math.min(this.endNanos, now), this.expiredNanos);
		}

		// Combines the grants of the parts of a span: usable once all parts are, and
		// expired for certain only once the last part is.
		Granted merge(Granted other) {
			boolean same = this.fence == other.fence;
			return new Granted(same ? this.fence : -1, Math.max(this.usableNanos, other.usableNanos),
					Math.min(this.endNanos, other.endNanos), Math.max(this.expiredNanos, other.expiredNanos));
		}

	}

}
