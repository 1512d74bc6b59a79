package org.brasspier.standins;

/**
 * One request that a stand-in caller wants answered, however often it must be sent.
 * Immutable and thread-safe.
 *
 * @param service the service
 * @param key the key, empty if the service is not divided by key
 * @param id the request's id, the same on each resend
 * @param requestClass the class, in lower case
 * @param caller the name it counts against
 * @param path what the server is asked to do, see {@link WorkPlan}
 * @param padding how many characters the answer is padded with, as asked for in the path
 * @param waitMillis how long the caller waits in all, resends included, in milliseconds
 */
public record StandInRequest(String service, String key, String id, String requestClass, String caller, String path,
		int padding, int waitMillis) {

	/**
	 * Checks the numbers.
	 * @throws IllegalArgumentException if the caller would not wait at all
	 */
	public StandInRequest {
		if (waitMillis < 1 || padding < 0) {
			throw new IllegalArgumentException(
					"waitMillis %d must be positive and padding %d not negative".formatted(waitMillis, padding));
		}
	}

	/**
	 * A lookup.
	 * @param service the service
	 * @param key the key
	 * @param id the request's id
	 * @return the request
	 */
	public static StandInRequest lookup(String service, String key, String id) {
		return new StandInRequest(service, key, id, "lookup", "standin", "/look", 0, 3000);
	}

	/**
	 * A posting.
	 * @param service the service
	 * @param key the key
	 * @param id the request's id
	 * @return the request
	 */
	public static StandInRequest posting(String service, String key, String id) {
		return new StandInRequest(service, key, id, "posting", "standin", "/post", 0, 5000);
	}

	/**
	 * The same request with another path.
	 * @param other the path
	 * @return the request
	 */
	public StandInRequest withPath(String other) {
		return new StandInRequest(this.service, this.key, this.id, this.requestClass, this.caller, other, this.padding,
				this.waitMillis);
	}

	/**
	 * The same request with another patience.
	 * @param millis how long the caller waits in all, in milliseconds
	 * @return the request
	 */
	public StandInRequest withWaitMillis(int millis) {
		return new StandInRequest(this.service, this.key, this.id, this.requestClass, this.caller, this.path,
				this.padding, millis);
	}

	/**
	 * The same work under another id.
	 * @param other the id
	 * @return the request
	 */
	public StandInRequest withId(String other) {
		return new StandInRequest(this.service, this.key, other, this.requestClass, this.caller, this.path,
				this.padding, this.waitMillis);
	}

	boolean posting() {
		return this.requestClass.equals("posting");
	}

}
