package org.brasspier.core.keys;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Decides which grants and releases to send to the backend server beside this daemon, and
 * keeps its {@link GrantTracker} by what comes of them. All times are nanoseconds of a
 * clock that also runs while the machine is suspended. Not thread-safe.
 */
public final class GrantCallScheduler {

	/**
	 * The longest time from when a hold is computed to when its call arrives: a
	 * connection may have to be opened first.
	 */
	private static final long ARRIVAL_NANOS = Duration.ofMillis(500).toNanos();

	/** A grant is renewed as soon as that makes it last so much longer. */
	private static final long RENEWAL_GAIN_NANOS = Duration.ofMillis(1500).toNanos();

	/** Until a call that failed is sent again. */
	private static final long RETRY_NANOS = Duration.ofMillis(150).toNanos();

	/**
	 * Grants under way at once. Each has a connection of its own, and those count toward
	 * what the backend server accepts.
	 */
	private static final int MOST_GRANTS = 8;

	private final GrantTracker book;

	private final Set<GrantCall> pending = new HashSet<>();

	private final Map<KeySpan, Long> retryNanos = new HashMap<>();

	private final Set<KeySpan> superseded = new HashSet<>();

	private boolean begun;

	/**
	 * Creates the calls of a process that has sent none.
	 * @param book what was granted
	 */
	public GrantCallScheduler(GrantTracker book) {
		this.book = book;
	}

	/**
	 * Says which calls to send now. Each of them must be followed by one of the other
	 * methods once its outcome is known.
	 * @param map who holds what
	 * @param life the life of the backend server
	 * @param leaseNanos how long this instance's lease goes on
	 * @param now the time
	 * @return the calls, the most urgent first
	 */
	public List<GrantCall> dueCalls(KeyMap map, BackendIncarnation life, long leaseNanos, long now) {
		if (!this.begun) {
			this.begun = true;
			this.book.recordPredecessorGrants();
		}
		List<KeyHolding> own = this.book.applyMap(map, life);
		this.retryNanos.values().removeIf((until) -> until - now <= 0);
		this.superseded.removeIf((span) -> own.stream().noneMatch((held) -> held.span().equals(span)));
		List<GrantCall> calls = new ArrayList<>();
		own.stream()
			.filter((held) -> held.nextHolder().isPresent() && free(held.span()) && !this.book.wasReleased(held))
			.forEach((held) -> calls.add(release(held, now)));
		long hold = this.book.holdNanos(leaseNanos - ARRIVAL_NANOS);
		if (hold > 0) {
			long room = MOST_GRANTS - this.pending.stream().filter((call) -> call instanceof GrantCall.Grant).count();
			own.stream()
				.filter((held) -> held.nextHolder().isEmpty() && free(held.span()))
				.filter((held) -> now + hold - this.book.usableUntilNanos(held, now) >= Math.min(hold,
						RENEWAL_GAIN_NANOS))
				.sorted(Comparator.comparingLong((held) -> this.book.usableUntilNanos(held, now)))
				.limit(Math.max(0, room))
				.forEach((held) -> calls.add(grant(held, hold)));
		}
		this.pending.addAll(calls);
		return calls;
	}

	private boolean free(KeySpan span) {
		return !this.retryNanos.containsKey(span)
				&& this.pending.stream().noneMatch((call) -> call.span().overlaps(span));
	}

	private GrantCall release(KeyHolding held, long now) {
		this.book.stopUsing(held.span(), now);
		return new GrantCall.Release(held.incarnation(), held.span(), held.fence());
	}

	private GrantCall grant(KeyHolding held, long hold) {
		return new GrantCall.Grant(held.incarnation(), held.span(), held.fence(), this.book.handover(held),
				Duration.ofNanos(hold));
	}

	/**
	 * Takes that a grant was accepted.
	 * @param call the grant
	 * @param sentNanos when it was sent
	 * @param now the time
	 */
	public void onGranted(GrantCall.Grant call, long sentNanos, long now) {
		this.pending.remove(call);
		this.superseded.remove(call.span());
		this.book.recordGrant(call, sentNanos, now);
	}

	/**
	 * Takes that the backend server has seen a higher fence on one of the keys, so that
	 * the grant did not take effect.
	 * @param call the grant
	 * @param now the time
	 */
	public void onSuperseded(GrantCall.Grant call, long now) {
		this.pending.remove(call);
		this.superseded.add(call.span());
		this.book.stopUsing(call.span(), now);
		this.retryNanos.put(call.span(), now + RETRY_NANOS);
	}

	/**
	 * Whether a holding needs a higher fence before its backend server accepts it.
	 * @param held the holding
	 * @return true if its latest grant was superseded
	 */
	public boolean needsNewFence(KeyHolding held) {
		return this.superseded.contains(held.span());
	}

	/**
	 * Takes that a release was answered: no work on the keys is running.
	 * @param call the release
	 * @param handover what goes to the next holder; empty if nothing
	 */
	public void onReleased(GrantCall.Release call, String handover) {
		this.pending.remove(call);
		this.book.released(call.span(), handover);
	}

	/**
	 * Takes that a call was sent and not answered. A grant may still take effect, even
	 * after a later release, for as long as it would have lasted.
	 * @param call the call
	 * @param now the time
	 */
	public void onUnanswered(GrantCall call, long now) {
		this.pending.remove(call);
		this.retryNanos.put(call.span(), now + RETRY_NANOS);
		if (call instanceof GrantCall.Grant grant) {
			this.book.recordUnansweredGrant(grant, now);
		}
	}

	/**
	 * Takes that a call was never sent.
	 * @param call the call
	 * @param now the time
	 */
	public void onNotSent(GrantCall call, long now) {
		this.pending.remove(call);
		this.retryNanos.put(call.span(), now + RETRY_NANOS);
	}

	/**
	 * Whether a grant of any of these keys is under way, so that nobody knows whether
	 * they are held.
	 * @param span the keys
	 * @return true if so
	 */
	public boolean isGrantPending(KeySpan span) {
		return this.pending.stream().anyMatch((call) -> call instanceof GrantCall.Grant && call.span().overlaps(span));
	}

}
