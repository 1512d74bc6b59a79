package org.brasspier.daemon.internal.operator;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;

import com.codahale.metrics.Counting;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Metric;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Sampling;
import com.codahale.metrics.Snapshot;

/**
 * Writes the metrics in the Prometheus text exposition format, version 0.0.4: for each
 * metric a help line, a type line and one line for each series. Thread-safe.
 */
public final class MetricsText {

	/** Limits a monitoring system that scrapes 3,500 daemons to 1.75 million series. */
	static final int MAX_SERIES = 500;

	private static final String PREFIX = "brasspier_";

	private final MetricRegistry metrics;

	/**
	 * Creates a writer for a registry.
	 * @param metrics the registry
	 */
	public MetricsText(MetricRegistry metrics) {
		this.metrics = metrics;
	}

	/**
	 * Returns the current values of the metrics.
	 * @return the text
	 */
	public String text() {
		StringBuilder text = new StringBuilder();
		int written = 0;
		int dropped = 0;
		// Sorted by name, so that each scrape drops the same series.
		for (Map.Entry<String, Metric> entry : new TreeMap<>(this.metrics.getMetrics()).entrySet()) {
			Family family = family(entry.getKey(), entry.getValue());
			boolean fits = written + family.series().size() <= MAX_SERIES;
			written += (fits) ? family.series().size() : 0;
			dropped += (fits) ? 0 : family.series().size();
			text.append((fits) ? family.text() : "");
		}
		// Reports the dropped series, which would otherwise be missing without notice.
		return text
			.append(new Family(PREFIX + "series_dropped", "gauge", "series that the bound on their number left out",
					List.of(PREFIX + "series_dropped " + dropped))
				.text())
			.toString();
	}

	private static Family family(String metric, Metric value) {
		String name = PREFIX + metric.replaceAll("[^a-zA-Z0-9_]", "_");
		String help = MetricHelp.of(metric).orElse(metric);
		return switch (value) {
			case Sampling sampling -> new Family(name, "summary", help, summary(name, sampling));
			case Counting counting ->
				new Family(name + "_total", "counter", help, List.of(name + "_total " + counting.getCount()));
			case Gauge<?> gauge when gauge.getValue() instanceof Number number ->
				new Family(name, "gauge", help, List.of(name + " " + number));
			default -> new Family(name, "untyped", help, List.of());
		};
	}

	private static List<String> summary(String name, Sampling sampling) {
		Snapshot snapshot = sampling.getSnapshot();
		long count = (sampling instanceof Counting counting) ? counting.getCount() : snapshot.size();
		return Stream
			.concat(Stream.of(0.5, 0.99)
				.map((quantile) -> "%s{quantile=\"%s\"} %s".formatted(name, quantile, snapshot.getValue(quantile))),
					Stream.of(name + "_count " + count))
			.toList();
	}

	/**
	 * One metric with its series.
	 *
	 * @param name its name
	 * @param type its type in the exposition format
	 * @param help its help text
	 * @param series a line for each series
	 */
	private record Family(String name, String type, String help, List<String> series) {

		String text() {
			return (this.series.isEmpty()) ? "" : "# HELP %s %s\n# TYPE %s %s\n%s\n".formatted(this.name, this.help,
					this.name, this.type, String.join("\n", this.series));
		}

	}

}
