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
 * Gauges of the CPU time of each duty's thread, which separate the cost of control from
 * that of requests. The rest of the CPU time of the process is used by the JVM itself,
 * for JIT compilation and garbage collection. Stateless and thread-safe.
 */
final class DutyCpuTimes {

	/**
	 * Names of the threads, as listed in docs/DESIGN.md. Each gives one series, so the
	 * list also bounds the number of series.
	 */
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
