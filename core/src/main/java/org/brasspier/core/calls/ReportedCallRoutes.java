package org.brasspier.core.calls;

import java.util.Map;
import java.util.Optional;

import org.brasspier.core.InstanceId;

/**
 * What the gates of other instances last reported about routes. A report names no route:
 * it arrives immediately before the outcome of the request that it belongs to, whose
 * route is known here. Not thread-safe.
 */
public final class ReportedCallRoutes {

	private final Map<String, Boolean> routes = new BoundedMap<>();

	private Optional<Report> latest = Optional.empty();

	/**
	 * Records a report, which belongs to the next outcome of the same instance.
	 * @param instance the instance whose gate sent it
	 * @param callRoute whether the route carries calls
	 */
	public void onReport(InstanceId instance, boolean callRoute) {
		this.latest = Optional.of(new Report(instance, callRoute));
	}

	/**
	 * Assigns the latest report to a route. An outcome without a report, for example from
	 * a daemon of the previous build, leaves what is known about the route.
	 * @param route name of the request's route
	 * @param instance the instance that the outcome is from
	 */
	public void onOutcome(String route, InstanceId instance) {
		this.latest.filter((report) -> report.instance().equals(instance))
			.ifPresent((report) -> record(route, report.callRoute()));
		this.latest = Optional.empty();
	}

	/**
	 * Records what the local gate has observed.
	 * @param route name of the route
	 * @param callRoute whether the route carries calls
	 */
	public void record(String route, boolean callRoute) {
		this.routes.put(route, callRoute);
	}

	/**
	 * Returns the last known report on a route.
	 * @param route name of the route
	 * @return whether it carries calls; false if no gate has reported on it
	 */
	public boolean isCallRoute(String route) {
		return this.routes.getOrDefault(route, false);
	}

	private record Report(InstanceId instance, boolean callRoute) {

	}

}
