package org.brasspier.core.keys;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.brasspier.core.InstanceId;

/**
 * What this instance has granted to the backend server beside it, and what the server has
 * released. A key may go to another holder only if the server said that it released it,
 * if another life of the server has begun, or if the latest grant has run out by any
 * clock. All times are nanoseconds of a clock that also runs while the machine is
 * suspended. Not thread-safe.
 */
public final class GrantTracker {

	/**
	 * A shorter hold would run out before the next heartbeat and is not worth giving.
	 */
	private static final long SHORTEST_HOLD_NANOS = Duration.ofMillis(300).toNanos();

	/**
	 * The way of the answer and its taking by the server; before this a request would
	 * overtake the grant and be rejected.
	 */
	private static final long SETTLE_NANOS = Duration.ofMillis(4).toNanos();

	private final InstanceId self;

	private final LeaseTiming timing;

	private final long startedNanos;

	private Map<KeySpan, Granted> granted = new HashMap<>();

	private Map<KeySpan, String> releasedSpans = new HashMap<>();

	private final List<LateGrant> lateGrants = new ArrayList<>();

	/**
	 * Creates a book with nothing in it. A process before this one may have granted
	 * anything until now.
	 * @param self this instance
	 * @param timing the times
	 * @param now the time
	 */
	public GrantTracker(InstanceId self, LeaseTiming timing, long now) {
		this.self = self;
		this.timing = timing;
		this.startedNanos = now;
	}

	/**
	 * Answers a heartbeat.
	 * @param map who holds what
	 * @param report what the server says
	 * @param leaseNanos how long this instance's lease goes on
	 * @param now when the heartbeat came
	 * @return what it is to hold; empty if nothing may be said, so that nothing is
	 * renewed and nothing is taken away
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
				// It may have released keys that are to stay after all.
				this.releasedSpans.remove(held.span());
				grants.add(new KeyGrant(held.span(), held.fence(), held.handover()));
				grant(held, report, now, hold);
			}
		}
		return Optional.of(new GrantAnswer(grants, Duration.ofNanos(hold)));
	}

	/**
	 * The hold that may be granted now.
	 * @param leaseNanos how long this instance's lease goes on
	 * @return nanoseconds; 0 if it would be too short
	 */
	long holdNanos(long leaseNanos) {
		long hold = Math.min(this.timing.hold().toNanos(), this.timing.minusDrift(leaseNanos));
		return (hold < SHORTEST_HOLD_NANOS) ? 0 : hold;
	}

	/**
	 * Takes the map that is in force.
	 * @param map who holds what
	 * @param life the life of the backend server
	 * @return this life's holdings
	 */
	List<KeyHolding> applyMap(KeyMap map, BackendIncarnation life) {
		List<KeyHolding> own = map.heldBy(this.self)
			.stream()
			.filter((held) -> held.incarnation().equals(life))
			.toList();
		follow(own);
		return own;
	}

	// When a holding can't be used any more unless it is granted again.
	long usableUntilNanos(KeyHolding held, long now) {
		return Optional.ofNullable(this.granted.get(held.span()))
			.filter((grant) -> grant.fence == held.fence().value() && grant.live(now))
			.map(Granted::endNanos)
			.orElse(now);
	}

	// What goes along with a grant. Keys that were released and are to stay after all
	// keep what their server handed over.
	String handover(KeyHolding held) {
		return this.releasedSpans.getOrDefault(held.span(), held.handover());
	}

	boolean wasReleased(KeyHolding held) {
		return this.releasedSpans.containsKey(held.span());
	}

	// The hold began between the sending of the call and its answer.
	void recordGrant(GrantCall.Grant call, long sentNanos, long now) {
		long hold = call.hold().toNanos();
		Granted before = this.granted.get(call.span());
		long certainEnd = now + this.timing.plusDrift(hold);
		if (before != null && before.certainEndNanos - certainEnd > 0) {
			certainEnd = before.certainEndNanos;
		}
		this.releasedSpans.remove(call.span());
		this.granted.put(call.span(), new Granted(call.fence().value(), now, sentNanos + hold, certainEnd));
	}

	void released(KeySpan span, String handover) {
		this.releasedSpans.put(span, handover);
	}

	// It counts from when it arrived, which was before it was given up.
	void recordUnansweredGrant(GrantCall.Grant call, long now) {
		this.lateGrants.add(new LateGrant(call.span(), now + this.timing.plusDrift(call.hold().toNanos())));
	}

	// A process before this one may have sent grants that were not answered.
	void recordPredecessorGrants() {
		KeySpan all = new KeySpan(0, KeySpan.LAST_KEY);
		this.lateGrants
			.add(new LateGrant(all, this.startedNanos + this.timing.plusDrift(this.timing.hold().toNanos())));
	}

	// The server releases what an answer leaves out, so nothing is handed to it after
	// that. Until then it goes on serving the keys: they would be unserved for half a
	// heartbeat's interval more if that ended with the plan.
	void stopUsing(KeySpan span, long now) {
		this.granted.computeIfPresent(span, (key, grant) -> grant.until(now));
	}

	private void grant(KeyHolding held, HoldReport report, long now, long hold) {
		Granted before = this.granted.get(held.span());
		boolean known = report.holds(held.span(), held.fence())
				|| before != null && before.fence == held.fence().value() && before.live(now);
		long usable = known ? now : now + SETTLE_NANOS;
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

	// Spans are cut and joined while they are held: what holds for a span holds for each
	// part of it, and for a whole if it holds for each of its parts.
	private void follow(List<KeyHolding> own) {
		Map<KeySpan, Granted> still = new HashMap<>();
		Map<KeySpan, String> gone = new HashMap<>();
		for (KeyHolding held : own) {
			this.granted.entrySet()
				.stream()
				.filter((entry) -> entry.getKey().overlaps(held.span()))
				.map(Map.Entry::getValue)
				.reduce(Granted::join)
				.ifPresent((joined) -> still.put(held.span(), joined));
			this.releasedSpans.entrySet()
				.stream()
				.filter((entry) -> entry.getKey().covers(held.span()))
				.map(Map.Entry::getValue)
				.findFirst()
				.ifPresent((handover) -> gone.put(held.span(), handover));
		}
		this.granted = still;
		this.releasedSpans = gone;
	}

	/**
	 * Whether a request for a key may be handed to the server now.
	 * @param key the key
	 * @param holding who holds it
	 * @param life the server's life
	 * @param now the time
	 * @return true if the server holds it under that fence
	 */
	public boolean usable(int key, KeyHolding holding, BackendIncarnation life, long now) {
		boolean own = holding.holder().equals(this.self) && holding.incarnation().equals(life);
		return own && this.granted.entrySet()
			.stream()
			.filter((entry) -> entry.getKey().contains(key))
			.map(Map.Entry::getValue)
			.anyMatch((grant) -> grant.fence == holding.fence().value() && now >= grant.usableNanos && grant.live(now));
	}

	/**
	 * Whether the server has certainly released a holding, so that it may go to another
	 * holder.
	 * @param holding a holding of this instance
	 * @param now the time
	 * @return what it handed over, empty text if nothing; empty if it may still hold it
	 */
	public Optional<String> released(KeyHolding holding, long now) {
		this.lateGrants.removeIf((late) -> now - late.certainEndNanos >= 0);
		if (this.lateGrants.stream().anyMatch((late) -> late.span.overlaps(holding.span()))) {
			return Optional.empty();
		}
		String handover = this.releasedSpans.get(holding.span());
		if (handover != null) {
			return Optional.of(handover);
		}
		long unknown = this.startedNanos + this.timing.plusDrift(this.timing.hold().toNanos());
		long until = this.granted.entrySet()
			.stream()
			.filter((entry) -> entry.getKey().overlaps(holding.span()))
			.mapToLong((entry) -> entry.getValue().certainEndNanos)
			.reduce(unknown, (one, other) -> (one - other > 0) ? one : other);
		return (now - until >= 0) ? Optional.of("") : Optional.empty();
	}

	/**
	 * A grant without an answer, which may take effect until it would have run out.
	 *
	 * @param span its keys
	 * @param certainEndNanos when it has ended by any clock
	 */
	private record LateGrant(KeySpan span, long certainEndNanos) {
	}

	/**
	 * A grant.
	 *
	 * @param fence its fence
	 * @param usableNanos from when the server has it
	 * @param endNanos when it ends by this clock
	 * @param certainEndNanos when it has ended by any clock
	 */
	private record Granted(long fence, long usableNanos, long endNanos, long certainEndNanos) {

		boolean live(long now) {
			return now < this.endNanos;
		}

		Granted until(long now) {
			return new Granted(this.fence, this.usableNanos, Math.min(this.endNanos, now), this.certainEndNanos);
		}

		// For a span that was granted in parts: usable once all are, and ended for
		// certain only when the last one is.
		Granted join(Granted other) {
			boolean same = this.fence == other.fence;
			return new Granted(same ? this.fence : -1, Math.max(this.usableNanos, other.usableNanos),
					Math.min(this.endNanos, other.endNanos), Math.max(this.certainEndNanos, other.certainEndNanos));
		}

	}

}
