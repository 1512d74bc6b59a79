package org.brasspier.core.admission;

import java.util.Arrays;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

import org.brasspier.core.RequestClass;

/**
 * Selects the next request class: the first in order of priority, unless a later one has
 * accumulated credit from its guaranteed share of slot time. Otherwise a flood of lookups
 * would starve postings and audit readers for as long as it lasts. Not thread-safe.
 */
final class ClassScheduler {

	private final AdmissionSettings settings;

	private final ServiceTimes times;

	private final Map<RequestClass, Double> creditNanos = new EnumMap<>(RequestClass.class);

	ClassScheduler(AdmissionSettings settings, ServiceTimes times) {
		this.settings = settings;
		this.times = times;
	}

	Optional<RequestClass> next(Predicate<RequestClass> ready) {
		Optional<RequestClass> eligible = Arrays.stream(RequestClass.values())
			.filter(ready)
			.filter((requestClass) -> credit(requestClass) >= this.times.mean(requestClass))
			.findFirst();
		return eligible.or(() -> Arrays.stream(RequestClass.values()).filter(ready).findFirst());
	}

	// Records that a slot was given to one class while others were waiting.
	void onSlotTaken(RequestClass startedClass, Predicate<RequestClass> waiting) {
		double cost = this.times.mean(startedClass);
		for (RequestClass other : RequestClass.values()) {
			if (!waiting.test(other)) {
				this.creditNanos.remove(other);
			}
			else if (other != startedClass) {
				this.creditNanos.merge(other, cost * this.settings.of(other).guaranteedShare(), Double::sum);
			}
		}
		this.creditNanos.computeIfPresent(startedClass, (key, credit) -> Math.max(0, credit - cost));
	}

	private double credit(RequestClass requestClass) {
		return this.creditNanos.getOrDefault(requestClass, 0.0);
	}

}
