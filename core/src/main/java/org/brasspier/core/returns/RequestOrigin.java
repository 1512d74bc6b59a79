package org.brasspier.core.returns;

/**
 * What a request's entry tells about it: whether it is a return, and where it began.
 * Immutable and thread-safe.
 *
 * @param status whether it is the retry of a refused request
 * @param instance name of the instance of entry; empty if unknown, as for requests sent
 * by a daemon of an earlier build
 * @param domain name of that instance's failure domain; empty if unknown
 */
public record RequestOrigin(ReturnStatus status, String instance, String domain) {

	/** The origin of a request about which nothing is known. */
	public static final RequestOrigin UNKNOWN = new RequestOrigin(ReturnStatus.NEW, "", "");

	/**
	 * Returns whether the instance of entry is known.
	 * @return true if so
	 */
	public boolean isKnown() {
		return !this.instance.isEmpty();
	}

	/**
	 * Returns whether the request is an on-time return.
	 * @return true if so
	 */
	public boolean isOnTime() {
		return this.status == ReturnStatus.ON_TIME;
	}

	/**
	 * Returns a copy without the instance of entry, for which neither shares are counted
	 * nor places kept; on-time returns still go first.
	 * @return the copy
	 */
	public RequestOrigin withoutInstance() {
		return new RequestOrigin(this.status, "", "");
	}

	/**
	 * Returns a copy with another failure domain.
	 * @param name name of the failure domain
	 * @return the copy
	 */
	public RequestOrigin withDomain(String name) {
		return new RequestOrigin(this.status, this.instance, name);
	}

}
