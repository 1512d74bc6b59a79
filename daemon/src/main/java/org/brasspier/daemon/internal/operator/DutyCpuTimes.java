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
final class DutyCpuTimes {

	/** One series each, so their number is bounded; docs/DESIGN.md names the threads. */
	private static final List<String> DUTY_THREAD_NAMES = List.of("requests", "ownership", "operators", "events");

	private static final ThreadMXBean THREAD_BEAN = ManagementFactory.getThreadMXBean();

	private DutyCpuTimes() {
	}

	static Map<String, Metric> gauges() {
		return DUTY_THREAD_NAMES.stream()
			.collect(Collectors.toMap((duty) -> "duty_cpu_millis_" + duty, DutyCpuTimes::gauge));
	}

	private static Gauge<Number> gauge(String duty) {
		return () -> TimeUnit.NANOSECONDS.toMillis(cpuNanos(duty));
	}

	private static long cpuNanos(String duty) {
		return Arrays.stream(THREAD_BEAN.getThreadInfo(THREAD_BEAN.getAllThreadIds()))
			.filter(Objects::nonNull)
			.filter((thread) -> thread.getThreadName().equals(duty))
			.mapToLong(ThreadInfo::getThreadId)
			.map(THREAD_BEAN::getThreadCpuTime)
			.filter((nanos) -> nanos > 0)
			.sum();
	}

}
