package org.brasspier.daemon.internal.document;

import java.util.List;
import java.util.Optional;

import org.brasspier.core.Failure;
import org.brasspier.core.document.Fault;

/**
 * Outcome of a submission. Immutable and thread-safe.
 */
public sealed interface SubmitOutcome {

	/**
	 * The submission took effect.
	 *
	 * @param version the version that it created
	 * @param hash the hash of that version's body
	 */
	record Accepted(long version, String hash) implements SubmitOutcome {

	}

	/**
	 * The version in force is not the base version of the draft. Nothing was changed.
	 *
	 * @param inForce the version in force, empty if there never was one
	 */
	record Conflict(Optional<DocumentHolder.DocumentVersion> inForce) implements SubmitOutcome {

	}

	/**
	 * The document is invalid. Nothing was changed.
	 *
	 * @param faults all faults of the document
	 */
	record Invalid(List<Fault> faults) implements SubmitOutcome {

		/**
		 * Copies the list.
		 * @param faults all faults of the document
		 */
		public Invalid {
			faults = List.copyOf(faults);
		}

	}

	/**
	 * The store did not accept the submission, or it is not known whether it did; the
	 * kind of the failure tells which.
	 *
	 * @param failure the cause
	 */
	record Failed(Failure failure) implements SubmitOutcome {

	}

}
