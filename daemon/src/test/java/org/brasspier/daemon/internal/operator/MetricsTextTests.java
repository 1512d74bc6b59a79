package org.brasspier.daemon.internal.operator;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests the text format in which metrics are scraped.
 */
class MetricsTextTests {

	private final MetricRegistry metrics = new MetricRegistry();

	@Test
	void eachMetricIsWrittenAsOneOrMoreSeries() {
		this.metrics.counter("requests.refused").inc(3);
		this.metrics.register("queue", (Gauge<Integer>) () -> 7);
		this.metrics.histogram("wait").update(5);
		this.metrics.counter("peers.refused");
		assertThat(new MetricsText(this.metrics).text().lines()).containsExactly(
				"# HELP brasspier_peers_refused_total connections of other daemons that were refused or malformed",
				"# TYPE brasspier_peers_refused_total counter", "brasspier_peers_refused_total 0",
				"# HELP brasspier_queue queue", "# TYPE brasspier_queue gauge", "brasspier_queue 7",
				"# HELP brasspier_requests_refused_total requests.refused",
				"# TYPE brasspier_requests_refused_total counter", "brasspier_requests_refused_total 3",
				"# HELP brasspier_wait wait", "# TYPE brasspier_wait summary", "brasspier_wait{quantile=\"0.5\"} 5.0",
				"brasspier_wait{quantile=\"0.99\"} 5.0", "brasspier_wait_count 1",
				"# HELP brasspier_series_dropped series that the bound on their number left out",
				"# TYPE brasspier_series_dropped gauge", "brasspier_series_dropped 0")
			.inOrder();
	}

	@Test
	void seriesBeyondTheLimitAreDroppedAndCounted() {
		for (int i = 0; i < MetricsText.MAX_SERIES + 5; i++) {
			this.metrics.counter("c" + i);
		}
		String text = new MetricsText(this.metrics).text();
		assertThat(text.lines().filter((line) -> !line.startsWith("#")).count()).isEqualTo(MetricsText.MAX_SERIES + 1);
		assertThat(text).endsWith("brasspier_series_dropped 5\n");
	}

}
