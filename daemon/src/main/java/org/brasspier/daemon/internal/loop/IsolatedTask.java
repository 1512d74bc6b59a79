package org.brasspier.daemon.internal.loop;

import io.activej.reactor.Reactor;

/**
 * Runs a task of an event loop whose failure must not reach the code that runs it,
 * because that code serves others as well.
 */
public final class IsolatedTask {

	private IsolatedTask() {
	}

	/**
	 * Runs a task in the thread of an event loop. If it fails, the failure is reported
	 * like that of any other task of the loop.
	 * @param task the task
	 * @param onFailure runs if the task has ended with an exception or an error
	 */
	public static void run(Runnable task, Runnable onFailure) {
		try {
			task.run();
		}
		catch (RuntimeException | Error ex) {
			Reactor.getCurrentReactor().logFatalError(ex, task);
			onFailure.run();
		}
	}

}
