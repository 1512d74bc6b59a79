package org.brasspier.core.admission;

import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;

import org.brasspier.core.RequestClass;

/**
 * How each class of request is queued. Immutable and thread-safe.
 *
 * @param classes the rules of each class
 */
public record AdmissionSettings(Map<RequestClass, ClassRules> classes) {

	private static final double WHOLE_PERCENT = 100;

	/**
	 * Rules that fit services whose lookups take some tens of milliseconds. Waits: a
	 * lookup is worth nothing to a crew after a second, so its queue holds no more than a
	 * short burst; a posting may wait a little; an audit reader can wait. Shares: what a
	 * class is sure of when a class before it could use everything.
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
	 * The rules of one class.
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
	 * These rules with larger sure shares where operators ask for them.
	 * @param percent the share that each class is to be sure of at least, in percent;
	 * classes that are left out keep theirs
	 * @return the rules
	 */
	public AdmissionSettings withGuaranteedShares(Map<RequestClass, Integer> percent) {
		Map<RequestClass, ClassRules> raised = new EnumMap<>(this.classes);
		percent.forEach((requestClass, share) -> raised.computeIfPresent(requestClass,
				(key, rules) -> rules.withGuaranteedShare(Math.max(rules.guaranteedShare(), share / WHOLE_PERCENT))));
		return new AdmissionSettings(raised);
	}

	/**
	 * The rules of one class.
	 *
	 * @param maxExpectedWait the expected wait beyond which a new request is refused at
	 * once
	 * @param maxWait how long one that was let in may wait until it is given up; longer
	 * than the expected wait, which errs most for classes that others go before
	 * @param guaranteedShare the share of slot time that the class gets even if a class
	 * before it asks for more than there is
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
						"letInWait %s and firstGuess %s must be positive, longestWait %s no shorter, sureShare %s from 0 to 1"
							.formatted(maxExpectedWait, initialServiceTime, maxWait, guaranteedShare));
			}
		}

		ClassRules withGuaranteedShare(double share) {
			return new ClassRules(this.maxExpectedWait, this.maxWait, share, this.initialServiceTime);
		}

	}

}
