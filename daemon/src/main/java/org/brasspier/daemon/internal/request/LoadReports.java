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
 * Measures the load of the ranges that this instance holds and reports it. Not
 * thread-safe; used in the request thread only.
 */
final class LoadReports {

	/**
	 * Hot keys change within minutes; this window follows them within tens of seconds.
	 */
	private static final long WINDOW_NANOS = Duration.ofSeconds(10).toNanos();

	/**
	 * Weight of the moving average of run times: a refused request counts as the mean of
	 * about this many requests that ran.
	 */
	private static final int MEAN_RUN_WEIGHT = 32;

	private final Supplier<OwnershipSnapshot> ownership;

	private final OwnershipReportSink reports;

	private final Map<ServiceName, LoadMeter> meters = new HashMap<>();

	private final OutcomeMeter outcomes;

	private final Map<ServiceName, Map<Fence, Long>> heldSince = new HashMap<>();

	private long meanRunNanos;

	LoadReports(Supplier<OwnershipSnapshot> ownership, OwnershipReportSink reports, OutcomeMeter outcomes) {
		this.outcomes = outcomes;
		this.ownership = ownership;
		this.reports = reports;
	}

	// Records a request that occupied a slot.
	void recordRun(CallerRequest request, long busyNanos) {
		this.outcomes.addRunTime(request.service(), busyNanos);
		this.meanRunNanos += (busyNanos - this.meanRunNanos) / MEAN_RUN_WEIGHT;
		record(request, busyNanos);
	}

	// Records a refused request with the mean run time: balancing must spread the
	// demand, and a full server runs no more than its slots however high the demand is.
	void recordRefused(CallerRequest request) {
		record(request, this.meanRunNanos);
	}

	private void record(CallerRequest request, long busyNanos) {
		long now = System.nanoTime();
		this.meters.computeIfAbsent(request.service(), (service) -> new LoadMeter(WINDOW_NANOS, now))
			.record(request.keyHash(), busyNanos, now);
	}

	private static RangeLoad load(LoadMeter meter, KeyRange range, long since, long now) {
		return new RangeLoad(range, meter.busySlots(range, since, now), meter.hottest(range, since, now));
	}

	// Keyed by fence: a range that is split keeps its fence, and its load was measured
	// without interruption.
	private Map<Fence, Long> since(ServiceName service, LoadMeter meter, List<Assignment> held, long now) {
		Map<Fence, Long> since = this.heldSince.computeIfAbsent(service, (key) -> new HashMap<>());
		Set<Fence> present = held.stream().map(Assignment::fence).collect(Collectors.toSet());
		since.keySet().retainAll(present);
		held.stream().filter((each) -> !since.containsKey(each.fence())).forEach((each) -> meter.forget(each.range()));
		present.forEach((fence) -> since.putIfAbsent(fence, now));
		return since;
	}

	// A report that does not fit in the ring is lost; the next one, a second later, is
	// complete again.
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
