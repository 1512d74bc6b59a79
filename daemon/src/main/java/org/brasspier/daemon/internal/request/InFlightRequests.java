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
 * What this instance has admitted as owner and what may still take effect, and the ranges
 * that wait to be drained of it. Belongs to the thread of requests.
 */
final class InFlightRequests {

	private final CrashHistory marks;

	private final OwnershipReportSink reports;

	private final Predicate<HeldRange> granted;

	private final Set<Entry> entries = new HashSet<>();

	private final List<HeldRange> draining = new ArrayList<>();

	// The reports are offered to a ring, which may be full; then they are offered again.
	// A backend server that may still go by a grant, as after a pause, keeps its range.
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

	// Also called each few milliseconds, for reports that the ring did not take.
	void reportDrained() {
		this.draining.removeIf((held) -> this.entries.stream().noneMatch((entry) -> entry.belongsTo(held))
				&& !this.granted.test(held)
				&& this.reports.offer(new RequestsReport.RangeDrained(held, this.marks.marksFor(held.range()))));
	}

	int size() {
		return this.entries.size();
	}

	/**
	 * One admitted request. Told from others by identity.
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
