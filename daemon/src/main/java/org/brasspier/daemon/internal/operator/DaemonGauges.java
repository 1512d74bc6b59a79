package org.brasspier.daemon.internal.operator;

import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.function.ToIntFunction;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.Metric;
import com.codahale.metrics.MetricSet;
import org.brasspier.core.routing.OwnershipSnapshot;
import org.brasspier.daemon.internal.DaemonContext;
import org.brasspier.daemon.internal.ownership.CellView;
import org.brasspier.daemon.internal.request.GateView;

/**
 * The gauges of a daemon for monitoring systems. Values are read when the metrics are
 * scraped. Thread-safe.
 */
final class DaemonGauges implements MetricSet {

	private final DaemonContext context;

	private final Supplier<OwnershipSnapshot> ownershipSnapshot;

	private final Supplier<CellView> cellView;

	private final Supplier<GateView> gateView;

	DaemonGauges(DaemonContext context, Supplier<OwnershipSnapshot> ownershipSnapshot, Supplier<CellView> cellView,
			Supplier<GateView> gateView) {
		this.gateView = gateView;
		this.context = context;
		this.ownershipSnapshot = ownershipSnapshot;
		this.cellView = cellView;
	}

	@Override
	public Map<String, Metric> getMetrics() {
		Map<String, Metric> gauges = new TreeMap<>(DutyCpuTimes.gauges());
		gauges.put("document_version", gauge(() -> this.context.documents().inForce().version()));
		gauges.put("document_read", gauge(() -> (this.context.documents().inForce().known()) ? 1 : 0));
		gauges.put("events_lost", gauge(() -> this.context.events().totalLostEvents()));
		gauges.put("lease_millis_left", gauge(this::leaseMillisLeft));
		gauges.put("cell_members", gauge(() -> this.cellView.get().members().size()));
		gauges.put("cell_ranges_without_owner", gauge(this::rangesWithoutOwner));
		gauges.put("requests_running", gauge(() -> sumOverClasses(GateView.Load::running)));
		gauges.put("requests_waiting", gauge(() -> sumOverClasses(GateView.Load::waiting)));
		gauges.put("heap_used_bytes", gauge(DaemonGauges::heapUsedBytes));
		gauges.put("process_cpu_millis", gauge(DaemonGauges::processCpuMillis));
		return gauges;
	}

	private long leaseMillisLeft() {
		return Math.max(0,
				TimeUnit.NANOSECONDS.toMillis(this.ownershipSnapshot.get().leaseEndNanos() - System.nanoTime()));
	}

	private long rangesWithoutOwner() {
		return this.cellView.get().ranges().stream().filter((range) -> range.owner().isEmpty()).count();
	}

	private int sumOverClasses(ToIntFunction<GateView.Load> count) {
		return this.gateView.get().classes().stream().mapToInt(count).sum();
	}

	private static long heapUsedBytes() {
		return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
	}

	private static long processCpuMillis() {
		return ProcessHandle.current().info().totalCpuDuration().map(Duration::toMillis).orElse(0L);
	}

	private static Gauge<Number> gauge(Supplier<Number> value) {
		return value::get;
	}

}
