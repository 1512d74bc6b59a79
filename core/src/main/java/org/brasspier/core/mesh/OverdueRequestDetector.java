package org.brasspier.core.mesh;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Tells requests that can't be answered within their target any more, since their callers
 * were refused before and have come back. A request doesn't say when its caller first
 * asked, but how long it still waits, and callers of one route wait about equally long.
 * The load is an overload: who is served late in place of one that could be answered in
 * time makes both late. Not thread-safe.
 */
public final class OverdueRequestDetector {

	/**
	 * By how many targets a request must have less time left than others of its route:
	 * one that has passed, and one for callers that wait less long by themselves.
	 */
	private static final int LATE_TARGETS = 2;

	/**
	 * How much of the longest time stays with each request, so that it follows callers.
	 */
	private static final double FADE = 0.9995;

	private static final int MOST_ROUTES = 512;

	private final Map<String, Double> longestMillis = new LinkedHashMap<>(16, 0.75f, true) {

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Double> eldest) {
			return size() > MOST_ROUTES;
		}

	};

	/**
	 * Takes a request.
	 * @param route its route
	 * @param remainingMillis how long its caller still waits, in milliseconds
	 * @return true if it can't be answered within its target any more
	 */
	public boolean isOverdue(RouteRule route, int remainingMillis) {
		double known = this.longestMillis.getOrDefault(route.name(), 0.0) * FADE;
		double longest = Math.max(known, remainingMillis);
		this.longestMillis.put(route.name(), longest);
		return longest - remainingMillis > LATE_TARGETS * route.targetLatency().toMillis();
	}

}
