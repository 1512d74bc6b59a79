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
 * Counts per minute the requests, refusals and run times from which the measures are
 * computed. Thread-safe; the requests' thread counts and the operators thread reads once
 * a minute, so the lock is almost uncontended.
 */
public final class OutcomeMeter {

	/**
	 * Number of minutes kept. A new lease manager collects the minutes that its
	 * predecessor had not stored yet. These are at most the five minutes between two
	 * writes, unless the store was unavailable in between.
	 */
	private static final int MAX_MINUTES = 120;

	/**
	 * Callers choose the names of services, so the number of different names must be
	 * bounded.
	 */
	private static final int MAX_SERVICES = 64;

	private final InstanceId instance;

	private final LongSupplier wallMillis;

	private final TreeMap<Long, Map<ServiceName, Counts>> countsByMinute = new TreeMap<>();

	private final Map<ServiceName, Integer> slotsByService = new HashMap<>();

	/**
	 * Creates a meter without counts.
	 * @param instance this instance
	 * @param wallMillis the wall clock, in milliseconds since 1970
	 */
	public OutcomeMeter(InstanceId instance, LongSupplier wallMillis) {
		this.instance = instance;
		this.wallMillis = wallMillis;
	}

	/**
	 * Counts an answer of a backend server to a caller of this daemon.
	 * @param service the service
	 */
	public synchronized void countAnswered(ServiceName service) {
		currentCounts(service).requests++;
	}

	/**
	 * Counts an error answered to a caller of this daemon.
	 * @param service the service
	 * @param kind the kind of the error; not counted are errors that the caller caused,
	 * requests refused because of their id or because they crashed backend servers, and
	 * errors that concern the document, the store, the stored state, an operator's order
	 * or an unreachable daemon
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
	 * Adds the run time of a request on the backend server of this instance.
	 * @param service the service
	 * @param nanos the run time, in nanoseconds
	 */
	public synchronized void addRunTime(ServiceName service, long nanos) {
		currentCounts(service).busyNanos += nanos;
	}

	/**
	 * Sets the number of slots that the backend server of this instance has announced.
	 * @param service the service of the backend server
	 * @param slotCount the number of requests that it runs concurrently
	 */
	public synchronized void updateSlots(ServiceName service, int slotCount) {
		this.slotsByService.put(service, slotCount);
	}

	/**
	 * Returns the counts of complete minutes.
	 * @param afterMinute the minute since 1970 after which reports are returned
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
			// Backend servers without requests are reported as well: idle servers are
			// part of the imbalance.
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
	 * Counts of one service in one minute.
	 */
	private static final class Counts {

		private long requests;

		private long refused;

		/** Bit n is set if a request was refused in second n of the minute. */
		private long refusedSecondsMask;

		private long busyNanos;

	}

}
