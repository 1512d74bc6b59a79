package org.brasspier.daemon.internal.operator;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import com.codahale.metrics.Counting;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Metric;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Sampling;
import com.codahale.metrics.Snapshot;

/**
 * Writes the metrics as text that common monitoring systems scrape, one series a line.
 * Thread-safe.
 */
final class MetricsText {

	/** One monitoring system scrapes 3,500 daemons: 1.75 million series at most. */
	static final int MAX_SERIES = 500;

	private static final String PREFIX = "brasspier_";

	private final MetricRegistry metrics;

	MetricsText(MetricRegistry metrics) {
		this.metrics = metrics;
	}

	String text() {
		List<String> series = this.metrics.getMetrics().entrySet().stream().flatMap(MetricsText::series).toList();
		String kept = series.stream().limit(MAX_SERIES).collect(Collectors.joining("\n"));
		// What the bound leaves out is said rather than missed.
		int dropped = Math.max(0, series.size() - MAX_SERIES);
		return kept + "\n" + PREFIX + "series_dropped " + dropped + "\n";
	}

	private static Stream<String> series(Map.Entry<String, Metric> entry) {
		String name = PREFIX + entry.getKey().replaceAll("[^a-zA-Z0-9_]", "_");
		Stream<String> quantiles = (entry.getValue() instanceof Sampling sampling)
				? quantiles(name, sampling.getSnapshot()) : Stream.empty();
		Stream<String> count = (entry.getValue() instanceof Counting counting)
				? Stream.of(name + "_total " + counting.getCount()) : Stream.empty();
		Stream<String> value = (entry.getValue() instanceof Gauge<?> gauge && gauge.getValue() instanceof Number number)
				? Stream.of(name + " " + number) : Stream.empty();
		return Stream.of(value, count, quantiles).flatMap((lines) -> lines);
	}

	private static Stream<String> quantiles(String name, Snapshot snapshot) {
		return Stream.of(0.5, 0.99)
			.map((quantile) -> "%s{quantile=\"%s\"} %s".formatted(name, quantile, snapshot.getValue(quantile)));
	}

}
