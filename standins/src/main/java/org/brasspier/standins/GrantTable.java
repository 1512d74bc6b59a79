package org.brasspier.standins;

import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

import com.google.gson.annotations.SerializedName;
import org.brasspier.core.KeyRange;

/**
 * The ranges that the daemon has granted to a backend server, as described in
 * docs/API.md. Belongs to one thread.
 */
final class GrantTable {

	private final ServerHistory history;

	private final String service;

	private Set<Grant> grants = Set.of();

	private long validUntilNanos = System.nanoTime();

	private long validUntilMillis;

	GrantTable(ServerHistory history, String service) {
		this.history = history;
		this.service = service;
	}

	void replace(Message message) {
		this.validUntilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(message.validMillis);
		this.validUntilMillis = message.validUntil;
		Set<Grant> next = (this.validUntilMillis < System.currentTimeMillis()) ? Set.of()
				: message.grants.stream()
					.filter((grant) -> grant.service().equals(this.service))
					.collect(Collectors.toUnmodifiableSet());
		recordDifference(ServerRecord.Kind.WITHDRAWN, this.grants, next);
		recordDifference(ServerRecord.Kind.GRANTED, next, this.grants);
		this.grants = next;
	}

	private void recordDifference(ServerRecord.Kind kind, Set<Grant> present, Set<Grant> absent) {
		present.stream()
			.filter((grant) -> !absent.contains(grant))
			.forEach((grant) -> this.history.recordGrant(kind, grant.fence(), grant.range().toString()));
	}

	/**
	 * Whether an order may begin or take effect.
	 * @param order the order
	 * @param atMillis the time at which it would, in milliseconds since 1970
	 * @return true if a grant that is still valid covers its point with the same fence
	 */
	boolean covers(Order order, long atMillis) {
		return atMillis <= this.validUntilMillis && System.nanoTime() - this.validUntilNanos <= 0
				&& this.grants.stream()
					.anyMatch((grant) -> grant.fence() == order.fence() && grant.range().contains(order.point()));
	}

	/**
	 * The daemon's message, which replaces all grants.
	 */
	static final class Message {

		private List<Grant> grants = List.of();

		@SerializedName("valid_millis")
		private long validMillis;

		@SerializedName("valid_until")
		private long validUntil;

	}

	/**
	 * One granted range.
	 *
	 * @param service the service
	 * @param low the first point
	 * @param high the point after the last
	 * @param fence the fence
	 */
	record Grant(String service, long low, long high, long fence) {

		KeyRange range() {
			return new KeyRange(this.low, this.high);
		}

	}

}
