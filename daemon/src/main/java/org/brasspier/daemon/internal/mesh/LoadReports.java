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
 * What each holder of keys is asked for. Once a second each tells the one that plans.
 * Belongs to the thread of requests.
 */
final class LoadReports {

	private static final long REPORT_EVERY_NANOS = Duration.ofSeconds(1).toNanos();

	/** Two reports and the way of the second. */
	private static final long FRESH_NANOS = Duration.ofMillis(2500).toNanos();

	private final InstanceId self;

	private final Directory directory;

	private final HopClient hops;

	private final KeyMeter meter;

	private final Map<InstanceId, Reported> latest = new HashMap<>();

	private DoubleSupplier capacity = () -> 1;

	private long reportedNanos;

	LoadReports(InstanceId self, Directory directory, HopClient hops, long now) {
		this.self = self;
		this.directory = directory;
		this.hops = hops;
		this.meter = new KeyMeter(now);
		this.reportedNanos = now;
	}

	// How many requests a second the backend server can run.
	void setCapacitySource(DoubleSupplier source) {
		this.capacity = source;
	}

	void recordRequest(int key) {
		this.meter.recordRequest(key);
	}

	void onLoadReport(HolderLoad load, long now) {
		this.latest.put(load.instance(), new Reported(load, now));
	}

	void reportOwnLoad(KeyMap map, List<KeyHolder> holders, long now) {
		if (now - this.reportedNanos < REPORT_EVERY_NANOS) {
			return;
		}
		this.reportedNanos = now;
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

	// The loads of those holders that have told lately. Waiting for all would stop the
	// balancing for as long as one can't be reached.
	List<HolderLoad> recentLoads(List<KeyHolder> holders, long now) {
		return holders.stream()
			.map((holder) -> this.latest.get(holder.instance()))
			.filter((reported) -> reported != null && now - reported.sinceNanos < FRESH_NANOS)
			.map((reported) -> reported.load)
			.toList();
	}

	private record Reported(HolderLoad load, long sinceNanos) {
	}

}
