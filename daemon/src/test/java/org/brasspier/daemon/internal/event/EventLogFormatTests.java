package org.brasspier.daemon.internal.event;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.OutputStreamAppender;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import net.logstash.logback.encoder.LogstashEncoder;
import org.brasspier.core.event.EventKind;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests that each log line carries the number of its event.
 */
class EventLogFormatTests {

	@Test
	void aLineOfJsonHasTheEventsNumberAsAField() {
		JsonObject line = JsonParser.parseString(logLineOf(EventKind.LEASE_LAPSED)).getAsJsonObject();
		assertThat(line.get("event").getAsInt()).isEqualTo(201);
		assertThat(line.get("message").getAsString()).isEqualTo("201 LEASE_LAPSED duluth-1 paused");
	}

	@Test
	void eventsOfRequestsAreNotWrittenAtTheDefaultLevel() {
		assertThat(logLineOf(EventKind.REQUEST_ANSWERED)).isEmpty();
	}

	private static String logLineOf(EventKind kind) {
		LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
		ByteArrayOutputStream written = new ByteArrayOutputStream();
		LogstashEncoder encoder = new LogstashEncoder();
		encoder.setContext(context);
		encoder.start();
		OutputStreamAppender<ILoggingEvent> appender = new OutputStreamAppender<>();
		appender.setContext(context);
		appender.setEncoder(encoder);
		appender.setOutputStream(written);
		appender.start();
		Logger logger = context.getLogger("brasspier.events");
		logger.addAppender(appender);
		try {
			new EventLog(10).record(kind, "duluth-1", "paused");
		}
		finally {
			logger.detachAppender(appender);
			appender.stop();
		}
		return written.toString(StandardCharsets.UTF_8);
	}

}
