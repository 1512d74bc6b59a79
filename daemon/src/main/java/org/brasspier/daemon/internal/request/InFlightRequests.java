package org.brasspier.daemon.internal.request;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

import org.brasspier.core.Fence;
import org.brasspier.core.KeyHash;
import org.brasspier.core.ServiceName;
import org.brasspier.core.ownership.HeldRange;
import org.brasspier.core.request.CrashHistory;
import org.brasspier.daemon.internal.ownership.RequestsReport;

/**
 * The requests that this instance has admitted as owner and that may still take effect,
 * and the ranges that wait until none of these is left. Not thread-safe; used in the
 * request thread only.
 */
final class InFlightRequests {

	private final CrashHistory marks;

	private final OwnershipReportSink reports;

	private final Predicate<HeldRange> granted;

	private final Set<Entry> entries = new HashSet<>();

	private final List<HeldRange> draining = new ArrayList<>();

	// Reports are offered to a ring; if it is full they are offered again later. A
	// range is not reported drained while the backend server may still use a grant of
	// it, for example when it resumes after a pause.
	InFlightRequests(CrashHistory marks, OwnershipReportSink reports, Predicate<HeldRange> granted) {
		this.marks = marks;
		this.reports = reports;
		this.granted = granted;
	}

	Entry begin(ServiceName service, KeyHash point, Fence fence) {
		Entry entry = new Entry(service, point, fence);
		this.entries.add(entry);
		return entry;
	}

	void end(Entry entry) {
		this.entries.remove(entry);
		if (!this.draining.isEmpty()) {
			reportDrained();
		}
	}

	void drain(HeldRange held) {
		if (!this.draining.contains(held)) {
			this.draining.add(held);
		}
		reportDrained();
	}

	// Also called every 20 ms, for reports that the ring had no room for.
	void reportDrained() {
		this.draining.removeIf((held) -> this.entries.stream().noneMatch((entry) -> entry.belongsTo(held))
				&& !this.granted.test(held)
				&& this.reports.offer(new RequestsReport.RangeDrained(held, this.marks.marksFor(held.range()))));
	}

	int size() {
		return this.entries.size();
	}

	/**
	 * One admitted request. Compared by identity.
	 */
	static final class Entry {

		private final ServiceName service;

		private final KeyHash point;

		private final Fence fence;

		Entry(ServiceName service, KeyHash point, Fence fence) {
			this.service = service;
			this.point = point;
			this.fence = fence;
		}

		boolean belongsTo(HeldRange held) {
			return this.service.equals(held.service()) && this.fence.equals(held.fence())
					&& held.range().contains(this.point);
		}

	}

}
