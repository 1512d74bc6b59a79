package org.brasspier.bench.capacity;

import java.util.List;
import java.util.stream.IntStream;

import org.brasspier.core.KeyHash;
import org.brasspier.core.RequestId;
import org.brasspier.core.event.EventKind;
import org.brasspier.core.placement.LoadMeter;
import org.brasspier.daemon.internal.event.EventLog;

/**
 * Measures the memory and time that the event log and the tracking of hot keys take.
 */
final class EventSlopes implements SlopeSuite {

	private static final int[] EVENTS = { 1024, 4096, 8192, 16384 };

	private static final int[] KEYS = { 16, 64, 256, 1024, 4096 };

	private static final long WINDOW_NANOS = 10_000_000_000L;

	private static final long BUSY_NANOS = 2_000_000;

	private static final long REQUEST_INTERVAL_NANOS = 100_000;

	@Override
	public List<Slope> measure() {
		return List.of(
				SlopeSuite.measureSlope("time line, memory", "kept events", "bytes", EVENTS,
						(events) -> ResourceProbe.retainedBytes(() -> newFilledLog(events))),
				SlopeSuite.measureSlope("time line, recording", "kept events", "ns", EVENTS, (events) -> {
					EventLog log = newFilledLog(events);
					RequestId id = new RequestId("0b2c8e1e-6b1e-4a53");
					return ResourceProbe.medianCpuNanos(() -> {
						log.record(EventKind.REQUEST_ANSWERED, id, "status 200");
						return log;
					});
				}),
				SlopeSuite.measureSlope("following hot keys, memory", "distinct keys", "bytes", KEYS,
						(keys) -> ResourceProbe.retainedBytes(() -> newFilledMeter(keys))),
				SlopeSuite.measureSlope("following hot keys, for each request", "distinct keys", "ns", KEYS,
						(keys) -> ResourceProbe.medianCpuNanos(() -> newFilledMeter(keys)) / keys));
	}

	private static EventLog newFilledLog(int events) {
		EventLog log = new EventLog(events);
		IntStream.range(0, events)
			.forEach((i) -> log.record(EventKind.REQUEST_ANSWERED, new RequestId("request-" + i), "status 200"));
		return log;
	}

	private static LoadMeter newFilledMeter(int keys) {
		LoadMeter meter = new LoadMeter(WINDOW_NANOS, 0);
		IntStream.range(0, keys)
			.forEach((i) -> meter.record(KeyHash.of("hull-" + i), BUSY_NANOS, REQUEST_INTERVAL_NANOS * i));
		return meter;
	}

}
