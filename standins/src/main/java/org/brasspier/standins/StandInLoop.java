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
 * A thread with an event loop, for a stand-in that shares its process with others.
 * Thread-safe.
 */
final class StandInLoop implements AutoCloseable {

	private static final org.slf4j.Logger LOG = LoggerFactory.getLogger(StandInLoop.class);

	private static final Duration CALL_LIMIT = Duration.ofSeconds(10);

	static {
		// When a deployment is closed, its event loops log each open channel; only
		// errors are logged here.
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
	 * Runs a task on the loop's thread and waits for its result.
	 * @param <T> type of the result
	 * @param task the task
	 * @return the result of the task
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
	 * Closes all connections and listening ports and ends the thread; does not wait for
	 * its end.
	 */
	@Override
	public void close() {
		this.loop.execute(this::closeChannels);
		this.loop.execute(() -> this.loop.keepAlive(false));
		this.loop.execute(this.loop::breakEventloop);
	}

	// An event loop that ends leaves its channels open. Since the process continues,
	// they would use up its file descriptors.
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
