package org.brasspier.core.crash;

import java.util.List;
import java.util.Set;
import java.util.stream.Stream;

/**
 * What one instance knows of crashes and replicates to the others. Immutable and
 * thread-safe.
 *
 * @param reports the latest crashes of its backend server, at most {@link #MAX_REPORTS}
 * @param cleared fingerprints of requests that were part of a crash on any instance and
 * have succeeded on this instance since, at most {@link #MAX_CLEARED}
 */
public record CrashState(List<CrashReport> reports, Set<Long> cleared) {

	/** The maximum number of reports; the oldest are discarded first. */
	public static final int MAX_REPORTS = 8;

	/** Enough for all requests of the maximum number of reports. */
	public static final int MAX_CLEARED = CrashReport.MAX_REQUESTS * MAX_REPORTS;

	/** The state without any crash. */
	public static final CrashState EMPTY = new CrashState(List.of(), Set.of());

	/**
	 * Returns a copy with another crash.
	 * @param report the crash
	 * @return the copy, without the oldest crash if there would be too many
	 */
	public CrashState withReport(CrashReport report) {
		List<CrashReport> all = Stream.concat(this.reports.stream(), Stream.of(report)).toList();
		return new CrashState(all.subList(Math.max(0, all.size() - MAX_REPORTS), all.size()), this.cleared);
	}

	/**
	 * Copies the collections.
	 * @throws IllegalArgumentException if one of them is too large
	 */
	public CrashState {
		reports = List.copyOf(reports);
		cleared = Set.copyOf(cleared);
		if (reports.size() > MAX_REPORTS || cleared.size() > MAX_CLEARED) {
			throw new IllegalArgumentException(
					"%d crash reports and %d cleared requests are too many".formatted(reports.size(), cleared.size()));
		}
	}

}
