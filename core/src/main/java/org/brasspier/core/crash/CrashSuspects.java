package org.brasspier.core.crash;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.brasspier.core.InstanceId;
import org.brasspier.core.keys.BackendIncarnation;

/**
 * Determines which requests must not reach another backend server, from the crashes that
 * all instances report. It guards against a request that crashes every server that runs
 * it and whose caller sends it again and again: without this it takes a service down
 * server by server, and again each time a server is back.
 *
 * <p>
 * All requests that a server was running when it crashed are suspect. A request is
 * blocked once it was part of two or more crashes that have no other suspect in common. A
 * request that a server answers without a server error is no longer suspect. If a server
 * is given only one suspect at a time, the next crash shows which one caused it. Not
 * thread-safe.
 */
public final class CrashSuspects {

	/** Crashes after which a request is blocked, whatever else was part of them. */
	private static final int MAX_CRASHES_WITH_OTHERS = 5;

	/** Crashes after which a request is blocked if it alone was part of all of them. */
	private static final int MIN_CRASHES_ALONE = 2;

	private static final int MIN_SERVER_ERROR = 500;

	/** After this time a crash no longer counts, and the request may be tried again. */
	private static final long RETENTION_NANOS = Duration.ofMinutes(5).toNanos();

	private final Map<BackendIncarnation, KnownReport> reports = new LinkedHashMap<>();

	private final Map<Long, Cleared> cleared = new LinkedHashMap<>();

	private Set<Long> blocked = Set.of();

	/**
	 * Merges the state of an instance. Merging the same state again has no effect.
	 * @param from the instance
	 * @param state its state
	 * @param nowNanos the current time, in nanoseconds of the steady clock
	 * @return true if any of it was new
	 */
	public boolean merge(InstanceId from, CrashState state, long nowNanos) {
		boolean changed = false;
		for (CrashReport report : state.reports()) {
			changed |= this.reports.putIfAbsent(report.incarnation(), new KnownReport(from, report, nowNanos)) == null;
		}
		for (long request : state.cleared()) {
			changed |= this.cleared.putIfAbsent(request, new Cleared(from, nowNanos)) == null;
		}
		if (changed) {
			updateBlocked(nowNanos);
		}
		return changed;
	}

	/**
	 * Records that a backend server answered a request on an instance. The request is
	 * cleared by any answer but a server error: a server may answer with an error before
	 * it reaches the code that crashes it, for example because the deadline passed or a
	 * call of its own failed.
	 * @param at the instance
	 * @param request the request's fingerprint
	 * @param status the HTTP status of the answer
	 * @param nowNanos the current time, in nanoseconds of the steady clock
	 * @return true if it was suspect and is cleared, so that the other instances must be
	 * told
	 */
	public boolean recordAnswer(InstanceId at, long request, int status, long nowNanos) {
		if (status >= MIN_SERVER_ERROR || !isSuspect(request)) {
			return false;
		}
		this.cleared.put(request, new Cleared(at, nowNanos));
		updateBlocked(nowNanos);
		return true;
	}

	/**
	 * Returns whether nothing is suspect. That is the usual case, in which no fingerprint
	 * is needed.
	 * @return true if no crash is known
	 */
	public boolean isEmpty() {
		return this.reports.isEmpty();
	}

	/**
	 * Returns whether a request must not reach a backend server.
	 * @param request the request's fingerprint
	 * @param nowNanos the current time, in nanoseconds of the steady clock
	 * @return true if it is blocked
	 */
	public boolean isBlocked(long request, long nowNanos) {
		if (!this.blocked.contains(request)) {
			return false;
		}
		updateBlocked(nowNanos);
		return this.blocked.contains(request);
	}

	/**
	 * Returns whether a request was part of a crash and has not succeeded since.
	 * @param request the request's fingerprint
	 * @return true if it is suspect
	 */
	public boolean isSuspect(long request) {
		return !this.cleared.containsKey(request)
				&& this.reports.values().stream().anyMatch((known) -> known.report.requests().contains(request));
	}

	/**
	 * Returns the number of blocked requests.
	 * @return the number
	 */
	public int blockedCount() {
		return this.blocked.size();
	}

	/**
	 * Returns the state that an instance replicates to the others.
	 * @param instance the instance
	 * @return the latest reports and cleared requests of that instance
	 */
	public CrashState stateOf(InstanceId instance) {
		List<CrashReport> own = latest(this.reports.values().stream().filter((known) -> known.from.equals(instance)),
				CrashState.MAX_REPORTS)
			.map(KnownReport::report)
			.toList();
		Set<Long> succeeded = latest(
				this.cleared.entrySet().stream().filter((entry) -> entry.getValue().at.equals(instance)),
				CrashState.MAX_CLEARED)
			.map(Map.Entry::getKey)
			.collect(Collectors.toUnmodifiableSet());
		return new CrashState(own, succeeded);
	}

	// Both maps are in the order in which their entries became known.
	private static <T> Stream<T> latest(Stream<T> all, int maxCount) {
		List<T> list = all.toList();
		return list.stream().skip(Math.max(0, list.size() - maxCount));
	}

	private void updateBlocked(long nowNanos) {
		this.reports.values().removeIf((known) -> nowNanos - known.sinceNanos >= RETENTION_NANOS);
		this.cleared.values().removeIf((each) -> nowNanos - each.sinceNanos >= RETENTION_NANOS);
		Map<Long, List<Set<Long>>> crashes = new HashMap<>();
		this.reports.values().forEach((known) -> {
			Set<Long> suspects = new HashSet<>(known.report.requests());
			suspects.removeAll(this.cleared.keySet());
			suspects.forEach((request) -> crashes.computeIfAbsent(request, (key) -> new ArrayList<>()).add(suspects));
		});
		this.blocked = crashes.entrySet()
			.stream()
			.filter((entry) -> shouldBlock(entry.getValue()))
			.map(Map.Entry::getKey)
			.collect(Collectors.toUnmodifiableSet());
	}

	private static boolean shouldBlock(List<Set<Long>> crashes) {
		if (crashes.size() >= MAX_CRASHES_WITH_OTHERS) {
			return true;
		}
		if (crashes.size() < MIN_CRASHES_ALONE) {
			return false;
		}
		Set<Long> common = new HashSet<>(crashes.stream().min(Comparator.comparingInt(Set::size)).orElseThrow());
		crashes.forEach(common::retainAll);
		return common.size() == 1;
	}

	private record KnownReport(InstanceId from, CrashReport report, long sinceNanos) {
	}

	private record Cleared(InstanceId at, long sinceNanos) {
	}

}
