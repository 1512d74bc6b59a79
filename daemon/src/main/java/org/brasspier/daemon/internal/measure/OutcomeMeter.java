package org.brasspier.daemon.internal.measure;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import org.brasspier.core.ErrorKind;
import org.brasspier.core.InstanceId;
import org.brasspier.core.ServiceName;
import org.brasspier.core.measure.MinuteReport;

/**
 * Counts, minute by minute, what the measures are made from. Thread-safe; the thread of
 * requests counts, the thread of operators reads once a minute, so the lock is all but
 * free.
 */
public final class OutcomeMeter {

	/**
	 * A new lease manager collects what its predecessor had not kept yet; that is at most
	 * the five minutes between two writes, unless the store is down meanwhile.
	 */
	private static final int MAX_MINUTES = 120;

	/** Services have names from callers: a flood of made-up ones must stay bounded. */
	private static final int MAX_SERVICES = 64;

	private final InstanceId instance;

	private final LongSupplier wallMillis;

	private final TreeMap<Long, Map<ServiceName, Counts>> countsByMinute = new TreeMap<>();

	private final Map<ServiceName, Integer> slotsByService = new HashMap<>();

	/**
	 * Creates a meter that has counted nothing.
	 * @param instance this instance
	 * @param wallMillis the wall clock, in milliseconds since 1970
	 */
	public OutcomeMeter(InstanceId instance, LongSupplier wallMillis) {
		this.instance = instance;
		this.wallMillis = wallMillis;
	}

	/**
	 * A caller of this daemon got its answer from a backend server.
	 * @param service the service
	 */
	public synchronized void countAnswered(ServiceName service) {
		currentCounts(service).requests++;
	}

	/**
	 * A caller of this daemon got an error.
	 * @param service the service
	 * @param kind its kind; the caller's own faults don't count
	 */
	public synchronized void countFailed(ServiceName service, ErrorKind kind) {
		if (!countsAsRefused(kind)) {
			return;
		}
		Counts counts = currentCounts(service);
		counts.requests++;
		counts.refused++;
		counts.refusedSecondsMask |= 1L << (TimeUnit.MILLISECONDS.toSeconds(this.wallMillis.getAsLong()) % 60);
	}

	private static boolean countsAsRefused(ErrorKind kind) {
		return switch (kind) {
			case OVERLOADED, NO_FREE_SLOT, NO_OWNER, NOT_OWNER, NO_BACKEND, DEADLINE_PASSED, TIMED_OUT, OUTCOME_UNKNOWN,
					BAD_ANSWER, POSSIBLY_RAN_BEFORE, INTERNAL_ERROR, NO_CONFIGURATION ->
				true;
			case BAD_REQUEST, UNAUTHORIZED, UNKNOWN_SERVICE, BODY_TOO_LARGE, HEAD_TOO_LARGE, REQUEST_TIMEOUT, NO_ROUTE,
					TICKET_REQUIRED, IN_PROGRESS, ID_REUSED, CRASHED_BACKENDS, DOCUMENT_INVALID, DOCUMENT_CONFLICT,
					STORE_OUTCOME_UNKNOWN, STORE_UNAVAILABLE, STATE_UNREADABLE, ORDER_REFUSED, DAEMON_UNREACHABLE ->
				false;
		};
	}

	/**
	 * A request ran on the backend server beside this daemon.
	 * @param service the service
	 * @param nanos for how long, in nanoseconds
	 */
	public synchronized void countRunTime(ServiceName service, long nanos) {
		currentCounts(service).busyNanos += nanos;
	}

	/**
	 * The backend server beside this daemon has told how much it runs at once.
	 * @param service its service
	 * @param slotCount its slots
	 */
	public synchronized void updateSlots(ServiceName service, int slotCount) {
		this.slotsByService.put(service, slotCount);
	}

	/**
	 * What was counted in whole minutes.
	 * @param afterMinute only minutes after this one, counted since 1970
	 * @return one report for each minute and service, oldest first
	 */
	public synchronized List<MinuteReport> reportsAfter(long afterMinute) {
		long currentMinute = TimeUnit.MILLISECONDS.toMinutes(this.wallMillis.getAsLong());
		List<MinuteReport> reports = new ArrayList<>();
		if (afterMinute + 1 < currentMinute) {
			this.countsByMinute.subMap(afterMinute + 1, currentMinute)
				.forEach((minute, services) -> services
					.forEach((service, counts) -> reports.add(toReport(minute, service, counts))));
		}
		return reports;
	}

	private MinuteReport toReport(long minute, ServiceName service, Counts counts) {
		return new MinuteReport(this.instance, service, minute, counts.requests, counts.refused,
				counts.refusedSecondsMask, TimeUnit.NANOSECONDS.toMillis(counts.busyNanos),
				this.slotsByService.getOrDefault(service, 0));
	}

	private Counts currentCounts(ServiceName service) {
		long minute = TimeUnit.MILLISECONDS.toMinutes(this.wallMillis.getAsLong());
		Map<ServiceName, Counts> countsByService = this.countsByMinute.get(minute);
		if (countsByService == null) {
			countsByService = new HashMap<>();
			// A server without requests counts as well: an idle one is what imbalance is.
			for (ServiceName announced : this.slotsByService.keySet()) {
				countsByService.put(announced, new Counts());
			}
			this.countsByMinute.put(minute, countsByService);
			while (this.countsByMinute.size() > MAX_MINUTES) {
				this.countsByMinute.pollFirstEntry();
			}
		}
		ServiceName countedService = (countsByService.size() < MAX_SERVICES || countsByService.containsKey(service))
				? service : new ServiceName("others");
		return countsByService.computeIfAbsent(countedService, (name) -> new Counts());
	}

	/**
	 * What is counted of one service in one minute.
	 */
	private static final class Counts {

		private long requests;

		private long refused;

		private long refusedSecondsMask;

		private long busyNanos;

	}

}
