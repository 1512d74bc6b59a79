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
 * Sends logs to standard output without ever waiting for it: whoever reads it may be
 * slow, and a request must not wait for that. Set up in code, since reading the library's
 * XML is a tenth of a daemon's start.
 */
public final class MeshLogging extends ContextAwareBase implements Configurator {

	/** Some seconds of lines at the bounds that the log keeps for each kind. */
	private static final int QUEUE = 2048;

	/**
	 * Creates the configurator; the logging library does.
	 */
	public MeshLogging() {
		// Nothing to prepare.
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
		queue.setQueueSize(QUEUE);
		queue.setNeverBlock(true);
		queue.addAppender(console);
		queue.start();
		context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME).setLevel(Level.WARN);
		context.getLogger("brasspier").setLevel(Level.INFO);
		context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME).addAppender(queue);
		return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
	}

}
