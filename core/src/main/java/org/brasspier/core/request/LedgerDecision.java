package org.brasspier.core.request;

import io.vavr.control.Either;
import org.brasspier.core.Failure;

/**
 * What the ledger says to one send of a posting. Immutable and thread-safe.
 */
public sealed interface LedgerDecision {

	/** It has not run; run it now and tell the ledger how it ended. */
	record Run() implements LedgerDecision {

	}

	/** An earlier send of it runs now; wait for that one's end. */
	record Join() implements LedgerDecision {

	}

	/**
	 * An earlier send of it has ended; this is its answer again.
	 *
	 * @param outcome how the earlier send ended
	 */
	record Completed(Either<Failure, Answer> outcome) implements LedgerDecision {

	}

	/**
	 * It must not run.
	 *
	 * @param failure why
	 */
	record Refused(Failure failure) implements LedgerDecision {

	}

}
