package org.brasspier.cli.internal;

import java.time.Duration;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.locks.LockSupport;

import io.vavr.control.Either;
import org.brasspier.core.ErrorKind;
import org.brasspier.core.Failure;
import org.brasspier.wire.operator.ErrorAnswer;
import org.brasspier.wire.operator.StatusAnswer;
import org.brasspier.wire.operator.SubmitAnswer;

/**
 * Waits until a document version is in force on every daemon of the cell, and reports
 * progress. Not thread-safe.
 */
final class InForceWaiter {

	/**
	 * A change is in force on all daemons within 9 s, or later if a daemon is
	 * unavailable.
	 */
	private static final Duration WAIT_TIMEOUT = Duration.ofSeconds(30);

	private static final Duration POLL_INTERVAL = Duration.ofMillis(200);

	private final Session session;

	InForceWaiter(Session session) {
		this.session = session;
	}

	Either<ErrorAnswer, Report> await(SubmitAnswer accepted) {
		long deadlineNanos = System.nanoTime() + WAIT_TIMEOUT.toNanos();
		Set<String> daemons = this.session.allDaemonAddresses();
		Set<String> pendingDaemons = new TreeSet<>(daemons);
		int lastReported = -1;
		while (!pendingDaemons.isEmpty() && System.nanoTime() - deadlineNanos < 0) {
			pendingDaemons.removeIf((daemon) -> isInForceOn(daemon, accepted.version()));
			int inForceCount = daemons.size() - pendingDaemons.size();
			if (inForceCount != lastReported) {
				this.session.terminal()
					.printProgress("in force on %d of %d daemons".formatted(inForceCount, daemons.size()));
				lastReported = inForceCount;
			}
			if (!pendingDaemons.isEmpty()) {
				LockSupport.parkNanos(POLL_INTERVAL.toNanos());
			}
		}
		String successLine = "version %d is in force on all %d daemons".formatted(accepted.version(), daemons.size());
		return (pendingDaemons.isEmpty()) ? Either.right(Report.of(accepted, successLine)) : Either
			.left(ErrorAnswer.of(Failure.of(ErrorKind.DAEMON_UNREACHABLE,
					"version %d was accepted, but %s did not say within %d s that it is in force (see TROUBLESHOOTING.md#version-behind)"
						.formatted(accepted.version(), String.join(", ", pendingDaemons), WAIT_TIMEOUT.toSeconds()))));
	}

	private boolean isInForceOn(String daemon, long version) {
		return this.session.client()
			.get(daemon, "/v1/status", StatusAnswer.class)
			.map((status) -> status.documentVersion() >= version)
			.getOrElse(false);
	}

}
