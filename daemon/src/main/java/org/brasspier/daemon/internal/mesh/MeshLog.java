package org.brasspier.daemon.internal.mesh;

import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;

import com.codahale.metrics.MetricRegistry;
import com.google.gson.stream.JsonWriter;
import org.brasspier.core.InstanceId;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes one JSON line for each decision. The appender behind it never blocks and drops
 * what it can't take; before that, each kind of event has a bound of its own, so that a
 * flood of one kind leaves the others readable. Belongs to the thread of requests.
 */
final class MeshLog {

	private static final Logger logger = LoggerFactory.getLogger("brasspier.mesh");

	/**
	 * Lines of one kind in a second. A line costs some 20 microseconds, so three busy
	 * kinds at the bound take under 3 % of a processor.
	 */
	private static final int MOST_IN_A_SECOND = 300;

	private static final long SECOND_NANOS = Duration.ofSeconds(1).toNanos();

	private final InstanceId instance;

	private final MetricRegistry metrics;

	private final Map<MeshEvent, Integer> counts = new EnumMap<>(MeshEvent.class);

	private long secondBegunNanos = System.nanoTime();

	private int dropped;

	MeshLog(InstanceId instance, MetricRegistry metrics) {
		this.instance = instance;
		this.metrics = metrics;
	}

	/**
	 * Writes a line.
	 * @param event what happened
	 * @param fields names and values in turn: the inputs that decided, and the outcome
	 */
	void record(MeshEvent event, Object... fields) {
		nextSecond();
		this.metrics.counter("events." + event).inc();
		if (this.counts.merge(event, 1, Integer::sum) > MOST_IN_A_SECOND) {
			this.dropped++;
			return;
		}
		logger.info(line(event, fields));
	}

	private void nextSecond() {
		long now = System.nanoTime();
		if (now - this.secondBegunNanos < SECOND_NANOS) {
			return;
		}
		this.secondBegunNanos = now;
		this.counts.clear();
		int left = this.dropped;
		this.dropped = 0;
		if (left > 0) {
			this.metrics.counter("log.dropped").inc(left);
			logger.info(line(MeshEvent.LINES_DROPPED, "count", left));
		}
	}

	private String line(MeshEvent event, Object... fields) {
		StringWriter text = new StringWriter();
		try (JsonWriter json = new JsonWriter(text)) {
			json.beginObject()
				.name("at_ms")
				.value(System.currentTimeMillis())
				.name("instance")
				.value(this.instance.value())
				.name("event")
				.value(event.number())
				.name("name")
				.value(event.name());
			for (int i = 0; i + 1 < fields.length; i += 2) {
				json.name(String.valueOf(fields[i]));
				value(json, fields[i + 1]);
			}
			json.endObject();
		}
		catch (IOException ex) {
			throw new UncheckedIOException("writing to memory failed", ex);
		}
		return text.toString();
	}

	private static void value(JsonWriter json, Object value) throws IOException {
		switch (value) {
			case Number number -> json.value(number);
			case Boolean flag -> json.value(flag);
			default -> json.value(String.valueOf(value));
		}
	}

}
