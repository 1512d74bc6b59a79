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
 * The outcome of a request, as it is relayed to its caller. Immutable and thread-safe.
 */
public sealed interface Outcome {

	/**
	 * Returns the ticket for the caller's next posting to this range or, after a failure,
	 * for its retry.
	 * @return the ticket, or an empty string if there is none
	 */
	String ticket();

	/**
	 * Returns a copy of this outcome with a ticket.
	 * @param newTicket the ticket's text
	 * @return the copy
	 */
	Outcome withTicket(String newTicket);

	/**
	 * Creates a failure without a ticket or a known owner.
	 * @param kind the kind of error
	 * @param detail one sentence for people
	 * @return the outcome
	 */
	static Failed failed(ErrorKind kind, String detail) {
		return failed(Failure.of(kind, detail));
	}

	/**
	 * Creates a failure without a ticket or a known owner.
	 * @param failure the cause
	 * @return the outcome
	 */
	static Failed failed(Failure failure) {
		return new Failed(failure, "", Optional.empty(), false);
	}

	/**
	 * Returns the outcome of a request of which an earlier attempt may have run: that the
	 * last attempt certainly did not run says nothing about the earlier one.
	 * @param last the outcome of the last attempt
	 * @return the last outcome, or {@code OUTCOME_UNKNOWN} if the last attempt did not
	 * run
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
	 * @param answer its complete answer
	 * @param fence the fence that the request ran under
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
	 * @param failure the cause
	 * @param ticket the ticket for the retry, empty if none
	 * @param owner the owner of the request as known to the answering daemon
	 * @param backendLost whether the request was running when its backend server was lost
	 * @param exemptFromBudget whether a retry is not charged to the retry budget, see
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
		 * Returns whether this attempt certainly did not run and will not run.
		 * @return false if it may have run
		 */
		public boolean certainlyNotRun() {
			return this.failure.kind().ran() == Ran.NOT_RUN;
		}

	}

	/**
	 * The owner of a request.
	 *
	 * @param instance the instance
	 * @param fence the fence of its range
	 */
	record Owner(InstanceId instance, Fence fence) {

	}

}
