package org.brasspier.core.crash;

import java.util.List;
import java.util.Set;
import java.util.stream.Stream;

/**
 * What one instance knows of crashes and tells the others. Immutable and thread-safe.
 *
 * @param reports the latest crashes of its backend server, at most {@link #MAX_REPORTS}
 * @param cleared requests that were part of a crash somewhere and have ended well at this
 * instance since, at most {@link #MAX_CLEARED}
 */
public record CrashState(List<CrashReport> reports, Set<Long> cleared) {

	/** Older ones are forgotten first. */
	public static final int MAX_REPORTS = 8;

	/** What ran beside the requests of so many reports. */
	public static final int MAX_CLEARED = CrashReport.MAX_REQUESTS * MAX_REPORTS;

	/** Nothing is known. */
	public static final CrashState EMPTY = new CrashState(List.of(), Set.of());

	/**
	 * The same with another crash.
	 * @param report the crash
	 * @return these notes without the oldest crash if there were too many
	 */
	public CrashState withReport(CrashReport report) {
		List<CrashReport> all = Stream.concat(this.reports.stream(), Stream.of(report)).toList();
		return new CrashState(all.subList(Math.max(0, all.size() - MAX_REPORTS), all.size()), this.cleared);
	}

	/**
	 * Copies the lists.
	 * @throws IllegalArgumentException if one of them is too long
	 */
	public CrashState {
		reports = List.copyOf(reports);
		cleared = Set.copyOf(cleared);
		if (reports.size() > MAX_REPORTS || cleared.size() > MAX_CLEARED) {
			throw new IllegalArgumentException("notes of %d crashes and %d cleared requests are too many"
				.formatted(reports.size(), cleared.size()));
		}
	}

}
