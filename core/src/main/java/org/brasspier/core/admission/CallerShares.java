package org.brasspier.core.admission;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

import org.brasspier.core.CallerId;

/**
 * Selects the next caller, so that no single caller, such as a client office or a bank,
 * can starve the others: start-time fair queueing over the slot time used by each caller.
 * Not thread-safe.
 */
final class CallerShares {

	/**
	 * The number of callers remembered. A caller that was evicted starts level with the
	 * others, which is harmless; the limit prevents made-up caller names from filling
	 * memory.
	 */
	private static final int MAX_CALLERS = 256;

	private static final int PERCENT = 100;

	private final Map<CallerId, Double> usedNanos = new LinkedHashMap<>(16, 0.75f, true) {

		@Override
		protected boolean removeEldestEntry(Map.Entry<CallerId, Double> eldest) {
			return size() > MAX_CALLERS;
		}

	};

	private final Map<CallerId, Integer> holding = new HashMap<>();

	private Map<CallerId, Integer> maxPercent = Map.of();

	private double virtualTimeNanos;

	// Sets the largest percentage of the slots that a named caller may hold while others
	// wait.
	void maxPercent(Map<CallerId, Integer> percent) {
		this.maxPercent = Map.copyOf(percent);
	}

	void onStarted(CallerId caller) {
		this.holding.merge(caller, 1, Integer::sum);
	}

	void onEnded(CallerId caller) {
		this.holding.computeIfPresent(caller, (key, count) -> (count > 1) ? count - 1 : null);
	}

	// Limits callers that operators know to cause floods: fair queueing alone would give
	// such a caller an equal share of every burst. One slot is always allowed; otherwise
	// the caller would never be served.
	boolean atLimit(CallerId caller, int slots) {
		Integer percent = this.maxPercent.get(caller);
		int held = this.holding.getOrDefault(caller, 0);
		return percent != null && held >= Math.max(1, slots * percent / PERCENT);
	}

	// Returns the slot time used by a caller, but at least the current virtual time: an
	// inactive caller can't save up slot time and then take all slots at once.
	double virtualUsage(CallerId caller) {
		return Math.max(this.usedNanos.getOrDefault(caller, 0.0), this.virtualTimeNanos);
	}

	void charge(CallerId caller, double nanos) {
		double before = virtualUsage(caller);
		this.virtualTimeNanos = before;
		this.usedNanos.put(caller, before + nanos);
	}

}
