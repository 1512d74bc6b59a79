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
 * Which requests must not reach another backend server, by what all instances tell of
 * crashes. The load is that of a caller that sends a request again and again under which
 * each server crashes: without this it takes a service down server by server, and again
 * each time that one is back.
 *
 * <p>
 * All that a server ran when it crashed is suspect. A request is kept away once it was
 * part of two crashes or more that have no other suspect in common. What has ended well
 * anywhere is not suspect any more. Where a server is given one suspect at a time, the
 * next crash tells which one it was. Not thread-safe.
 */
public final class CrashSuspects {

	/** Crashes after which a request is kept away, whatever else was part of them. */
	private static final int MAX_CRASHES = 5;

	/** Crashes after which a request is kept away if it alone was part of all of them. */
	private static final int SURE_CRASHES = 2;

	/** After this time a crash counts no more, and the request may be tried again. */
	private static final long KEPT_NANOS = Duration.ofMinutes(5).toNanos();

	private final Map<BackendIncarnation, Noted> reports = new LinkedHashMap<>();

	private final Map<Long, Cleared> cleared = new LinkedHashMap<>();

	private Set<Long> keptAway = Set.of();

	/**
	 * Takes what an instance tells. The same may be told many times.
	 * @param from the instance
	 * @param notes what it tells
	 * @param now the time, in nanoseconds
	 * @return true if anything of it was not known
	 */
	public boolean merge(InstanceId from, CrashState notes, long now) {
		boolean news = false;
		for (CrashReport report : notes.reports()) {
			news |= this.reports.putIfAbsent(report.incarnation(), new Noted(from, report, now)) == null;
		}
		for (long request : notes.cleared()) {
			news |= this.cleared.putIfAbsent(request, new Cleared(from, now)) == null;
		}
		if (news) {
			decide(now);
		}
		return news;
	}

	/**
	 * Takes that a request ended well at an instance.
	 * @param at the instance
	 * @param request the request's fingerprint
	 * @param now the time, in nanoseconds
	 * @return true if it was suspect, so that others are to be told
	 */
	public boolean recordSuccess(InstanceId at, long request, long now) {
		if (!isSuspect(request)) {
			return false;
		}
		this.cleared.put(request, new Cleared(at, now));
		decide(now);
		return true;
	}

	/**
	 * Whether nothing is suspect, as nearly always, so that no fingerprint is needed.
	 * @return true if no crash is known
	 */
	public boolean isEmpty() {
		return this.reports.isEmpty();
	}

	/**
	 * Whether a request must not reach a backend server.
	 * @param request the request's fingerprint
	 * @param now the time, in nanoseconds
	 * @return true if so
	 */
	public boolean isBlocked(long request, long now) {
		if (!this.keptAway.contains(request)) {
			return false;
		}
		decide(now);
		return this.keptAway.contains(request);
	}

	/**
	 * Whether a request was part of a crash and has not ended well since.
	 * @param request the request's fingerprint
	 * @return true if so
	 */
	public boolean isSuspect(long request) {
		return !this.cleared.containsKey(request)
				&& this.reports.values().stream().anyMatch((noted) -> noted.report.requests().contains(request));
	}

	/**
	 * How many requests are kept away.
	 * @return the number
	 */
	public int blockedCount() {
		return this.keptAway.size();
	}

	/**
	 * What an instance has to tell the others.
	 * @param instance the instance
	 * @return the latest of what is known from it
	 */
	public CrashState stateOf(InstanceId instance) {
		List<CrashReport> own = latest(this.reports.values().stream().filter((noted) -> noted.from.equals(instance)),
				CrashState.MAX_REPORTS)
			.map(Noted::report)
			.toList();
		Set<Long> ended = latest(
				this.cleared.entrySet().stream().filter((entry) -> entry.getValue().at.equals(instance)),
				CrashState.MAX_CLEARED)
			.map(Map.Entry::getKey)
			.collect(Collectors.toUnmodifiableSet());
		return new CrashState(own, ended);
	}

	// Both maps keep the order in which things became known.
	private static <T> Stream<T> latest(Stream<T> all, int most) {
		List<T> list = all.toList();
		return list.stream().skip(Math.max(0, list.size() - most));
	}

	private void decide(long now) {
		this.reports.values().removeIf((noted) -> now - noted.sinceNanos >= KEPT_NANOS);
		this.cleared.values().removeIf((each) -> now - each.sinceNanos >= KEPT_NANOS);
		Map<Long, List<Set<Long>>> crashes = new HashMap<>();
		this.reports.values().forEach((noted) -> {
			Set<Long> suspects = new HashSet<>(noted.report.requests());
			suspects.removeAll(this.cleared.keySet());
			suspects.forEach((request) -> crashes.computeIfAbsent(request, (key) -> new ArrayList<>()).add(suspects));
		});
		this.keptAway = crashes.entrySet()
			.stream()
			.filter((entry) -> guilty(entry.getValue()))
			.map(Map.Entry::getKey)
			.collect(Collectors.toUnmodifiableSet());
	}

	private static boolean guilty(List<Set<Long>> crashes) {
		if (crashes.size() >= MAX_CRASHES) {
			return true;
		}
		if (crashes.size() < SURE_CRASHES) {
			return false;
		}
		Set<Long> common = new HashSet<>(crashes.stream().min(Comparator.comparingInt(Set::size)).orElseThrow());
		crashes.forEach(common::retainAll);
		return common.size() == 1;
	}

	private record Noted(InstanceId from, CrashReport report, long sinceNanos) {
	}

	private record Cleared(InstanceId at, long sinceNanos) {
	}

}
