package org.brasspier.core.crash;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.function.ToLongFunction;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import com.dynatrace.hash4j.hashing.Hashing;
import org.brasspier.core.InstanceId;

/**
 * Determines which requests must not reach another backend server, from the crashes that
 * all instances report. It guards against a request that crashes every server that runs
 * it and whose caller sends it again and again: without this it takes a service down
 * server by server, and again each time a server is back.
 *
 * <p>
 * All requests that a server was running when it crashed are suspect. A request that a
 * server answers without a server error is exonerated of the crashes that were known when
 * it was sent, and of no others: it may crash servers later, for example after a release
 * of their software. Crashes are counted for requests with the same query first; those
 * that remain unexplained are counted for requests with any query. {@link CrashEvidence}
 * states when a request is blocked and for how long. If a server is given only one
 * suspect at a time, the next crash shows which one caused it. Not thread-safe.
 */
public final class CrashSuspects {

	/** After this time a crash no longer counts. */
	static final Duration RETENTION = Duration.ofMinutes(5);

	private static final int MIN_SERVER_ERROR = 500;

	private static final CrashEvidence NONE = CrashEvidence.of(List.of(), Set.of());

	private final InstanceId self;

	private final Map<Long, KnownReport> reports = new LinkedHashMap<>();

	private final Map<Exoneration, Source> exonerations = new LinkedHashMap<>();

	// Requests that earlier builds have cleared, or are to be told of as cleared.
	private final Map<Long, Source> cleared = new LinkedHashMap<>();

	private CrashEvidence exact = NONE;

	private CrashEvidence resources = NONE;

	private CrashEvidence untagged = NONE;

	/**
	 * Creates an instance without any crash.
	 * @param self the instance that decides
	 */
	public CrashSuspects(InstanceId self) {
		this.self = self;
	}

	/**
	 * Merges the state of an instance. Merging the same state again has no effect, and
	 * the order in which states are merged doesn't matter.
	 * @param from the instance
	 * @param state its state
	 * @param nowNanos the current time, in nanoseconds of the steady clock
	 * @return true if any of it was new
	 */
	public boolean merge(InstanceId from, CrashState state, long nowNanos) {
		Source source = new Source(from, nowNanos);
		boolean changed = false;
		for (CrashReport report : state.reports()) {
			changed |= add(report, source);
		}
		for (Exoneration exoneration : state.exonerations()) {
			changed |= this.exonerations.putIfAbsent(exoneration, source) == null;
		}
		for (long request : state.cleared()) {
			changed |= this.cleared.putIfAbsent(request, source) == null;
		}
		if (changed) {
			evaluate(nowNanos);
		}
		return changed;
	}

	/**
	 * Records a crash of this instance's backend server.
	 * @param report the crash
	 * @param nowNanos the current time, in nanoseconds of the steady clock
	 */
	public void recordCrash(CrashReport report, long nowNanos) {
		add(report, new Source(this.self, nowNanos));
		evaluate(nowNanos);
	}

	private boolean add(CrashReport report, Source source) {
		KnownReport known = this.reports.get(report.id());
		KnownReport merged = (known != null) ? new KnownReport(known.report.mergedWith(report), known.source)
				: new KnownReport(report, source);
		this.reports.put(report.id(), merged);
		return !merged.equals(known);
	}

	/**
	 * Records that this instance's backend server answered a request. The request is
	 * exonerated by any answer but a server error: a server may answer with an error
	 * before it reaches the code that crashes it, for example because the deadline passed
	 * or a call of its own failed.
	 * @param request the request
	 * @param status the HTTP status of the answer
	 * @param sentNanos when the request was sent to the server; crashes that became known
	 * later are not affected
	 * @param nowNanos the current time, in nanoseconds of the steady clock
	 * @return true if it was suspect and is exonerated, so that the other instances must
	 * be told
	 */
	public boolean recordAnswer(RequestFingerprint request, int status, long sentNanos, long nowNanos) {
		if (status >= MIN_SERVER_ERROR || !isSuspect(request)) {
			return false;
		}
		List<CrashReport> earlier = this.reports.values()
			.stream()
			.filter((known) -> known.source.sinceNanos - sentNanos <= 0 && known.contains(request))
			.map(KnownReport::report)
			.toList();
		if (earlier.isEmpty()) {
			return false;
		}
		Source source = new Source(this.self, nowNanos);
		earlier.forEach((report) -> this.exonerations
			.put(new Exoneration(report.id(), request.exact(), request.resource()), source));
		this.cleared.put(request.untagged(), source);
		evaluate(nowNanos);
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
	 * @param request the request
	 * @param nowNanos the current time, in nanoseconds of the steady clock
	 * @return true if it is blocked
	 */
	public boolean isBlocked(RequestFingerprint request, long nowNanos) {
		if (!isSuspect(request)) {
			return false;
		}
		if (expire(nowNanos)) {
			evaluate(nowNanos);
		}
		return this.exact.isBlocked(request.exact(), this::jitter, nowNanos)
				|| this.resources.isBlocked(request.resource(), this::jitter, nowNanos)
				|| this.untagged.isBlocked(request.untagged(), this::jitter, nowNanos);
	}

	private double jitter(long request) {
		long hash = Hashing.komihash5_0().hashStream().putString(this.self.value()).putLong(request).getAsLong();
		return (hash >>> 11) * 0x1.0p-53;
	}

	/**
	 * Returns whether a request was part of a crash and has not succeeded since.
	 * @param request the request
	 * @return true if it is suspect
	 */
	public boolean isSuspect(RequestFingerprint request) {
		return this.exact.isSuspect(request.exact()) || this.resources.isSuspect(request.resource())
				|| this.untagged.isSuspect(request.untagged());
	}

	/**
	 * Returns the number of crashes that a request was part of and for which it is still
	 * suspect.
	 * @param request the request
	 * @return 0 if it is not suspect
	 */
	public int crashCount(RequestFingerprint request) {
		return Math.max(this.exact.crashCount(request.exact()),
				Math.max(this.resources.crashCount(request.resource()), this.untagged.crashCount(request.untagged())));
	}

	/**
	 * Returns the number of requests that have been blocked; the blocks of some of them
	 * may be over.
	 * @return the number
	 */
	public int blockedCount() {
		return this.exact.blocked().size() + this.resources.blocked().size() + this.untagged.blocked().size();
	}

	/**
	 * Returns the state that this instance replicates to the others. It contains nothing
	 * that no longer counts here: another instance would count it from its receipt on.
	 * @param nowNanos the current time, in nanoseconds of the steady clock
	 * @return its latest reports and what has succeeded on it
	 */
	public CrashState ownState(long nowNanos) {
		if (expire(nowNanos)) {
			evaluate(nowNanos);
		}
		List<CrashReport> own = this.reports.values()
			.stream()
			.filter((known) -> known.source.at.equals(this.self))
			.map(KnownReport::report)
			.toList();
		return new CrashState(CrashState.latest(own), latestOwn(this.exonerations, CrashState.MAX_EXONERATIONS),
				latestOwn(this.cleared, CrashState.MAX_CLEARED));
	}

	// The maps are in the order in which their entries became known.
	private <T> Set<T> latestOwn(Map<T, Source> all, int maxCount) {
		List<T> own = all.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().at.equals(this.self))
			.map(Map.Entry::getKey)
			.toList();
		return Set.copyOf(own.subList(Math.max(0, own.size() - maxCount), own.size()));
	}

	private boolean expire(long nowNanos) {
		boolean expired = this.reports.values().removeIf((known) -> known.source.isExpired(nowNanos));
		this.exonerations.values().removeIf((source) -> source.isExpired(nowNanos));
		this.cleared.values().removeIf((source) -> source.isExpired(nowNanos));
		return expired;
	}

	private void evaluate(long nowNanos) {
		expire(nowNanos);
		Map<Long, List<Exoneration>> byCrash = this.exonerations.keySet()
			.stream()
			.collect(Collectors.groupingBy(Exoneration::crash));
		List<KnownReport> current = this.reports.values()
			.stream()
			.filter((known) -> !known.report.isOfEarlierBuild())
			.toList();
		this.exact = CrashEvidence.of(crashes(current, byCrash, RequestFingerprint::exact, Exoneration::exact),
				exonerated(Exoneration::exact));
		List<KnownReport> unexplained = current.stream()
			.filter((known) -> !this.exact.explains(known.report.id()))
			.toList();
		this.resources = CrashEvidence.of(
				crashes(unexplained, byCrash, RequestFingerprint::resource, Exoneration::resource),
				exonerated(Exoneration::resource));
		this.untagged = (current.size() == this.reports.size()) ? NONE : CrashEvidence
			.of(this.reports.values().stream().map(this::untaggedCrash).toList(), this.cleared.keySet());
	}

	private Set<Long> exonerated(Function<Exoneration, Long> hash) {
		return this.exonerations.keySet().stream().map(hash).collect(Collectors.toUnmodifiableSet());
	}

	private static List<CrashEvidence.Crash> crashes(List<KnownReport> reports, Map<Long, List<Exoneration>> byCrash,
			ToLongFunction<RequestFingerprint> hash, Function<Exoneration, Long> exonerated) {
		return reports.stream().map((known) -> {
			Set<Long> innocent = byCrash.getOrDefault(known.report.id(), List.of())
				.stream()
				.map(exonerated)
				.collect(Collectors.toSet());
			return known.crash((report) -> report.requests()
				.stream()
				.map(hash::applyAsLong)
				.filter((request) -> !innocent.contains(request)));
		}).toList();
	}

	private CrashEvidence.Crash untaggedCrash(KnownReport known) {
		return known
			.crash((report) -> report.untagged().stream().filter((request) -> !this.cleared.containsKey(request)));
	}

	private record KnownReport(CrashReport report, Source source) {

		boolean contains(RequestFingerprint request) {
			return this.report.untagged().contains(request.untagged())
					|| this.report.requests().stream().anyMatch((each) -> each.resource() == request.resource());
		}

		CrashEvidence.Crash crash(Function<CrashReport, Stream<Long>> suspects) {
			return new CrashEvidence.Crash(this.report.id(),
					suspects.apply(this.report).collect(Collectors.toUnmodifiableSet()), this.source.sinceNanos);
		}

	}

	private record Source(InstanceId at, long sinceNanos) {

		boolean isExpired(long nowNanos) {
			return nowNanos - this.sinceNanos >= RETENTION.toNanos();
		}

	}

}
