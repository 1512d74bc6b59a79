package org.brasspier.core.document;

import java.util.Map;
import java.util.stream.Collectors;

import org.brasspier.core.CallerId;
import org.brasspier.core.RequestClass;

/**
 * The settings of one service, as request processing needs them. Immutable and
 * thread-safe.
 *
 * @param sharding what the service is sharded by
 * @param limits the limits by request class
 * @param callerShares the maximum share of the service that a caller may use while others
 * wait, in percent; callers that are not listed have no limit of their own
 * @param maxBodyBytes the maximum size of a request body, in bytes
 * @param runLimitMillis the maximum run time of a request, in milliseconds
 * @param guardMillis how long the ranges of a lost server that checks no fences stay
 * unassigned, in milliseconds
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
	 * Returns the limits of a request class.
	 * @param requestClass the class
	 * @return its limits
	 */
	public ClassLimit limit(RequestClass requestClass) {
		ClassLimit limit = this.limits.get(requestClass);
		if (limit == null) {
			throw new IllegalStateException("class %s has no limit".formatted(requestClass));
		}
		return limit;
	}

	/**
	 * Returns the guaranteed share of slot time of each class.
	 * @return the shares, in percent
	 */
	public Map<RequestClass, Integer> sharePercents() {
		return this.limits.entrySet()
			.stream()
			.collect(Collectors.toUnmodifiableMap(Map.Entry::getKey, (entry) -> entry.getValue().sharePercent()));
	}

	/**
	 * What the requests of a service are sharded by.
	 */
	public enum Sharding {

		/** By key. A request without a key is refused. */
		BY_KEY,

		/** By request id. */
		BY_REQUEST_ID,

		/**
		 * By key if the request has one, otherwise by request id. Applies while no
		 * document is in force.
		 */
		BY_KEY_IF_GIVEN

	}

	/**
	 * The limits of one request class.
	 *
	 * @param deadlineMillis the deadline of requests that specify none, and the longest
	 * that they may specify, in milliseconds
	 * @param sharePercent the guaranteed share of slot time of the class while other
	 * classes have waiting requests, in percent; values below the built-in share have no
	 * effect
	 */
	public record ClassLimit(int deadlineMillis, int sharePercent) {

	}

}
