package org.brasspier.core.crash;

import java.time.Duration;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Predicate;

import org.brasspier.core.keys.BackendIncarnation;

/**
 * Detects whether the backend server on a daemon's instance has crashed, and which
 * requests it was running. A connection that ends without an answer proves nothing by
 * itself: networks cut connections, and servers truncate answers. The server has crashed
 * if nothing listens on its address shortly afterwards, or if a new incarnation of it
 * starts; it is alive if it answers a request that was sent later. A request that was
 * abandoned shortly before a crash may have caused it as well, unless the server is
 * leaving as planned.
 *
 * <p>
 * One incarnation may crash several times: a server can restart under its id, and crash
 * again before it sends a heartbeat. A loss belongs to the crash that was detected last
 * if its connection was opened before that. All times are nanoseconds of the same steady
 * clock. Not thread-safe.
 */
public final class CrashDetector {

	/**
	 * Connections that ended longer ago are not attributed to a crash: within this time,
	 * a crashed server has restarted or has been found to be gone.
	 */
	private static final long RETENTION_NANOS = Duration.ofSeconds(10).toNanos();

	/** Most servers stop to work on an abandoned request within this time. */
	private static final long ABANDONED_RETENTION_NANOS = Duration.ofSeconds(1).toNanos();

	private final LongSupplier ids;

	// When the connection ended, by request.
	private final Map<RequestFingerprint, Long> lostNanos = new LinkedHashMap<>();

	// When the request was abandoned.
	private final Map<RequestFingerprint, Long> abandonedNanos = new LinkedHashMap<>();

	private Optional<BackendIncarnation> incarnation = Optional.empty();

	private Optional<End> latestEnd = Optional.empty();

	private boolean leaving;

	/**
	 * Creates a detector.
	 * @param ids returns an id for each crash, different from those of all other crashes
	 * on all instances
	 */
	public CrashDetector(LongSupplier ids) {
		this.ids = ids;
	}

	/**
	 * Records that a connection ended while the server was handling its request.
	 * @param serverIncarnation the incarnation of the server
	 * @param request the request
	 * @param openedNanos when the connection was opened
	 * @param sentNanos when the request was sent
	 * @param nowNanos the current time
	 * @return the latest crash with this request added, if the connection belongs to it
	 */
	public Optional<CrashReport> onConnectionLost(BackendIncarnation serverIncarnation, RequestFingerprint request,
			long openedNanos, long sentNanos, long nowNanos) {
		Optional<End> end = this.latestEnd.filter((each) -> each.concerns(serverIncarnation, openedNanos));
		if (end.isEmpty()) {
			follow(serverIncarnation);
			this.lostNanos.put(request, nowNanos);
			return Optional.empty();
		}
		// What is sent to a process that has ended doesn't run.
		return (sentNanos - end.get().nanos <= 0) ? addToLatest(end.get(), request) : Optional.empty();
	}

	private Optional<CrashReport> addToLatest(End end, RequestFingerprint request) {
		CrashReport added = new CrashReport(end.report.map(CrashReport::id).orElseGet(this.ids::getAsLong),
				end.incarnation, Set.of(request));
		CrashReport report = end.report.map((before) -> before.mergedWith(added)).orElse(added);
		this.latestEnd = Optional.of(new End(end.incarnation, end.nanos, Optional.of(report)));
		return Optional.of(report).filter((changed) -> !end.report.equals(Optional.of(changed)));
	}

	/**
	 * Records that a request was abandoned while the server was handling it.
	 * @param serverIncarnation the incarnation of the server
	 * @param request the request
	 * @param nowNanos the current time
	 */
	public void onAbandoned(BackendIncarnation serverIncarnation, RequestFingerprint request, long nowNanos) {
		follow(serverIncarnation);
		if (!this.leaving) {
			this.abandonedNanos.put(request, nowNanos);
			Iterator<Long> times = this.abandonedNanos.values().iterator();
			while (times.hasNext() && nowNanos - times.next() >= RETENTION_NANOS) {
				times.remove();
			}
		}
	}

	private void follow(BackendIncarnation serverIncarnation) {
		if (!this.incarnation.equals(Optional.of(serverIncarnation))) {
			this.lostNanos.clear();
			this.abandonedNanos.clear();
			this.leaving = false;
			this.incarnation = Optional.of(serverIncarnation);
		}
	}

	/**
	 * Records that the server answered.
	 * @param serverIncarnation the incarnation of the server
	 * @param sentNanos when the answered request was sent
	 */
	public void onAnswer(BackendIncarnation serverIncarnation, long sentNanos) {
		if (this.incarnation.equals(Optional.of(serverIncarnation))) {
			this.lostNanos.values().removeIf((lost) -> lost - sentNanos < 0);
			this.abandonedNanos.values().removeIf((abandoned) -> abandoned + ABANDONED_RETENTION_NANOS - sentNanos < 0);
		}
	}

	/**
	 * Records that the server has announced that it will leave. What it abandons from now
	 * on does not make its end a crash.
	 * @param serverIncarnation the incarnation of the server
	 */
	public void onLeaving(BackendIncarnation serverIncarnation) {
		follow(serverIncarnation);
		this.leaving = true;
		this.abandonedNanos.clear();
	}

	/**
	 * Returns whether a connection has ended and it is not known yet whether the server
	 * crashed.
	 * @return true if there is such a connection
	 */
	public boolean hasUnexplainedLosses() {
		return !this.lostNanos.isEmpty();
	}

	/**
	 * Records that nothing listens on the server's address, or that a new incarnation has
	 * started.
	 * @param serverIncarnation the incarnation that has ended
	 * @param suspect accepts requests that were part of earlier crashes; they are
	 * reported first if there are too many
	 * @param nowNanos the current time
	 * @return the requests that it was running when it crashed; empty if no connection
	 * ended recently and no request was abandoned
	 */
	public Optional<CrashReport> onServerEnded(BackendIncarnation serverIncarnation,
			Predicate<RequestFingerprint> suspect, long nowNanos) {
		if (!this.incarnation.equals(Optional.of(serverIncarnation))) {
			this.latestEnd = this.latestEnd.filter((end) -> end.incarnation.equals(serverIncarnation))
				.or(() -> Optional.of(new End(serverIncarnation, nowNanos, Optional.empty())));
			return Optional.empty();
		}
		this.lostNanos.values().removeIf((lost) -> nowNanos - lost >= RETENTION_NANOS);
		this.abandonedNanos.values().removeIf((abandoned) -> nowNanos - abandoned >= RETENTION_NANOS);
		Set<RequestFingerprint> requests = new HashSet<>();
		addUpToLimit(requests, this.lostNanos.keySet(), suspect);
		addUpToLimit(requests, this.lostNanos.keySet(), (request) -> true);
		addUpToLimit(requests, this.abandonedNanos.keySet(), (request) -> true);
		this.lostNanos.clear();
		this.abandonedNanos.clear();
		Optional<CrashReport> report = requests.isEmpty() ? Optional.empty()
				: Optional.of(new CrashReport(this.ids.getAsLong(), serverIncarnation, requests));
		if (report.isPresent() || this.latestEnd.filter((end) -> end.incarnation.equals(serverIncarnation)).isEmpty()) {
			this.latestEnd = Optional.of(new End(serverIncarnation, nowNanos, report));
		}
		return report;
	}

	private static void addUpToLimit(Set<RequestFingerprint> requests, Set<RequestFingerprint> more,
			Predicate<RequestFingerprint> accepted) {
		more.stream()
			.filter(accepted)
			.takeWhile((request) -> requests.size() < CrashReport.MAX_REQUESTS)
			.forEach(requests::add);
	}

	private record End(BackendIncarnation incarnation, long nanos, Optional<CrashReport> report) {

		boolean concerns(BackendIncarnation lost, long openedNanos) {
			return this.incarnation.equals(lost) && openedNanos - this.nanos <= 0;
		}

	}

}
