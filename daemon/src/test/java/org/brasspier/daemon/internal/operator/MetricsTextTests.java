package org.brasspier.daemon.internal.operator;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Metrics as monitoring systems scrape them.
 */
class MetricsTextTests {

	private final MetricRegistry metrics = new MetricRegistry();

	@Test
	void eachMetricIsOneSeriesOrAFew() {
		this.metrics.counter("requests.refused").inc(3);
		this.metrics.register("queue", (Gauge<Integer>) () -> 7);
		this.metrics.histogram("wait").update(5);
		assertThat(new MetricsText(this.metrics).text().lines()).containsExactly("brasspier_queue 7",
				"brasspier_requests_refused_total 3", "brasspier_wait_total 1", "brasspier_wait{quantile=\"0.5\"} 5.0",
				"brasspier_wait{quantile=\"0.99\"} 5.0", "brasspier_series_dropped 0");
	}

	@Test
	void theNumberOfSeriesIsBoundedAndWhatIsLeftOutIsSaid() {
		for (int i = 0; i < MetricsText.MAX_SERIES + 5; i++) {
			this.metrics.counter("c" + i);
		}
		String text = new MetricsText(this.metrics).text();
		assertThat(text.lines().count()).isEqualTo(MetricsText.MAX_SERIES + 1);
		assertThat(text).endsWith("brasspier_series_dropped 5\n");
	}

}
