package org.brasspier.core.request;

import io.vavr.control.Either;
import org.brasspier.core.Failure;

/**
 * The decision of a {@link RequestLedger} about one send of a posting. Immutable and
 * thread-safe.
 */
public sealed interface LedgerDecision {

	/** It has not run: run it now and report the outcome to the ledger. */
	record Run() implements LedgerDecision {

	}

	/** An earlier send of it is running: wait for the outcome of that one. */
	record Join() implements LedgerDecision {

	}

	/**
	 * An earlier send of it has finished; its outcome is returned again.
	 *
	 * @param outcome the outcome of the earlier send
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
