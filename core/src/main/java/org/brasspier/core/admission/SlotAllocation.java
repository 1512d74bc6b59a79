package org.brasspier.core.admission;

import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;

import org.brasspier.core.RequestClass;

/**
 * Determines which slots of the backend server each class may use. Not thread-safe.
 */
final class SlotAllocation {

	/**
	 * One slot in eight, at least one, is reserved for internal calls, to prevent
	 * deadlocks: if outer calls filled all slots while each of them waits for an internal
	 * call to the same server, they would stall until their deadlines. One slot resolves
	 * such a cycle; an eighth lets the internal calls of a full server keep up.
	 */
	private static final int SLOTS_PER_INTERNAL_SLOT = 8;

	/**
	 * Share of the slots that may be reserved for observed calls. The other half remains
	 * for requests of callers, which would otherwise not be served at all while calls
	 * alone ask for more than the server's capacity.
	 */
	private static final double MAX_CALL_SHARE = 0.5;

	/**
	 * Share of internal calls in all requests from which slots are reserved for them.
	 * Reserving for a handful of calls, such as a trial of a new route, would cost a
	 * server of ten slots a tenth of its capacity.
	 */
	private static final double MIN_INTERNAL_SHARE = 0.02;

	/** Weight of a new request in that share: about 250 requests change the estimate. */
	private static final double SHARE_WEIGHT = 1.0 / 256;

	/**
	 * How long the slots of a class remain reserved after its last request. A server
	 * without internal calls, or with audit reads only, uses all its slots for the
	 * requests it receives.
	 */
	private static final long RESERVATION_NANOS = Duration.ofMinutes(10).toNanos();

	/**
	 * Longest mean duration of audit reads that may use slots reserved for internal
	 * calls.
	 */
	private static final long BRIEF_AUDIT_NANOS = Duration.ofMillis(200).toNanos();

	private final Map<RequestClass, Integer> taken = new EnumMap<>(RequestClass.class);

	private final Map<RequestClass, Long> lastOfferedNanos = new EnumMap<>(RequestClass.class);

	private double internalShare;

	private long offeredCount;

	private final SlotDemand shortRequestDemand = new SlotDemand();

	private final SlotDemand callDemand = new SlotDemand();

	private boolean callsKnown;

	private final ServiceTimes times;

	private AdmissionLimits limits;

	private ConcurrencyLimit concurrencyLimit;

	SlotAllocation(AdmissionLimits limits, ServiceTimes times) {
		this.limits = limits;
		this.times = times;
		this.concurrencyLimit = new ConcurrencyLimit(limits.concurrency());
	}

	void limits(AdmissionLimits announced) {
		if (announced.concurrency() != this.limits.concurrency()) {
			this.concurrencyLimit = new ConcurrencyLimit(announced.concurrency());
		}
		this.limits = announced;
	}

	void onOffered(RequestClass requestClass, long now) {
		this.lastOfferedNanos.put(requestClass, now);
		double internal = (requestClass == RequestClass.INTERNAL) ? 1 : 0;
		this.offeredCount++;
		double weight = Math.max(SHARE_WEIGHT, 1.0 / this.offeredCount);
		this.internalShare += weight * (internal - this.internalShare);
	}

	void take(RequestClass requestClass, long now) {
		this.taken.merge(requestClass, 1, Integer::sum);
		observeCalls(requestClass, 1, now);
		if (isShort(requestClass)) {
			this.shortRequestDemand.change(1, now);
		}
	}

	void release(RequestClass requestClass, long now) {
		this.taken.merge(requestClass, -1, Integer::sum);
		observeCalls(requestClass, -1, now);
		if (isShort(requestClass)) {
			this.shortRequestDemand.change(-1, now);
		}
	}

	private void observeCalls(RequestClass requestClass, int change, long now) {
		if (requestClass == RequestClass.INTERNAL) {
			this.callDemand.change(change, now);
		}
	}

	void callsKnown(boolean known) {
		this.callsKnown = known;
	}

	private static boolean isShort(RequestClass requestClass) {
		return requestClass == RequestClass.LOOKUP || requestClass == RequestClass.POSTING;
	}

	int limit() {
		return this.concurrencyLimit.limit();
	}

	ConcurrencyLimit concurrencyLimit() {
		return this.concurrencyLimit;
	}

	boolean hasFreeSlot(RequestClass requestClass, long now) {
		int total = this.taken.values().stream().mapToInt(Integer::intValue).sum();
		if (total >= limit()) {
			return false;
		}
		return switch (requestClass) {
			case INTERNAL -> true;
			case LOOKUP, POSTING -> outerCalls() < limit() - reservedForInternal(now);
			case AUDIT -> hasFreeAuditSlot(now);
		};
	}

	// Counts the outer calls, which may be waiting for an internal call.
	private int outerCalls() {
		return used(RequestClass.LOOKUP) + used(RequestClass.POSTING);
	}

	// Observed calls get the slots that they needed on average; more would often be idle.
	int reservedForInternal(long now) {
		int fixed = fixedReservation(now);
		if (!this.callsKnown || fixed == 0) {
			return fixed;
		}
		double need = Math.ceil(this.callDemand.mean(now));
		return Math.max(fixed, (int) Math.min(need, limit() * MAX_CALL_SHARE));
	}

	private int fixedReservation(long now) {
		boolean reserve = limit() > 1 && offeredRecently(RequestClass.INTERNAL, now)
				&& this.internalShare >= MIN_INTERNAL_SHARE;
		return reserve ? Math.max(1, limit() / SLOTS_PER_INTERNAL_SLOT) : 0;
	}

	// Mixes long and short requests: a new lookup must not find all slots taken by long
	// audit reads. Half of the average slot demand of short requests stays free of audit
	// reads. Waiting short requests have priority, so that number of quickly released
	// slots is sufficient, and more would be idle while audit readers wait. One slot is
	// always available to audit reads and one to the other classes. Brief audit reads may
	// use slots reserved for internal calls: they call no other service, so they always
	// end, and a cycle waits for one brief read at most.
	private boolean hasFreeAuditSlot(long now) {
		boolean brief = this.times.mean(RequestClass.AUDIT) <= BRIEF_AUDIT_NANOS;
		int available = limit() - (brief ? 0 : reservedForInternal(now));
		int reservedForShort = (int) Math.max(1, Math.round(this.shortRequestDemand.mean(now) / 2));
		return outerCalls() + used(RequestClass.AUDIT) < available
				&& used(RequestClass.AUDIT) < Math.max(1, available - reservedForShort);
	}

	private boolean offeredRecently(RequestClass requestClass, long now) {
		Long seen = this.lastOfferedNanos.get(requestClass);
		return seen != null && now - seen < RESERVATION_NANOS;
	}

	private int used(RequestClass requestClass) {
		return this.taken.getOrDefault(requestClass, 0);
	}

}
