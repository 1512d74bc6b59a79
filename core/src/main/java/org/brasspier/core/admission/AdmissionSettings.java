package org.brasspier.core.admission;

import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;

import org.brasspier.core.RequestClass;

/**
 * Queueing rules of each request class. Immutable and thread-safe.
 *
 * @param classes the rules of each class
 */
public record AdmissionSettings(Map<RequestClass, ClassRules> classes) {

	private static final double PERCENT = 100;

	/**
	 * Defaults for services whose lookups take some tens of milliseconds. Waits: a lookup
	 * is of no use to a person after a second, so its queue holds no more than a short
	 * burst; a posting may wait a little; an audit reader can wait. Shares: the part
	 * guaranteed to a class when a class of higher priority could use all slots.
	 */
	public static final AdmissionSettings DEFAULT = new AdmissionSettings(Map.of(RequestClass.INTERNAL,
			new ClassRules(Duration.ofMillis(100), Duration.ofMillis(100), 1.0, Duration.ofMillis(5)),
			RequestClass.LOOKUP,
			new ClassRules(Duration.ofMillis(100), Duration.ofMillis(100), 0.5, Duration.ofMillis(10)),
			RequestClass.POSTING,
			new ClassRules(Duration.ofMillis(250), Duration.ofMillis(500), 0.2, Duration.ofMillis(20)),
			RequestClass.AUDIT,
			new ClassRules(Duration.ofSeconds(1), Duration.ofSeconds(2), 0.05, Duration.ofMillis(200))));

	/**
	 * Copies the map.
	 * @throws IllegalArgumentException if a class has no rules
	 */
	public AdmissionSettings {
		classes = new EnumMap<>(classes);
		for (RequestClass requestClass : RequestClass.values()) {
			if (!classes.containsKey(requestClass)) {
				throw new IllegalArgumentException("class %s has no rules".formatted(requestClass));
			}
		}
	}

	/**
	 * Returns the rules of one class.
	 * @param requestClass the class
	 * @return its rules
	 */
	public ClassRules of(RequestClass requestClass) {
		ClassRules rules = this.classes.get(requestClass);
		if (rules == null) {
			throw new IllegalStateException("class %s has no rules".formatted(requestClass));
		}
		return rules;
	}

	/**
	 * Returns these rules with the guaranteed shares raised to the given minimums.
	 * @param percent the minimum guaranteed share of each class, in percent; classes that
	 * are absent keep their share
	 * @return the rules
	 */
	public AdmissionSettings withGuaranteedShares(Map<RequestClass, Integer> percent) {
		Map<RequestClass, ClassRules> newClasses = new EnumMap<>(this.classes);
		percent.forEach((requestClass, share) -> newClasses.computeIfPresent(requestClass,
				(key, rules) -> rules.withGuaranteedShare(Math.max(rules.guaranteedShare(), share / PERCENT))));
		return new AdmissionSettings(newClasses);
	}

	/**
	 * The rules of one class.
	 *
	 * @param maxExpectedWait the expected wait above which a new request is refused at
	 * once
	 * @param maxWait the longest wait of an admitted request, after which it is refused;
	 * longer than the expected wait, whose error is largest for classes of low priority
	 * @param guaranteedShare the share of slot time that the class receives even if a
	 * class of higher priority requests more than all of it
	 * @param initialServiceTime the service time assumed before any was observed
	 */
	public record ClassRules(Duration maxExpectedWait, Duration maxWait, double guaranteedShare,
			Duration initialServiceTime) {

		/**
		 * Checks the rules.
		 * @throws IllegalArgumentException if one is out of its range
		 */
		public ClassRules {
			if (!maxExpectedWait.isPositive() || maxWait.compareTo(maxExpectedWait) < 0
					|| !initialServiceTime.isPositive() || guaranteedShare < 0 || guaranteedShare > 1) {
				throw new IllegalArgumentException(
						"maxExpectedWait %s and initialServiceTime %s must be positive, maxWait %s no shorter than maxExpectedWait, guaranteedShare %s from 0 to 1"
							.formatted(maxExpectedWait, initialServiceTime, maxWait, guaranteedShare));
			}
		}

		ClassRules withGuaranteedShare(double share) {
			return new ClassRules(this.maxExpectedWait, this.maxWait, share, this.initialServiceTime);
		}

	}

}
