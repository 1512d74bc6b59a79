package org.brasspier.core.request;

import io.vavr.control.Either;
import org.brasspier.core.Failure;

/**
 * What the ledger says to one send of a posting. Immutable and thread-safe.
 */
public sealed interface Admission {

	/** It has not run; run it now and tell the ledger how it ended. */
	record Run() implements Admission {

	}

	/** An earlier send of it runs now; wait for that one's end. */
	record Join() implements Admission {

	}

	/**
	 * An earlier send of it has ended; this is its answer again.
	 *
	 * @param end how the earlier send ended
	 */
	record Ended(Either<Failure, Answer> end) implements Admission {

	}

	/**
	 * It must not run.
	 *
	 * @param failure why
	 */
	record Refused(Failure failure) implements Admission {

	}

}
