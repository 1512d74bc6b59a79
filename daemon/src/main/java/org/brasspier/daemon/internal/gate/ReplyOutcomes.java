package org.brasspier.daemon.internal.gate;

import java.time.Duration;

import org.brasspier.core.ErrorKind;
import org.brasspier.core.Failure;
import org.brasspier.core.admission.RunOutcome;
import org.brasspier.core.mesh.SendOutcome;
import org.brasspier.core.request.Answer;
import org.brasspier.daemon.internal.http.BackendReply;
import org.brasspier.daemon.mesh.BackendProtocol;
import org.brasspier.daemon.mesh.BackendRequest;

/**
 * Translates what a backend server replied into the outcome of a request. Stateless and
 * thread-safe.
 */
public final class ReplyOutcomes {

	private static final Duration DECLINED_RETRY_AFTER = Duration.ofMillis(100);

	private final BackendProtocol protocol;

	/**
	 * Creates a translator.
	 * @param protocol recognizes answers that state that the request did not run
	 */
	public ReplyOutcomes(BackendProtocol protocol) {
		this.protocol = protocol;
	}

	/**
	 * Returns the outcome of a request.
	 * @param sent the request as it was sent
	 * @param cancelled whether its caller no longer waits
	 * @param reply the server's reply
	 * @return the outcome
	 */
	public SendOutcome outcome(BackendRequest sent, boolean cancelled, BackendReply reply) {
		return switch (reply) {
			case BackendReply.Whole(Answer answer) ->
				(this.protocol.verdict(sent, answer) == BackendProtocol.Verdict.NOT_RUN)
						? new SendOutcome.NotRun(new Failure(ErrorKind.OVERLOADED,
								"the backend server declined the request", DECLINED_RETRY_AFTER), true)
						: new SendOutcome.Answered(answer);
			case BackendReply.NotSent ignored when cancelled -> new SendOutcome.NotRun(callerLeft(), false);
			case BackendReply.NotSent(String reason) ->
				new SendOutcome.NotRun(Failure.of(ErrorKind.NO_BACKEND, reason), false);
			case BackendReply.Closed ignored ->
				new SendOutcome.NotRun(Failure.of(ErrorKind.NO_BACKEND, "the backend server's port is closed"), false);
			case BackendReply.Broken(String reason) -> unknown(ErrorKind.OUTCOME_UNKNOWN, reason);
			case BackendReply.Garbled(String reason) -> unknown(ErrorKind.BAD_ANSWER, reason);
			case BackendReply.GivenUp ignored -> unknown(ErrorKind.TIMED_OUT, cancelled ? "nobody waits for it any more"
					: "the deadline passed while the backend server was running the request");
		};
	}

	/**
	 * Returns whether the server ran the request and answered it.
	 * @param sent the request as it was sent
	 * @param reply the server's reply
	 * @return false if there is no answer, or it states that the request did not run
	 */
	public boolean ran(BackendRequest sent, BackendReply reply) {
		return reply instanceof BackendReply.Whole(Answer answer)
				&& this.protocol.verdict(sent, answer) != BackendProtocol.Verdict.NOT_RUN;
	}

	/**
	 * Returns what admission control learns from the end of a request.
	 * @param outcome the outcome of the request
	 * @param cancelled whether its caller no longer waits
	 * @param reply the server's reply
	 * @return how its run ended
	 */
	public static RunOutcome runOutcome(SendOutcome outcome, boolean cancelled, BackendReply reply) {
		return switch (outcome) {
			case SendOutcome.Answered ignored -> RunOutcome.ANSWERED;
			// Slots are counted exactly at the gate, so a server that declines a request
			// is faulty and not full. When declined requests counted as a sign of a full
			// server, a server that declined half of all requests at random was sent
			// fewer and fewer, and half of its capacity stayed unused.
			case SendOutcome.NotRun ignored -> RunOutcome.NOT_STARTED;
			case SendOutcome.Unknown ignored ->
				(reply instanceof BackendReply.GivenUp && !cancelled) ? RunOutcome.INTERRUPTED : RunOutcome.NOT_STARTED;
		};
	}

	/**
	 * Returns the failure of a request that was not sent since its caller left.
	 * @return the failure
	 */
	public static Failure callerLeft() {
		return Failure.of(ErrorKind.DEADLINE_PASSED, "the caller has left");
	}

	private static SendOutcome unknown(ErrorKind kind, String detail) {
		return new SendOutcome.Unknown(Failure.of(kind, detail));
	}

}
