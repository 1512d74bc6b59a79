package org.brasspier.daemon.internal.request;

import java.util.Optional;

import org.brasspier.core.ErrorKind;
import org.brasspier.core.Failure;
import org.brasspier.core.Fence;
import org.brasspier.core.InstanceId;
import org.brasspier.core.Ran;
import org.brasspier.core.request.Answer;
import org.brasspier.core.retry.LostConnectionRetries;

/**
 * How a request ended, as it is relayed towards its caller. Immutable and thread-safe.
 */
public sealed interface Outcome {

	/**
	 * The ticket for the caller's next posting to this range or, after a failure, to
	 * resend with.
	 * @return empty if none
	 */
	String ticket();

	/**
	 * The same outcome with a ticket.
	 * @param newTicket the ticket's text
	 * @return the copy
	 */
	Outcome withTicket(String newTicket);

	/**
	 * A failure with nothing more to tell.
	 * @param kind what went wrong
	 * @param detail one sentence for a person
	 * @return the outcome
	 */
	static Failed failed(ErrorKind kind, String detail) {
		return failed(Failure.of(kind, detail));
	}

	/**
	 * A failure with nothing more to tell.
	 * @param failure why
	 * @return the outcome
	 */
	static Failed failed(Failure failure) {
		return new Failed(failure, "", Optional.empty(), false);
	}

	/**
	 * What is to be said of a request of which an earlier try may have run: a later try
	 * that certainly did not run says nothing of the earlier one.
	 * @param last how the last try ended
	 * @return the last end, or that the outcome is unknown
	 */
	static Outcome afterUnknown(Outcome last) {
		if (!(last instanceof Failed failed) || !failed.certainlyNotRun()) {
			return last;
		}
		return new Failed(new Failure(ErrorKind.OUTCOME_UNKNOWN,
				"an earlier try may have run, the last one did not: " + failed.failure().detail(),
				failed.failure().retryAfter()), failed.ticket(), failed.owner(), failed.backendLost());
	}

	/**
	 * The backend server answered.
	 *
	 * @param answer its whole answer
	 * @param fence the fence it was given under
	 * @param ticket the ticket for the next posting
	 */
	record Answered(Answer answer, Fence fence, String ticket) implements Outcome {

		@Override
		public Answered withTicket(String newTicket) {
			return new Answered(this.answer, this.fence, newTicket);
		}

	}

	/**
	 * The request was refused or failed.
	 *
	 * @param failure why
	 * @param ticket the ticket to resend with, empty if none
	 * @param owner who owns the request as far as the answering daemon knows
	 * @param backendLost whether it ran when its backend server was lost
	 * @param exemptFromBudget whether sending it again needs no retry budget, see
	 * {@link LostConnectionRetries}
	 */
	record Failed(Failure failure, String ticket, Optional<Owner> owner, boolean backendLost,
			boolean exemptFromBudget) implements Outcome {

		Failed(Failure failure, String ticket, Optional<Owner> owner, boolean backendLost) {
			this(failure, ticket, owner, backendLost, false);
		}

		@Override
		public Failed withTicket(String newTicket) {
			return new Failed(this.failure, newTicket, this.owner, this.backendLost, this.exemptFromBudget);
		}

		/**
		 * Whether this send certainly did not run and will not.
		 * @return false if it may have run
		 */
		public boolean certainlyNotRun() {
			return this.failure.kind().ran() == Ran.NOT_RUN;
		}

	}

	/**
	 * Who owns a request.
	 *
	 * @param instance the instance
	 * @param fence the fence of its range
	 */
	record Owner(InstanceId instance, Fence fence) {

	}

}
