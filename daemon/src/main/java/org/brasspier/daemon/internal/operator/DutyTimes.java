package org.brasspier.daemon.internal.operator;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadInfo;
import java.lang.management.ThreadMXBean;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.Metric;

/**
 * The processor time of each duty's thread, so that control can be told from requests.
 * What the process takes beyond these is the virtual machine's own: its compiler, its
 * collector. Stateless and thread-safe.
 */
final class DutyTimes {

	/** One series each, so their number is bounded; docs/DESIGN.md names the threads. */
	private static final List<String> DUTIES = List.of("requests", "ownership", "operators", "events");

	private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

	private DutyTimes() {
	}

	static Map<String, Metric> gauges() {
		return DUTIES.stream().collect(Collectors.toMap((duty) -> "duty_cpu_millis_" + duty, DutyTimes::gauge));
	}

	private static Gauge<Number> gauge(String duty) {
		return () -> TimeUnit.NANOSECONDS.toMillis(nanos(duty));
	}

	private static long nanos(String duty) {
		return Arrays.stream(THREADS.getThreadInfo(THREADS.getAllThreadIds()))
			.filter(Objects::nonNull)
			.filter((thread) -> thread.getThreadName().equals(duty))
			.mapToLong(ThreadInfo::getThreadId)
			.map(THREADS::getThreadCpuTime)
			.filter((nanos) -> nanos > 0)
			.sum();
	}

}
