package org.brasspier.core.choosing;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.brasspier.core.InstanceId;
import org.brasspier.core.RequestClass;
import org.brasspier.core.cost.RouteCosts;
import org.brasspier.core.keys.BackendIncarnation;
import org.brasspier.core.load.GateReport;

/**
 * What the gates of one service's servers have reported, and whether the choice of a
 * server takes it into account. Not thread-safe.
 */
final class LoadReports {

	/** Factor in cost or speed from which reports are used. */
	private static final double ACTIVE_FACTOR = 2;

	/**
	 * Factor below which reports are no longer used. Lower than the other one, so that
	 * random variation does not switch them on and off.
	 */
	private static final double INACTIVE_FACTOR = 1.6;

	/** Weight of a new report in the mean run time of a route over all servers. */
	private static final double COST_WEIGHT = 1.0 / 64;

	/** Weight of a new answer in the mean size of a route's answers. */
	private static final double SIZE_WEIGHT = 1.0 / 16;

	/** Answers above this size are sent in pieces, and wait for the network link. */
	private static final int PIECE_BYTES = 16 << 10;

	/** The number of routes whose answer sizes are kept; further ones count as small. */
	private static final int MAX_ROUTES = 256;

	/** Time without a report after which a server's reports are dropped. */
	private static final long FORGET_AFTER_NANOS = Duration.ofSeconds(30).toNanos();

	private final Map<InstanceId, ReportedServer> servers = new HashMap<>();

	private final RouteCosts costs = new RouteCosts(COST_WEIGHT);

	private final double[] classMeans = new double[RequestClass.values().length];

	private final Map<String, Double> answerBytes = new HashMap<>();

	private final double activeFactor;

	private boolean active;

	LoadReports() {
		this(ACTIVE_FACTOR);
	}

	// A factor of 1 lets reports be used always.
	LoadReports(double activeFactor) {
		this.activeFactor = activeFactor;
	}

	void onReport(InstanceId instance, Optional<BackendIncarnation> incarnation, RequestClass requestClass,
			String route, GateReport report, long now) {
		this.servers.values().removeIf((server) -> now - server.reportedNanos() > FORGET_AFTER_NANOS);
		ReportedServer server = this.servers.get(instance);
		if (server == null || !server.incarnation().equals(incarnation)) {
			server = new ReportedServer(incarnation);
			this.servers.put(instance, server);
		}
		server.report(report.load(), now);
		long run = report.expectedRun().toNanos();
		if (run > 0) {
			observeCost(requestClass, route, run);
			server.relativeRun(run / mean(requestClass, route));
		}
		double spread = Math.max(this.costs.spread(), speedSpread());
		this.active = spread >= (this.active ? Math.min(INACTIVE_FACTOR, this.activeFactor) : this.activeFactor);
	}

	void onAnswer(String route, int bytes) {
		Double before = this.answerBytes.get(route);
		if (before != null || this.answerBytes.size() < MAX_ROUTES) {
			this.answerBytes.put(route, (before != null) ? before + SIZE_WEIGHT * (bytes - before) : bytes);
		}
	}

	// Returns how long the answer of a request waits for the network link of a server's
	// instance; small answers go between the pieces of large ones.
	double linkWaitNanos(ReportedServer server, String route, long now) {
		boolean large = this.answerBytes.getOrDefault(route, 0.0) > PIECE_BYTES;
		return large ? server.linkBacklogNanos(now) : 0;
	}

	private void observeCost(RequestClass requestClass, String route, long run) {
		int index = requestClass.ordinal();
		double before = this.classMeans[index];
		this.classMeans[index] = (before > 0) ? before + COST_WEIGHT * (run - before) : run;
		this.costs.observe(requestClass, route, run);
	}

	private double speedSpread() {
		double least = Double.MAX_VALUE;
		double most = 0;
		for (ReportedServer server : this.servers.values()) {
			if (server.isSpeedKnown()) {
				least = Math.min(least, server.usualSlowness());
				most = Math.max(most, server.usualSlowness());
			}
		}
		return (most > 0) ? most / least : 1;
	}

	boolean active() {
		return this.active;
	}

	// Returns the mean run time over all servers; 0 if no report told one.
	double mean(RequestClass requestClass, String route) {
		return this.costs.mean(requestClass, route, this.classMeans[requestClass.ordinal()]);
	}

	// Counts the work of a request sent since the latest report.
	void onChosen(InstanceId instance, RequestClass requestClass, String route, long now) {
		ReportedServer server = this.servers.get(instance);
		if (server != null) {
			server.addWork(mean(requestClass, route) * server.slowness(), now);
		}
	}

	Optional<ReportedServer> server(InstanceId instance) {
		return Optional.ofNullable(this.servers.get(instance));
	}

}
