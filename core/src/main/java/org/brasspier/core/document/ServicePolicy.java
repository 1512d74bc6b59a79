package org.brasspier.core.document;

import java.util.Map;
import java.util.stream.Collectors;

import org.brasspier.core.CallerId;
import org.brasspier.core.RequestClass;

/**
 * What the document says of one service, as the way of a request needs it. Immutable and
 * thread-safe.
 *
 * @param sharding what is divided among owners
 * @param limits the limit of each class
 * @param callerShares the most of the service that a caller may hold while others wait,
 * in percent; callers that aren't named have no limit of their own
 * @param maxBodyBytes the largest body of a request, in bytes
 * @param runLimitMillis how long a request may run at most, in milliseconds
 * @param guardMillis how long a lost server's ranges rest where it checks no fences, in
 * milliseconds
 */
public record ServicePolicy(Sharding sharding, Map<RequestClass, ClassLimit> limits,
		Map<CallerId, Integer> callerShares, int maxBodyBytes, int runLimitMillis, int guardMillis) {

	/**
	 * Copies the maps.
	 */
	public ServicePolicy {
		limits = Map.copyOf(limits);
		callerShares = Map.copyOf(callerShares);
	}

	/**
	 * The limit of a class.
	 * @param requestClass the class
	 * @return its limit
	 */
	public ClassLimit limit(RequestClass requestClass) {
		ClassLimit limit = this.limits.get(requestClass);
		if (limit == null) {
			throw new IllegalStateException("class %s has no limit".formatted(requestClass));
		}
		return limit;
	}

	/**
	 * The share of slot time that each class is to be sure of.
	 * @return the shares, in percent
	 */
	public Map<RequestClass, Integer> sharePercents() {
		return this.limits.entrySet()
			.stream()
			.collect(Collectors.toUnmodifiableMap(Map.Entry::getKey, (entry) -> entry.getValue().sharePercent()));
	}

	/**
	 * What is divided among owners.
	 */
	public enum Sharding {

		/** Keys: a request without one is refused. */
		BY_KEY,

		/** Request ids. */
		BY_REQUEST_ID,

		/**
		 * Keys where the request carries one, else request ids: no document says more.
		 */
		BY_KEY_IF_GIVEN

	}

	/**
	 * The limit of one class.
	 *
	 * @param deadlineMillis the deadline of requests that name none, and the longest that
	 * they may name, in milliseconds
	 * @param sharePercent the share of slot time that the class is sure of while others
	 * want more, in percent; below what is built in it has no effect
	 */
	public record ClassLimit(int deadlineMillis, int sharePercent) {

	}

}
