package org.brasspier.core.admission;

import java.util.Collections;
import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;

import org.brasspier.core.RequestClass;

/**
 * One estimator for each class and rank, since requests of a rank wait for those of more
 * urgent ranks only. Not thread-safe.
 */
final class RetryAfterEstimators {

	private final Map<RequestClass, TreeMap<Integer, RetryAfterEstimator>> estimators = new EnumMap<>(
			RequestClass.class);

	// Returns the estimator of the request's class and rank.
	RetryAfterEstimator of(PendingRequest request) {
		return this.estimators.computeIfAbsent(request.requestClass(), (key) -> new TreeMap<>())
			.computeIfAbsent(request.urgency().rank(), (key) -> new RetryAfterEstimator());
	}

	// Returns how many places are due until a time that go before the request: those of
	// its own rank and of more urgent ones.
	int placesDue(PendingRequest request, long now, long until) {
		TreeMap<Integer, RetryAfterEstimator> ranks = this.estimators.get(request.requestClass());
		Map<Integer, RetryAfterEstimator> ahead = (ranks != null) ? ranks.headMap(request.urgency().rank(), true)
				: Collections.emptyMap();
		int due = 0;
		for (RetryAfterEstimator estimator : ahead.values()) {
			due += estimator.placesDue(now, until);
		}
		return due;
	}

}
