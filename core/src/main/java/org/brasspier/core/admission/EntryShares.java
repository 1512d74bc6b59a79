package org.brasspier.core.admission;

import java.time.Duration;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

import org.brasspier.core.returns.RequestOrigin;

/**
 * The slot time that requests of one class have used lately, by instance of entry and by
 * failure domain, decaying with a half-life of five seconds. Detects instances that have
 * had clearly more than the others, whose waiting requests then go last. Not thread-safe.
 * <p>
 * An instance has had clearly more if its slot time exceeds twice the mean of the other
 * instances by four standard deviations of random arrivals, or if the same holds for its
 * failure domain compared with the instances elsewhere. A gate sees only a few requests
 * of each instance within the half-life, so without the deviations the order among
 * instances that send alike would depend on chance.
 */
final class EntryShares {

	private static final double HALF_LIFE_NANOS = Duration.ofSeconds(5).toNanos();

	private static final int MAX_INSTANCES = 256;

	private static final double MAX_MULTIPLE = 2;

	private static final double DEVIATIONS = 4;

	/**
	 * Slot time is scaled up with time instead of being decayed for each instance; after
	 * this many half-lives it is scaled down, before it loses precision.
	 */
	private static final double MAX_HALF_LIVES = 20;

	/** Part of a mean run below which an instance is forgotten. */
	private static final double FORGOTTEN_RUNS = 1.0 / 64;

	private final boolean active;

	private final Map<String, Usage> instances = new LinkedHashMap<>(16, 0.75f, true);

	private final Map<String, Domain> domains = new HashMap<>();

	private double used;

	private double runs;

	private long epochNanos;

	/**
	 * Creates shares without slot time.
	 * @param active false if nothing is counted, so that nobody is ever over a share
	 */
	EntryShares(boolean active) {
		this.active = active;
	}

	/**
	 * Counts slot time.
	 * @param origin where the request began; ignored if unknown
	 * @param nanos the slot time; negative to correct an earlier estimate
	 * @param runs 1 for the first time for a request, otherwise 0
	 * @param now the current time, in nanoseconds
	 */
	void charge(RequestOrigin origin, double nanos, int runs, long now) {
		if (!this.active || !origin.isKnown()) {
			return;
		}
		rescaleIfDue(now);
		double scale = scale(now);
		Usage usage = this.instances.computeIfAbsent(origin.instance(), (name) -> new Usage(domain(origin)));
		double change = Math.max(-usage.used, nanos * scale);
		usage.used += change;
		usage.domain.used += change;
		this.used += change;
		this.runs += runs * scale;
		if (this.instances.size() > MAX_INSTANCES) {
			Iterator<Usage> eldest = this.instances.values().iterator();
			forget(eldest.next());
			eldest.remove();
		}
	}

	/**
	 * Returns whether the instance on which a request began has had clearly more slot
	 * time than the others.
	 * @param origin where the request began
	 * @param now the current time, in nanoseconds
	 * @return true if so
	 */
	boolean isOver(RequestOrigin origin, long now) {
		Usage usage = this.instances.get(origin.instance());
		if (usage == null || this.instances.size() == 1 || this.runs <= 0) {
			return false;
		}
		double run = this.used / this.runs * scale(now);
		double others = (this.used - usage.used) / (this.instances.size() - 1);
		return exceeds(usage.used, others, run) || isOver(usage.domain, run);
	}

	private boolean isOver(Domain domain, double run) {
		int elsewhere = this.instances.size() - domain.instances;
		return elsewhere > 0 && exceeds(domain.used, (this.used - domain.used) / elsewhere * domain.instances, run);
	}

	private static boolean exceeds(double used, double others, double run) {
		return used > MAX_MULTIPLE * others + DEVIATIONS * Math.sqrt(run * (others + run));
	}

	private Domain domain(RequestOrigin origin) {
		Domain domain = this.domains.computeIfAbsent(origin.domain(), Domain::new);
		domain.instances++;
		return domain;
	}

	private void forget(Usage usage) {
		this.used -= usage.used;
		usage.domain.used -= usage.used;
		usage.domain.instances--;
		if (usage.domain.instances == 0) {
			this.domains.remove(usage.domain.name);
		}
	}

	private double scale(long now) {
		return Math.pow(2, (now - this.epochNanos) / HALF_LIFE_NANOS);
	}

	private void rescaleIfDue(long now) {
		if (this.instances.isEmpty()) {
			this.epochNanos = now;
		}
		double halfLives = (now - this.epochNanos) / HALF_LIFE_NANOS;
		if (halfLives < MAX_HALF_LIVES) {
			return;
		}
		double factor = Math.pow(2, -halfLives);
		this.epochNanos = now;
		double least = this.used / Math.max(this.runs, Double.MIN_NORMAL) * FORGOTTEN_RUNS;
		this.used *= factor;
		this.runs *= factor;
		this.domains.values().forEach((domain) -> domain.used *= factor);
		this.instances.values().forEach((usage) -> usage.used *= factor);
		this.instances.values().removeIf((usage) -> {
			boolean little = usage.used < least;
			if (little) {
				forget(usage);
			}
			return little;
		});
	}

	private static final class Usage {

		private final Domain domain;

		private double used;

		Usage(Domain domain) {
			this.domain = domain;
		}

	}

	private static final class Domain {

		private final String name;

		private double used;

		private int instances;

		Domain(String name) {
			this.name = name;
		}

	}

}
