package org.brasspier.daemon.mesh;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.spi.ContextAwareBase;

/**
 * Configures Logback to write to standard output without blocking: the reader of the
 * output may be slow, and a request must not wait for it. Configured in code, since
 * parsing Logback's XML takes a tenth of a daemon's start-up time.
 */
public final class MeshLogging extends ContextAwareBase implements Configurator {

	/**
	 * Holds a few seconds of lines at the rate limits that the log has for each kind of
	 * event.
	 */
	private static final int QUEUE_CAPACITY = 2048;

	/**
	 * Creates the configurator. Called by Logback.
	 */
	public MeshLogging() {
		// Logback needs a public constructor without parameters.
	}

	@Override
	public ExecutionStatus configure(LoggerContext context) {
		PatternLayoutEncoder encoder = new PatternLayoutEncoder();
		encoder.setContext(context);
		encoder.setPattern("%msg%n");
		encoder.start();
		ConsoleAppender<ILoggingEvent> console = new ConsoleAppender<>();
		console.setContext(context);
		console.setEncoder(encoder);
		console.start();
		AsyncAppender queue = new AsyncAppender();
		queue.setContext(context);
		queue.setQueueSize(QUEUE_CAPACITY);
		queue.setNeverBlock(true);
		queue.addAppender(console);
		queue.start();
		context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME).setLevel(Level.WARN);
		context.getLogger("brasspier").setLevel(Level.INFO);
		context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME).addAppender(queue);
		return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
	}

}
