package org.brasspier.standins;

import java.util.concurrent.ThreadLocalRandom;

/**
 * One steady stream of requests. Immutable and thread-safe.
 *
 * @param service the service
 * @param sharded whether the service is divided by key
 * @param requestClass the class, in lower case
 * @param perSecond requests sent per second
 * @param keyCount number of keys that the requests are spread over
 * @param hotShare the share of requests that go to one hot key, 0 to 1
 * @param path path and query, which tell the server what to do, see {@link WorkPlan}
 * @param padding number of characters that pad the answers
 */
public record TrafficStream(String service, boolean sharded, String requestClass, double perSecond, int keyCount,
		double hotShare, String path, int padding) {

	private static final int WAIT_MILLIS = 5000;

	/**
	 * Checks the ranges of the numbers.
	 * @throws IllegalArgumentException if one is out of range
	 */
	public TrafficStream {
		if (perSecond < 0 || keyCount < 1 || hotShare < 0 || hotShare > 1) {
			throw new IllegalArgumentException(
					"perSecond %s, keys %d or hotShare %s is out of range".formatted(perSecond, keyCount, hotShare));
		}
	}

	/**
	 * Creates a stream without hot key and with short answers.
	 * @param service the service
	 * @param sharded whether the service is divided by key
	 * @param requestClass the class, in lower case
	 * @param perSecond requests sent per second
	 * @return the stream
	 */
	public static TrafficStream steady(String service, boolean sharded, String requestClass, double perSecond) {
		return new TrafficStream(service, sharded, requestClass, perSecond, 500, 0, "/work", 0);
	}

	StandInRequest next(String id) {
		String key = (this.sharded) ? key() : "";
		String fullPath = (this.padding > 0)
				? this.path + ((this.path.contains("?")) ? "&" : "?") + "pad=" + this.padding : this.path;
		return new StandInRequest(this.service, key, id, this.requestClass, "office-" + id.hashCode() % 5, fullPath,
				this.padding, WAIT_MILLIS);
	}

	private String key() {
		ThreadLocalRandom random = ThreadLocalRandom.current();
		return (random.nextDouble() < this.hotShare) ? "key-0" : "key-" + random.nextInt(this.keyCount);
	}

}
