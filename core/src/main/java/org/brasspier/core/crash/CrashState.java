package org.brasspier.core.crash;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Set;

import org.jspecify.annotations.Nullable;

/**
 * What one instance knows of crashes and replicates to the others. Immutable and
 * thread-safe.
 *
 * @param reports the latest crashes of its backend server, at most {@link #MAX_REPORTS}
 * @param exonerations what has succeeded on this instance after a crash on any instance,
 * at most {@link #MAX_EXONERATIONS}
 * @param cleared the same for earlier builds, as {@link RequestFingerprint#untagged()} of
 * requests, at most {@link #MAX_CLEARED}
 */
public record CrashState(List<CrashReport> reports, Set<Exoneration> exonerations, Set<Long> cleared) {

	/** The maximum number of reports; the oldest are discarded first. */
	public static final int MAX_REPORTS = 8;

	/** The maximum number of requests in all reports together. */
	public static final int MAX_REPORTED_REQUESTS = CrashReport.MAX_REQUESTS;

	/** The maximum number of exonerations; the oldest are discarded first. */
	public static final int MAX_EXONERATIONS = 384;

	/** The maximum number that earlier builds accept. */
	public static final int MAX_CLEARED = CrashReport.MAX_UNTAGGED * MAX_REPORTS;

	/** The state without any crash. */
	public static final CrashState EMPTY = new CrashState(List.of(), Set.of(), Set.of());

	/**
	 * Copies the collections.
	 * @throws IllegalArgumentException if one of them is too large
	 */
	public CrashState {
		reports = List.copyOf(reports);
		exonerations = Set.copyOf(exonerations);
		cleared = Set.copyOf(cleared);
		if (reports.size() > MAX_REPORTS || requestCount(reports) > MAX_REPORTED_REQUESTS
				|| exonerations.size() > MAX_EXONERATIONS || cleared.size() > MAX_CLEARED) {
			throw new IllegalArgumentException(
					"%d crash reports with %d requests, %d exonerations and %d cleared requests are too many"
						.formatted(reports.size(), requestCount(reports), exonerations.size(), cleared.size()));
		}
	}

	/**
	 * Selects the latest reports that fit into a state.
	 * @param reports all reports, the oldest first
	 * @return the latest ones, the oldest first
	 */
	public static List<CrashReport> latest(List<CrashReport> reports) {
		Deque<CrashReport> selected = new ArrayDeque<>();
		int requests = 0;
		for (CrashReport report : reports.reversed()) {
			requests += report.requests().size();
			if (selected.size() == MAX_REPORTS || requests > MAX_REPORTED_REQUESTS) {
				break;
			}
			selected.addFirst(report);
		}
		return List.copyOf(selected);
	}

	private static int requestCount(List<CrashReport> reports) {
		return reports.stream().mapToInt((report) -> report.requests().size()).sum();
	}

	// Written by hand: the generated methods use method handles, which take milliseconds
	// to set up in a process that has just started.
	@Override
	public boolean equals(@Nullable Object other) {
		return other instanceof CrashState that && this.reports.equals(that.reports)
				&& this.exonerations.equals(that.exonerations) && this.cleared.equals(that.cleared);
	}

	@Override
	public int hashCode() {
		return 31 * (31 * this.reports.hashCode() + this.exonerations.hashCode()) + this.cleared.hashCode();
	}

}
