package org.brasspier.core.keys;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Decides which grants and releases to send to the local backend server and updates the
 * {@link GrantTracker} with their outcomes. All times are nanoseconds of a clock that
 * also runs while the machine is suspended. Not thread-safe.
 */
public final class GrantCallScheduler {

	/**
	 * The longest time from the computation of a grant's hold to the arrival of the call
	 * at the backend server. The call may have to open a connection first.
	 */
	private static final long MAX_ARRIVAL_NANOS = Duration.ofMillis(500).toNanos();

	/**
	 * A grant is renewed once the renewal would extend it by at least this time, or by
	 * the whole hold if that is shorter.
	 */
	private static final long RENEWAL_GAIN_NANOS = Duration.ofMillis(1500).toNanos();

	/** Delay before a failed call is retried. */
	private static final long RETRY_NANOS = Duration.ofMillis(150).toNanos();

	/**
	 * Maximum number of grants in flight at once. Each uses a connection of its own, and
	 * these count toward the backend server's connection limit.
	 */
	private static final int MAX_PENDING_GRANTS = 8;

	private final GrantTracker tracker;

	private final Set<GrantCall> pending = new HashSet<>();

	private final Map<KeySpan, Long> retryAtNanos = new HashMap<>();

	private final Set<KeySpan> supersededSpans = new HashSet<>();

	private final SentFences sentFences = new SentFences();

	private boolean started;

	/**
	 * Creates a scheduler for a process that has sent no calls.
	 * @param tracker the grants of this process
	 */
	public GrantCallScheduler(GrantTracker tracker) {
		this.tracker = tracker;
	}

	/**
	 * Records that fences may have been sent to the backend server by a previous process,
	 * or otherwise than by calls.
	 * @param limit the lowest fence that has certainly not been sent
	 */
	public void recordSentBelow(long limit) {
		this.sentFences.recordSentBelow(limit);
	}

	/**
	 * Returns the calls to send now. The outcome of each must be reported by exactly one
	 * of the {@code on} methods, and grants may be sent in the given session only.
	 * @param map the current key map
	 * @param incarnation the incarnation of the backend server
	 * @param session the session in progress; empty if there is none, so that nothing may
	 * be granted
	 * @param leaseNanos remaining time of this instance's lease
	 * @param now the current time, in nanoseconds
	 * @return the calls, the most urgent first
	 */
	public List<GrantCall> dueCalls(KeyMap map, BackendIncarnation incarnation, Optional<ServerSession> session,
			long leaseNanos, long now) {
		if (!this.started) {
			this.started = true;
			this.tracker.recordPredecessorGrants();
		}
		List<KeyHolding> holdings = this.tracker.applyMap(map, incarnation);
		this.retryAtNanos.values().removeIf((retryAt) -> retryAt - now <= 0);
		this.supersededSpans.removeIf((span) -> holdings.stream().noneMatch((held) -> held.span().equals(span)));
		List<GrantCall> calls = new ArrayList<>();
		holdings.stream()
			.filter((held) -> held.nextHolder().isPresent() && isIdle(held.span()) && !this.tracker.wasReleased(held))
			.forEach((held) -> calls.add(release(held, now)));
		session.ifPresent((current) -> calls.addAll(dueGrants(holdings, current.number(), leaseNanos, now)));
		this.pending.addAll(calls);
		return calls;
	}

	private List<GrantCall> dueGrants(List<KeyHolding> holdings, long session, long leaseNanos, long now) {
		long hold = this.tracker.holdNanos(leaseNanos - MAX_ARRIVAL_NANOS);
		if (hold == 0) {
			return List.of();
		}
		long available = MAX_PENDING_GRANTS
				- this.pending.stream().filter((call) -> call instanceof GrantCall.Grant).count();
		List<KeyHolding> due = holdings.stream()
			.filter((held) -> held.nextHolder().isEmpty() && isIdle(held.span()))
			.filter((held) -> this.sentFences.maySend(held.fence(), session))
			.filter((held) -> now + hold - this.tracker.usableUntilNanos(held, now) >= Math.min(hold,
					RENEWAL_GAIN_NANOS))
			.sorted(Comparator.comparingLong((held) -> this.tracker.usableUntilNanos(held, now)))
			.limit(Math.max(0, available))
			.toList();
		due.forEach((held) -> this.sentFences.recordSent(held.fence(), session));
		return due.stream().map((held) -> grant(held, hold)).toList();
	}

	private boolean isIdle(KeySpan span) {
		return !this.retryAtNanos.containsKey(span)
				&& this.pending.stream().noneMatch((call) -> call.span().overlaps(span));
	}

	private GrantCall release(KeyHolding held, long now) {
		this.tracker.stopUsing(held.span(), now);
		return new GrantCall.Release(held.incarnation(), held.span(), held.fence());
	}

	private GrantCall grant(KeyHolding held, long hold) {
		return new GrantCall.Grant(held.incarnation(), held.span(), held.fence(), this.tracker.handover(held),
				Duration.ofNanos(hold));
	}

	/**
	 * Records that a grant was accepted.
	 * @param call the grant
	 * @param sentNanos when it was sent
	 * @param now the current time, in nanoseconds
	 */
	public void onGranted(GrantCall.Grant call, long sentNanos, long now) {
		this.pending.remove(call);
		this.supersededSpans.remove(call.span());
		this.tracker.recordGrant(call, sentNanos, now);
	}

	/**
	 * Records that a grant was rejected because the backend server has seen a higher
	 * fence on one of its keys.
	 * @param call the grant
	 * @param now the current time, in nanoseconds
	 */
	public void onSuperseded(GrantCall.Grant call, long now) {
		this.pending.remove(call);
		this.supersededSpans.add(call.span());
		this.tracker.stopUsing(call.span(), now);
		this.retryAtNanos.put(call.span(), now + RETRY_NANOS);
	}

	/**
	 * Returns whether a holding needs a higher fence before it can be granted: its
	 * backend server has seen a higher one, or its fence was sent in another session. In
	 * the second case a heartbeat is awaited first: if it is of another incarnation, the
	 * keys are given new fences with the change of the incarnation. Keys that are to move
	 * are not granted again and need none.
	 * @param held the holding
	 * @param session the session in progress; empty if there is none
	 * @return true if it needs a higher fence
	 */
	public boolean needsNewFence(KeyHolding held, Optional<ServerSession> session) {
		boolean sentElsewhere = held.nextHolder().isEmpty() && session.filter(ServerSession::heardFrom)
			.filter((current) -> !this.sentFences.maySend(held.fence(), current.number()))
			.isPresent();
		return sentElsewhere || this.supersededSpans.contains(held.span());
	}

	/**
	 * Records that a release was answered: no requests for the keys are running any more.
	 * @param call the release
	 * @param handover token for the next holder; empty if there is none
	 */
	public void onReleased(GrantCall.Release call, String handover) {
		this.pending.remove(call);
		this.tracker.recordRelease(call.span(), handover);
	}

	/**
	 * Records that a call was sent but not answered. A grant may still take effect, even
	 * after a later release, for as long as its hold would have lasted.
	 * @param call the call
	 * @param now the current time, in nanoseconds
	 */
	public void onUnanswered(GrantCall call, long now) {
		this.pending.remove(call);
		this.retryAtNanos.put(call.span(), now + RETRY_NANOS);
		if (call instanceof GrantCall.Grant grant) {
			this.tracker.recordUnansweredGrant(grant, now);
		}
	}

	/**
	 * Records that a call was never sent.
	 * @param call the call
	 * @param now the current time, in nanoseconds
	 */
	public void onNotSent(GrantCall call, long now) {
		this.pending.remove(call);
		this.retryAtNanos.put(call.span(), now + RETRY_NANOS);
	}

	/**
	 * Returns whether a grant of any of these keys is in flight, so that it is unknown
	 * whether they are held.
	 * @param span the keys
	 * @return true if one is in flight
	 */
	public boolean isGrantPending(KeySpan span) {
		return this.pending.stream().anyMatch((call) -> call instanceof GrantCall.Grant && call.span().overlaps(span));
	}

}
