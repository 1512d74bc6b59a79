package org.brasspier.core.cost;

import java.util.LinkedHashMap;
import java.util.Map;

import org.brasspier.core.RequestClass;

/**
 * Run times of requests by route: the mean and a high quantile. The estimate of a class,
 * which the caller keeps, is used where the route tells no more: for requests of an
 * unknown route (an empty name), for a route that is the only one of its class, and in
 * part for a route with few observations. At most {@value #MAX_ROUTES} routes are kept;
 * the least recently used is evicted. Not thread-safe.
 */
public final class RouteCosts {

	/** The number of routes kept, so that made-up names can't fill memory. */
	static final int MAX_ROUTES = 256;

	/** Number of observations from which the route's own estimate is used alone. */
	private static final int FULL_OBSERVATIONS = 8;

	private final Map<String, RouteCost> routes = new LinkedHashMap<>(16, 0.75f, true) {

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, RouteCost> eldest) {
			return size() > MAX_ROUTES;
		}

	};

	private final String[] firstRoute = new String[RequestClass.values().length];

	private final boolean[] mixed = new boolean[RequestClass.values().length];

	private final double weight;

	/**
	 * Creates estimates without observations.
	 * @param weight weight of a new observation once a route has many, above 0 to 1
	 */
	public RouteCosts(double weight) {
		this.weight = weight;
	}

	/**
	 * Records a run that ended with an answer.
	 * @param requestClass the class of the request
	 * @param route its route; nothing is recorded if it is empty
	 * @param nanos how long it ran, in nanoseconds
	 */
	public void observe(RequestClass requestClass, String route, long nanos) {
		if (!route.isEmpty()) {
			noteRoute(requestClass, route);
			this.routes.computeIfAbsent(route, (key) -> new RouteCost()).observe(requestClass, nanos, this.weight);
		}
	}

	/**
	 * Records a run that was cut off. Its time is a lower bound, so it may only raise the
	 * estimate.
	 * @param requestClass the class of the request
	 * @param route its route; nothing is recorded if it is empty
	 * @param nanos how long it had run, in nanoseconds
	 */
	public void observeAtLeast(RequestClass requestClass, String route, long nanos) {
		RouteCost known = this.routes.get(route);
		if (known == null || nanos > known.mean()) {
			observe(requestClass, route, nanos);
		}
	}

	// Remembered for as long as the process runs: once the estimate of a class rests on
	// several routes, it is no estimate of any of them.
	private void noteRoute(RequestClass requestClass, String route) {
		int index = requestClass.ordinal();
		if (this.mixed[index]) {
			return;
		}
		String first = this.firstRoute[index];
		if (first == null) {
			this.firstRoute[index] = route;
			RouteCost known = this.routes.get(route);
			this.mixed[index] = known != null && known.requestClass() != requestClass;
		}
		else if (!first.equals(route)) {
			this.mixed[index] = true;
		}
	}

	/**
	 * Returns the expected run time of a request.
	 * @param requestClass the class of the request
	 * @param route its route; empty if unknown
	 * @param classMean the estimate of the class, in nanoseconds
	 * @return the mean, in nanoseconds
	 */
	public double mean(RequestClass requestClass, String route, double classMean) {
		if (!this.mixed[requestClass.ordinal()]) {
			// A route that has just joined another one's class has no observations yet.
			return classMean;
		}
		RouteCost known = this.routes.get(route);
		return (known != null) ? classMean + known.confidence() * (known.mean() - classMean) : classMean;
	}

	/**
	 * Returns the run time that one request in twenty exceeds.
	 * @param requestClass the class of the request
	 * @param route its route; empty if unknown
	 * @param classMean the estimate of the class, in nanoseconds
	 * @return the quantile, at least the mean, in nanoseconds; a multiple of the mean if
	 * the route has few observations
	 */
	public double highQuantile(RequestClass requestClass, String route, double classMean) {
		double mean = mean(requestClass, route, classMean);
		double assumed = RouteCost.INITIAL_QUANTILE_OVER_MEAN * mean;
		RouteCost known = this.routes.get(route);
		double quantile = (known != null) ? assumed + known.confidence() * (known.highQuantile() - assumed) : assumed;
		return Math.max(mean, quantile);
	}

	/**
	 * Returns how much the routes of one class differ.
	 * @return the largest mean over the smallest within a class, of routes with enough
	 * observations; the maximum over the classes; at least 1
	 */
	public double spread() {
		double spread = 1;
		for (RequestClass requestClass : RequestClass.values()) {
			if (this.mixed[requestClass.ordinal()]) {
				spread = Math.max(spread, spread(requestClass));
			}
		}
		return spread;
	}

	private double spread(RequestClass requestClass) {
		double least = Double.MAX_VALUE;
		double most = 0;
		for (RouteCost route : this.routes.values()) {
			if (route.requestClass() == requestClass && route.confidence() >= 1) {
				least = Math.min(least, route.mean());
				most = Math.max(most, route.mean());
			}
		}
		return (most > 0) ? most / Math.max(1, least) : 1;
	}

	/**
	 * The estimate of one route.
	 */
	private static final class RouteCost {

		/** Assumed until observed: run times that vary as an exponential distribution. */
		static final double INITIAL_QUANTILE_OVER_MEAN = 3;

		private static final double QUANTILE = 0.95;

		/**
		 * Step of the quantile as a fraction of its value: a longer run raises it by a
		 * tenth, a shorter one lowers it by a two-hundredth.
		 */
		private static final double QUANTILE_STEP = 0.1;

		private RequestClass requestClass = RequestClass.LOOKUP;

		private double mean;

		private double highQuantile;

		private int count;

		void observe(RequestClass observedClass, long nanos, double minWeight) {
			this.requestClass = observedClass;
			this.count++;
			this.mean += Math.max(minWeight, 1.0 / this.count) * (nanos - this.mean);
			if (this.count == 1) {
				this.highQuantile = INITIAL_QUANTILE_OVER_MEAN * nanos;
			}
			double direction = (nanos > this.highQuantile) ? QUANTILE : QUANTILE - 1;
			this.highQuantile *= 1 + QUANTILE_STEP * direction;
		}

		RequestClass requestClass() {
			return this.requestClass;
		}

		double mean() {
			return this.mean;
		}

		double highQuantile() {
			return this.highQuantile;
		}

		double confidence() {
			return Math.min(1, (double) this.count / FULL_OBSERVATIONS);
		}

	}

}
