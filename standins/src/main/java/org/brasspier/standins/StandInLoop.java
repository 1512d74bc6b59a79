package org.brasspier.standins;

import java.io.IOException;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import io.activej.eventloop.Eventloop;
import io.activej.reactor.nio.NioReactor;
import org.slf4j.LoggerFactory;

/**
 * One thread with one event loop, for a stand-in that shares a process with others.
 * Thread-safe.
 */
final class StandInLoop implements AutoCloseable {

	private static final org.slf4j.Logger LOG = LoggerFactory.getLogger(StandInLoop.class);

	private static final Duration CALL_LIMIT = Duration.ofSeconds(10);

	static {
		// Event loops that end with a deployment list each open channel in the log.
		if (LoggerFactory.getLogger("io.activej") instanceof Logger logger) {
			logger.setLevel(Level.ERROR);
		}
	}

	private final Eventloop loop;

	private final Thread thread;

	StandInLoop(String name) {
		this.loop = Eventloop.builder().withThreadName(name).build();
		this.loop.keepAlive(true);
		this.thread = new Thread(this.loop, name);
		this.thread.setDaemon(true);
		this.thread.start();
	}

	NioReactor reactor() {
		return this.loop;
	}

	void execute(Runnable task) {
		this.loop.execute(task);
	}

	/**
	 * Runs a task in the loop's thread and waits for it.
	 * @param <T> what the task gives
	 * @param task the task
	 * @return what the task gave
	 * @throws IllegalStateException if the task fails or does not end within ten seconds
	 */
	<T> T call(Callable<T> task) {
		CompletableFuture<T> result = new CompletableFuture<>();
		this.loop.execute(() -> {
			try {
				result.complete(task.call());
			}
			catch (Exception ex) {
				result.completeExceptionally(ex);
			}
		});
		try {
			return result.get(CALL_LIMIT.toMillis(), TimeUnit.MILLISECONDS);
		}
		catch (ExecutionException | TimeoutException ex) {
			throw new IllegalStateException("a stand-in's task failed", ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException("interrupted while a stand-in's task ran", ex);
		}
	}

	/**
	 * Waits until the loop has ended.
	 * @throws InterruptedException if the calling thread is interrupted
	 */
	void join() throws InterruptedException {
		this.thread.join();
	}

	/**
	 * Closes all its connections and listening ports and ends the thread soon.
	 */
	@Override
	public void close() {
		this.loop.execute(this::closeChannels);
		this.loop.execute(() -> this.loop.keepAlive(false));
		this.loop.execute(this.loop::breakEventloop);
	}

	// An event loop that ends leaves its channels open, and the process that it shares
	// with others goes on.
	private void closeChannels() {
		Set.copyOf(this.loop.ensureSelector().keys()).forEach((key) -> {
			try {
				key.channel().close();
			}
			catch (IOException ex) {
				LOG.warn("a channel could not be closed", ex);
			}
		});
	}

}
