package org.brasspier.core.admission;

import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;

import org.brasspier.core.RequestClass;

/**
 * Which slots of the backend server each class may use. Not thread-safe.
 */
final class SlotAllocation {

	/**
	 * One slot in eight, at least one, is kept for internal calls. Made for circles:
	 * outer calls that fill all slots while each waits for an internal call to this very
	 * server would stall until their deadlines. One slot is enough to get a circle
	 * moving; an eighth lets the internal calls of a full server keep up.
	 */
	private static final int INTERNAL_ONE_IN = 8;

	/**
	 * The share of all requests from which on internal calls have slots kept. A handful
	 * of them, as when a new route is tried out, would cost a server of ten slots a
	 * tenth.
	 */
	private static final double INTERNAL_SHARE = 0.02;

	/** Some 250 requests change the estimate of that share. */
	private static final double SHARE_WEIGHT = 1.0 / 256;

	/**
	 * How long after the last request of a class its slots are kept from others. A server
	 * that has no internal calls, or only audit reads, uses all its slots for what comes.
	 */
	private static final long KEPT_NANOS = Duration.ofMinutes(10).toNanos();

	/** An audit read of up to this length may use a slot kept for internal calls. */
	private static final long BRIEF_NANOS = Duration.ofMillis(200).toNanos();

	private final Map<RequestClass, Integer> taken = new EnumMap<>(RequestClass.class);

	private final Map<RequestClass, Long> lastSeen = new EnumMap<>(RequestClass.class);

	private double internalShare;

	private long seenCount;

	private final SlotDemand shortWork = new SlotDemand();

	private final ServiceTimes times;

	private AdmissionLimits limits;

	private ConcurrencyLimit observed;

	SlotAllocation(AdmissionLimits limits, ServiceTimes times) {
		this.limits = limits;
		this.times = times;
		this.observed = new ConcurrencyLimit(limits.concurrency());
	}

	void limits(AdmissionLimits announced) {
		if (announced.concurrency() != this.limits.concurrency()) {
			this.observed = new ConcurrencyLimit(announced.concurrency());
		}
		this.limits = announced;
	}

	void onOffered(RequestClass requestClass, long now) {
		this.lastSeen.put(requestClass, now);
		double internal = (requestClass == RequestClass.INTERNAL) ? 1 : 0;
		this.seenCount++;
		double weight = Math.max(SHARE_WEIGHT, 1.0 / this.seenCount);
		this.internalShare += weight * (internal - this.internalShare);
	}

	void take(RequestClass requestClass, long now) {
		this.taken.merge(requestClass, 1, Integer::sum);
		if (isShort(requestClass)) {
			this.shortWork.change(1, now);
		}
	}

	void release(RequestClass requestClass, long now) {
		this.taken.merge(requestClass, -1, Integer::sum);
		if (isShort(requestClass)) {
			this.shortWork.change(-1, now);
		}
	}

	private static boolean isShort(RequestClass requestClass) {
		return requestClass == RequestClass.LOOKUP || requestClass == RequestClass.POSTING;
	}

	int limit() {
		return this.observed.limit();
	}

	ConcurrencyLimit observed() {
		return this.observed;
	}

	boolean hasFreeSlot(RequestClass requestClass, long now) {
		int total = this.taken.values().stream().mapToInt(Integer::intValue).sum();
		if (total >= limit()) {
			return false;
		}
		return switch (requestClass) {
			case INTERNAL -> true;
			case LOOKUP, POSTING -> mayWait() < limit() - reservedForInternal(now);
			case AUDIT -> auditFree(now);
		};
	}

	// The outer calls that may be waiting for an internal call.
	private int mayWait() {
		return used(RequestClass.LOOKUP) + used(RequestClass.POSTING);
	}

	private int reservedForInternal(long now) {
		boolean keep = limit() > 1 && recent(RequestClass.INTERNAL, now) && this.internalShare >= INTERNAL_SHARE;
		return keep ? Math.max(1, limit() / INTERNAL_ONE_IN) : 0;
	}

	// Long and short work mixed: a lookup that comes must not find all slots taken by
	// long
	// audit reads. Half of what the short work uses on average stays free of them: what
	// waits goes before them, so that many slots that turn over soon are enough, and more
	// would rest while audit readers wait. One slot is always the auditors', one the
	// others'. Brief audit reads may use slots kept for internal calls: they call nobody,
	// so they end by themselves, and what a circle waits for is a brief read at most.
	private boolean auditFree(long now) {
		boolean brief = this.times.mean(RequestClass.AUDIT) <= BRIEF_NANOS;
		int open = limit() - (brief ? 0 : reservedForInternal(now));
		int others = (int) Math.max(1, Math.round(this.shortWork.mean(now) / 2));
		return mayWait() + used(RequestClass.AUDIT) < open && used(RequestClass.AUDIT) < Math.max(1, open - others);
	}

	private boolean recent(RequestClass requestClass, long now) {
		Long seen = this.lastSeen.get(requestClass);
		return seen != null && now - seen < KEPT_NANOS;
	}

	private int used(RequestClass requestClass) {
		return this.taken.getOrDefault(requestClass, 0);
	}

}
