package org.brasspier.core.admission;

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

	private final Map<CallerId, Double> usedNanos = new LinkedHashMap<>(16, 0.75f, true) {

		@Override
		protected boolean removeEldestEntry(Map.Entry<CallerId, Double> eldest) {
			return size() > MOST_CALLERS;
		}

	};

	private double level;

	// The slot time a caller has had, level with the present turn if it had less: who was
	// away can't save up turns and then take all slots at once.
	double used(CallerId caller) {
		return Math.max(this.usedNanos.getOrDefault(caller, 0.0), this.level);
	}

	void charge(CallerId caller, double nanos) {
		double before = used(caller);
		this.level = before;
		this.usedNanos.put(caller, before + nanos);
	}

}
