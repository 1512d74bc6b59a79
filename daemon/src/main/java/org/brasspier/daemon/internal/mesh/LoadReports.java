package org.brasspier.daemon.internal.mesh;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.DoubleSupplier;

import org.brasspier.core.InstanceId;
import org.brasspier.core.keys.HolderLoad;
import org.brasspier.core.keys.KeyHolder;
import org.brasspier.core.keys.KeyHolding;
import org.brasspier.core.keys.KeyMap;
import org.brasspier.core.keys.KeyMeter;
import org.brasspier.core.keys.KeySpan;

/**
 * Collects the load of each holder of keys. Each holder sends its load once per second to
 * the instance that plans. Not thread-safe; confined to the request thread.
 */
final class LoadReports {

	private static final long REPORT_INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();

	/** Two report intervals and the transmission time of the second report. */
	private static final long MAX_REPORT_AGE_NANOS = Duration.ofMillis(2500).toNanos();

	private final InstanceId self;

	private final Directory directory;

	private final HopClient hops;

	private final KeyMeter meter;

	private final Map<InstanceId, ReceivedLoad> latest = new HashMap<>();

	private DoubleSupplier capacity = () -> 1;

	private long lastReportNanos;

	LoadReports(InstanceId self, Directory directory, HopClient hops, long now) {
		this.self = self;
		this.directory = directory;
		this.hops = hops;
		this.meter = new KeyMeter(now);
		this.lastReportNanos = now;
	}

	// Sets the source of the number of requests per second that the backend server can
	// run.
	void setCapacitySource(DoubleSupplier source) {
		this.capacity = source;
	}

	void recordRequest(int key) {
		this.meter.recordRequest(key);
	}

	void onLoadReport(HolderLoad load, long now) {
		this.latest.put(load.instance(), new ReceivedLoad(load, now));
	}

	void reportOwnLoad(KeyMap map, List<KeyHolder> holders, long now) {
		if (now - this.lastReportNanos < REPORT_INTERVAL_NANOS) {
			return;
		}
		this.lastReportNanos = now;
		this.meter.updateRates(now);
		List<KeySpan> spans = map.heldBy(this.self).stream().map(KeyHolding::span).toList();
		HolderLoad own = new HolderLoad(this.self, this.capacity.getAsDouble(), this.meter.split(spans));
		onLoadReport(own, now);
		holders.stream()
			.map(KeyHolder::instance)
			.findFirst()
			.filter((leader) -> !leader.equals(this.self))
			.flatMap(this.directory::member)
			.ifPresent((leader) -> this.hops.sendOneWay(leader, new HopMessage.LoadReport(own)));
	}

	// Returns the loads of the holders that have reported recently. Waiting for all
	// holders would stop the balancing while one of them is unreachable.
	List<HolderLoad> recentLoads(List<KeyHolder> holders, long now) {
		return holders.stream()
			.map((holder) -> this.latest.get(holder.instance()))
			.filter((reported) -> reported != null && now - reported.receivedNanos < MAX_REPORT_AGE_NANOS)
			.map((reported) -> reported.load)
			.toList();
	}

	private record ReceivedLoad(HolderLoad load, long receivedNanos) {
	}

}
