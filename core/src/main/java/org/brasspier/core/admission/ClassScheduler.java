package org.brasspier.core.admission;

import java.util.Arrays;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

import org.brasspier.core.RequestClass;

/**
 * Which class is next: the first in order, unless a later one has waited for its sure
 * share of slot time. Made for saturation by one class: without it a flood of lookups
 * would starve postings and audit readers for as long as it lasts. Not thread-safe.
 */
final class ClassScheduler {

	private final AdmissionSettings settings;

	private final ServiceTimes times;

	private final Map<RequestClass, Double> owedNanos = new EnumMap<>(RequestClass.class);

	ClassScheduler(AdmissionSettings settings, ServiceTimes times) {
		this.settings = settings;
		this.times = times;
	}

	Optional<RequestClass> next(Predicate<RequestClass> ready) {
		Optional<RequestClass> owed = Arrays.stream(RequestClass.values())
			.filter(ready)
			.filter((requestClass) -> owed(requestClass) >= this.times.mean(requestClass))
			.findFirst();
		return owed.or(() -> Arrays.stream(RequestClass.values()).filter(ready).findFirst());
	}

	// Accounts for a slot that was given to one class while others were waiting.
	void onSlotTaken(RequestClass taken, Predicate<RequestClass> waiting) {
		double cost = this.times.mean(taken);
		for (RequestClass other : RequestClass.values()) {
			if (!waiting.test(other)) {
				this.owedNanos.remove(other);
			}
			else if (other != taken) {
				this.owedNanos.merge(other, cost * this.settings.of(other).guaranteedShare(), Double::sum);
			}
		}
		this.owedNanos.computeIfPresent(taken, (key, owed) -> Math.max(0, owed - cost));
	}

	private double owed(RequestClass requestClass) {
		return this.owedNanos.getOrDefault(requestClass, 0.0);
	}

}
