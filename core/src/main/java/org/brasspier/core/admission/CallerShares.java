package org.brasspier.core.admission;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

import org.brasspier.core.CallerId;

/**
 * Which caller is next, so that one client office or bank can't crowd the others out:
 * start-time fair queueing over the slot time that each caller used. Not thread-safe.
 */
final class CallerShares {

	/**
	 * The number of callers remembered. A forgotten one starts level with the others,
	 * which is harmless; the bound keeps made-up caller names from filling memory.
	 */
	private static final int MOST_CALLERS = 256;

	private static final int WHOLE_PERCENT = 100;

	private final Map<CallerId, Double> usedNanos = new LinkedHashMap<>(16, 0.75f, true) {

		@Override
		protected boolean removeEldestEntry(Map.Entry<CallerId, Double> eldest) {
			return size() > MOST_CALLERS;
		}

	};

	private final Map<CallerId, Integer> holding = new HashMap<>();

	private Map<CallerId, Integer> maxPercent = Map.of();

	private double virtualTimeNanos;

	// The most of the slots that a named caller may hold while others wait, in percent.
	void maxPercent(Map<CallerId, Integer> percent) {
		this.maxPercent = Map.copyOf(percent);
	}

	void onStarted(CallerId caller) {
		this.holding.merge(caller, 1, Integer::sum);
	}

	void onEnded(CallerId caller) {
		this.holding.computeIfPresent(caller, (key, count) -> (count > 1) ? count - 1 : null);
	}

	// Made for an office that operators know to flood: turns alone would leave it an
	// equal
	// share of every burst. It always gets one slot, or it could never be served.
	boolean atLimit(CallerId caller, int slots) {
		Integer percent = this.maxPercent.get(caller);
		int held = this.holding.getOrDefault(caller, 0);
		return percent != null && held >= Math.max(1, slots * percent / WHOLE_PERCENT);
	}

	// The slot time a caller has had, level with the present turn if it had less: who was
	// away can't save up turns and then take all slots at once.
	double used(CallerId caller) {
		return Math.max(this.usedNanos.getOrDefault(caller, 0.0), this.virtualTimeNanos);
	}

	void charge(CallerId caller, double nanos) {
		double before = used(caller);
		this.virtualTimeNanos = before;
		this.usedNanos.put(caller, before + nanos);
	}

}
