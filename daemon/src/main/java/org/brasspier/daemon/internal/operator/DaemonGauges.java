package org.brasspier.daemon.internal.operator;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.Metric;
import com.codahale.metrics.MetricSet;
import org.brasspier.core.routing.OwnershipSnapshot;
import org.brasspier.daemon.internal.DaemonContext;
import org.brasspier.daemon.internal.ownership.CellView;

/**
 * What monitoring systems watch a daemon by, read at the time of the scrape. Thread-safe.
 */
final class DaemonGauges implements MetricSet {

	private final DaemonContext context;

	private final Supplier<OwnershipSnapshot> ownership;

	private final Supplier<CellView> cell;

	DaemonGauges(DaemonContext context, Supplier<OwnershipSnapshot> ownership, Supplier<CellView> cell) {
		this.context = context;
		this.ownership = ownership;
		this.cell = cell;
	}

	@Override
	public Map<String, Metric> getMetrics() {
		Runtime runtime = Runtime.getRuntime();
		Map<String, Metric> gauges = new HashMap<>(DutyTimes.gauges());
		gauges.putAll(Map.of("document_version", gauge(() -> this.context.documents().inForce().version()),
				"document_read", gauge(() -> (this.context.documents().inForce().read()) ? 1 : 0), "events_lost",
				gauge(() -> this.context.events().lostInAll()), "lease_millis_left",
				gauge(() -> Math.max(0,
						TimeUnit.NANOSECONDS.toMillis(this.ownership.get().leaseEndNanos() - System.nanoTime()))),
				"cell_members", gauge(() -> this.cell.get().members().size()), "cell_ranges_without_owner",
				gauge(() -> this.cell.get().ranges().stream().filter((range) -> range.owner().isEmpty()).count()),
				"heap_used_bytes", gauge(() -> runtime.totalMemory() - runtime.freeMemory()), "process_cpu_millis",
				gauge(() -> ProcessHandle.current().info().totalCpuDuration().map(Duration::toMillis).orElse(0L))));
		return gauges;
	}

	private static Gauge<Number> gauge(Supplier<Number> value) {
		return value::get;
	}

}
