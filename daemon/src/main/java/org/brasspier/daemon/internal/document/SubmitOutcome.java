package org.brasspier.daemon.internal.document;

import java.util.List;
import java.util.Optional;

import org.brasspier.core.Failure;
import org.brasspier.core.document.Fault;

/**
 * What became of a submission. Immutable and thread-safe.
 */
public sealed interface SubmitOutcome {

	/**
	 * It took effect.
	 *
	 * @param version the version it brought
	 * @param hash the hash that names it
	 */
	record Accepted(long version, String hash) implements SubmitOutcome {

	}

	/**
	 * Another version is in force than the one its draft began from. Nothing changed.
	 *
	 * @param inForce the version in force, if one ever was
	 */
	record Conflict(Optional<DocumentHolder.DocumentVersion> inForce) implements SubmitOutcome {

	}

	/**
	 * The document has faults. Nothing changed.
	 *
	 * @param faults all faults
	 */
	record Invalid(List<Fault> faults) implements SubmitOutcome {

		/**
		 * Copies the list.
		 * @param faults all faults
		 */
		public Invalid {
			faults = List.copyOf(faults);
		}

	}

	/**
	 * The store didn't do it, or nobody can say yet whether it did; the failure's kind
	 * says which.
	 *
	 * @param failure why
	 */
	record Failed(Failure failure) implements SubmitOutcome {

	}

}
