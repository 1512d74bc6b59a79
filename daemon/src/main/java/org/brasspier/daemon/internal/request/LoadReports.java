package org.brasspier.daemon.internal.request;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.Collectors;

import org.brasspier.core.Fence;
import org.brasspier.core.KeyRange;
import org.brasspier.core.ServiceName;
import org.brasspier.core.ownership.RangeLoad;
import org.brasspier.core.placement.LoadMeter;
import org.brasspier.core.request.CallerRequest;
import org.brasspier.core.routing.Assignment;
import org.brasspier.core.routing.OwnershipSnapshot;
import org.brasspier.daemon.internal.measure.OutcomeMeter;
import org.brasspier.daemon.internal.ownership.RequestsReport;

/**
 * Measures the load of the ranges held here and reports it. Belongs to the thread of
 * requests.
 */
final class LoadReports {

	/** Hot keys change within minutes; this follows them within tens of seconds. */
	private static final long WINDOW_NANOS = Duration.ofSeconds(10).toNanos();

	/** A refused request is taken for the mean of about so many that ran. */
	private static final int USUAL_OVER = 32;

	private final Supplier<OwnershipSnapshot> ownership;

	private final OwnershipReportSink reports;

	private final Map<ServiceName, LoadMeter> meters = new HashMap<>();

	private final OutcomeMeter outcomes;

	private final Map<ServiceName, Map<Fence, Long>> heldSince = new HashMap<>();

	private long usualNanos;

	LoadReports(Supplier<OwnershipSnapshot> ownership, OwnershipReportSink reports, OutcomeMeter outcomes) {
		this.outcomes = outcomes;
		this.ownership = ownership;
		this.reports = reports;
	}

	// A request kept a slot busy.
	void recordRun(CallerRequest request, long busyNanos) {
		this.outcomes.ran(request.service(), busyNanos);
		this.usualNanos += (busyNanos - this.usualNanos) / USUAL_OVER;
		record(request, busyNanos);
	}

	// A request would have kept a slot busy: demand is what must be spread, and a full
	// server serves no more than its slots whatever is asked of it.
	void recordRefused(CallerRequest request) {
		record(request, this.usualNanos);
	}

	private void record(CallerRequest request, long busyNanos) {
		long now = System.nanoTime();
		this.meters.computeIfAbsent(request.service(), (service) -> new LoadMeter(WINDOW_NANOS, now))
			.record(request.keyHash(), busyNanos, now);
	}

	private static RangeLoad load(LoadMeter meter, KeyRange range, long since, long now) {
		return new RangeLoad(range, meter.busySlots(range, since, now), meter.hottest(range, since, now));
	}

	// By fence: a range that is cut keeps its fence, and its load was seen all along.
	private Map<Fence, Long> since(ServiceName service, LoadMeter meter, List<Assignment> held, long now) {
		Map<Fence, Long> since = this.heldSince.computeIfAbsent(service, (key) -> new HashMap<>());
		Set<Fence> present = held.stream().map(Assignment::fence).collect(Collectors.toSet());
		since.keySet().retainAll(present);
		held.stream().filter((each) -> !since.containsKey(each.fence())).forEach((each) -> meter.forget(each.range()));
		present.forEach((fence) -> since.putIfAbsent(fence, now));
		return since;
	}

	// A report that the ring does not take is lost; the next one, a second later, says
	// all again.
	void report() {
		OwnershipSnapshot snapshot = this.ownership.get();
		long now = System.nanoTime();
		this.meters.forEach((service, meter) -> {
			List<Assignment> held = snapshot.held().assignments(service);
			Map<Fence, Long> since = since(service, meter, held, now);
			List<RangeLoad> loads = held.stream()
				.map((each) -> load(meter, each.range(), since.getOrDefault(each.fence(), now), now))
				.toList();
			this.reports.offer(new RequestsReport.RangeLoads(service, loads));
		});
	}

}
