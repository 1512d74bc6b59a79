package org.brasspier.core.mesh;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Detects requests that can no longer be answered within their target latency because
 * their callers were refused before and have retried. A request does not state when its
 * caller first sent it, only how long the caller still waits; callers of one route have
 * about equal time-outs. It matters under overload: serving a late request in place of
 * one that could be answered in time makes both late. Not thread-safe.
 */
public final class OverdueRequestDetector {

	/**
	 * By how many target latencies a request must have less time left than others of its
	 * route: one for the target that has passed, and one for callers whose time-outs are
	 * shorter.
	 */
	private static final int OVERDUE_TARGETS = 2;

	/**
	 * The decay of the longest time with each request, so that it adapts to the callers.
	 */
	private static final double DECAY = 0.9995;

	private static final int MAX_ROUTES = 512;

	private final Map<String, Double> longestMillis = new LinkedHashMap<>(16, 0.75f, true) {

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Double> eldest) {
			return size() > MAX_ROUTES;
		}

	};

	/**
	 * Records a request and decides whether it is overdue.
	 * @param route its route
	 * @param remainingMillis how long its caller still waits, in milliseconds
	 * @return true if it can no longer be answered within its target latency
	 */
	public boolean isOverdue(RouteRule route, int remainingMillis) {
		double known = this.longestMillis.getOrDefault(route.name(), 0.0) * DECAY;
		double longest = Math.max(known, remainingMillis);
		this.longestMillis.put(route.name(), longest);
		return longest - remainingMillis > OVERDUE_TARGETS * route.targetLatency().toMillis();
	}

}
