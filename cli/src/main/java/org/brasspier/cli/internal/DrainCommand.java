package org.brasspier.cli.internal;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.locks.LockSupport;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.vavr.control.Either;
import org.brasspier.core.ErrorKind;
import org.brasspier.core.Failure;
import org.brasspier.wire.operator.CellAnswer;
import org.brasspier.wire.operator.ErrorAnswer;
import org.brasspier.wire.operator.OrderAnswer;
import org.brasspier.wire.operator.OrderRequest;

/**
 * Drains an instance: its ranges move to other instances. Reports how many it still owns.
 */
@Parameters(commandDescription = "move all ranges off an instance without interrupting requests")
final class DrainCommand implements Command {

	/** Equals the time allowed for a planned stop of a daemon. */
	private static final Duration WAIT_TIMEOUT = Duration.ofSeconds(60);

	private static final Duration POLL_INTERVAL = Duration.ofMillis(500);

	@Parameter(description = "INSTANCE")
	private List<String> operands = new ArrayList<>();

	@Parameter(names = "--no-wait", description = "don't wait until the instance owns no range")
	private boolean noWait;

	@Override
	public Either<ErrorAnswer, Report> run(Session session) {
		if (this.operands.size() != 1) {
			return Session.badRequest("name one instance: drain INSTANCE");
		}
		String instance = this.operands.getFirst();
		return session.client()
			.post("/v1/drain", new OrderRequest(instance, "", "", false), OrderAnswer.class, true)
			.flatMap((answer) -> (this.noWait) ? Either.right(Report.of(answer, answer.result()))
					: awaitDrained(session, instance, answer));
	}

	private static Either<ErrorAnswer, Report> awaitDrained(Session session, String instance, OrderAnswer answer) {
		long deadlineNanos = System.nanoTime() + WAIT_TIMEOUT.toNanos();
		long lastReported = -1;
		while (System.nanoTime() - deadlineNanos < 0) {
			Either<ErrorAnswer, CellAnswer> cell = session.client().get("/v1/cell", CellAnswer.class);
			long remainingRanges = cell
				.map((cellAnswer) -> cellAnswer.ranges().stream().filter((range) -> range.owner().equals(instance)))
				.map((ownedRanges) -> ownedRanges.count())
				.getOrElse(lastReported);
			if (remainingRanges == 0) {
				return Either.right(Report.of(answer, "%s owns nothing any more".formatted(instance)));
			}
			if (remainingRanges != lastReported) {
				session.terminal().printProgress("%s still owns %d ranges".formatted(instance, remainingRanges));
				lastReported = remainingRanges;
			}
			LockSupport.parkNanos(POLL_INTERVAL.toNanos());
		}
		return Either.left(ErrorAnswer.of(Failure.of(ErrorKind.ORDER_REFUSED,
				"%s is drained, but still owns ranges after %d s (see TROUBLESHOOTING.md#drain-slow)"
					.formatted(instance, WAIT_TIMEOUT.toSeconds()))));
	}

}
