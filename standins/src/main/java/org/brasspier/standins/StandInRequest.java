package org.brasspier.standins;

/**
 * One request of a stand-in caller, which may be sent several times. Immutable and
 * thread-safe.
 *
 * @param service the service
 * @param key the key, empty if the service is not divided by key
 * @param id the request's id, the same on each resend
 * @param requestClass the class, in lower case
 * @param caller the caller's name, whose share of the limits it counts against
 * @param path path and query, which tell the server what to do, see {@link WorkPlan}
 * @param padding number of characters that pad the answer, as requested in the path
 * @param waitMillis total time limit including resends, in milliseconds
 */
public record StandInRequest(String service, String key, String id, String requestClass, String caller, String path,
		int padding, int waitMillis) {

	/**
	 * Checks the time limit and the padding.
	 * @throws IllegalArgumentException if the time limit is not positive or the padding
	 * is negative
	 */
	public StandInRequest {
		if (waitMillis < 1 || padding < 0) {
			throw new IllegalArgumentException(
					"waitMillis %d must be positive and padding %d not negative".formatted(waitMillis, padding));
		}
	}

	/**
	 * Creates a lookup.
	 * @param service the service
	 * @param key the key
	 * @param id the request's id
	 * @return the request
	 */
	public static StandInRequest lookup(String service, String key, String id) {
		return new StandInRequest(service, key, id, "lookup", "standin", "/look", 0, 3000);
	}

	/**
	 * Creates a posting.
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
	 * The same request with another time limit.
	 * @param millis total time limit, in milliseconds
	 * @return the request
	 */
	public StandInRequest withWaitMillis(int millis) {
		return new StandInRequest(this.service, this.key, this.id, this.requestClass, this.caller, this.path,
				this.padding, millis);
	}

	/**
	 * The same request under another id.
	 * @param other the id
	 * @return the request
	 */
	public StandInRequest withId(String other) {
		return new StandInRequest(this.service, this.key, other, this.requestClass, this.caller, this.path,
				this.padding, this.waitMillis);
	}

	boolean isPosting() {
		return this.requestClass.equals("posting");
	}

}
