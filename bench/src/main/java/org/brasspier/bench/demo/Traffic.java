package org.brasspier.bench.demo;

import java.util.List;

import org.brasspier.standins.DeploymentShape;
import org.brasspier.standins.ServiceShape;
import org.brasspier.standins.TrafficStream;

/**
 * Traffic that callers send to each deployment. Stateless and thread-safe.
 */
final class Traffic {

	/**
	 * Share of requests for the hot key, as from a busy marina on a summer Saturday or a
	 * large bank at the end of a month.
	 */
	private static final double HOT_KEY_SHARE = 0.1;

	private static final int KEY_COUNT = 2000;

	private Traffic() {
	}

	/**
	 * Returns the mixed traffic for a deployment.
	 * @param shape the deployment's shape
	 * @return the streams, 450 requests per second in total for lakeshore, 330 for
	 * kliring and 150 per service otherwise
	 */
	static List<TrafficStream> of(DeploymentShape shape) {
		return switch (shape.name()) {
			case "lakeshore" -> List.of(stream("hullbook", true, "lookup", 250, "/record"),
					stream("hullbook", true, "posting", 50, "/book"),
					stream("jobdesk", false, "posting", 50, "/complete?ask=hullbook:slip-7"),
					stream("divecal", false, "lookup", 100, "/schedule"));
			case "kliring" -> List.of(stream("teller-gate", true, "lookup", 250, "/status"),
					stream("teller-gate", true, "posting", 30, "/hold"),
					stream("returns-desk", false, "posting", 40, "/return?ask=teller-gate:card-9"),
					stream("audit-archive", false, "audit", 10, "/batch"));
			default -> shape.services().stream().flatMap((service) -> light(service).stream()).toList();
		};
	}

	/**
	 * Returns light traffic for one service.
	 * @param service the service
	 * @return one stream of lookups and one of postings
	 */
	static List<TrafficStream> light(ServiceShape service) {
		return List.of(stream(service.name(), service.sharded(), "lookup", 100, "/look"),
				stream(service.name(), service.sharded(), "posting", 50, "/post"));
	}

	private static TrafficStream stream(String service, boolean sharded, String requestClass, double perSecond,
			String path) {
		return new TrafficStream(service, sharded, requestClass, perSecond, KEY_COUNT, HOT_KEY_SHARE, path, 0);
	}

}
