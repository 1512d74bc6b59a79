package org.brasspier.wire.operator;

import java.util.List;

import org.brasspier.core.ErrorKind;
import org.brasspier.core.Failure;
import org.brasspier.core.document.Fault;
import org.jspecify.annotations.Nullable;

/**
 * The answer to a failed request. Immutable and thread-safe.
 *
 * @param error its kind
 * @param ran whether the request took effect: {@code ran}, {@code not_run} or
 * {@code unknown}
 * @param detail one sentence for the operator
 * @param retryAfterMillis the delay before a retry is useful, in milliseconds; 0 if a
 * retry is useful at once or never
 * @param faults the faults of the document
 * @param present the version in force, on conflicts
 */
public record ErrorAnswer(ErrorKind error, String ran, String detail, long retryAfterMillis, List<Fault> faults,
		@Nullable DocumentAnswer present) {

	/**
	 * Checks the fields and copies collections.
	 */
	public ErrorAnswer {
		OperatorJson.present(error, "error");
		faults = List.copyOf(OperatorJson.present(faults, "faults"));
	}

	/**
	 * Creates the answer for a failure.
	 * @param failure the failure
	 * @return the message
	 */
	public static ErrorAnswer of(Failure failure) {
		return new ErrorAnswer(failure.kind(), failure.kind().ran().name().toLowerCase(java.util.Locale.ROOT),
				failure.detail(), failure.retryAfter().toMillis(), List.of(), null);
	}

	/**
	 * Returns a copy with a more precise statement of whether the request took effect.
	 * @param effect {@code ran}, {@code not_run} or {@code unknown}
	 * @return the message
	 */
	public ErrorAnswer withRan(String effect) {
		return new ErrorAnswer(this.error, effect, this.detail, this.retryAfterMillis, this.faults, this.present);
	}

	/**
	 * Returns a copy with the faults of the document.
	 * @param all all faults of the document
	 * @return the message
	 */
	public ErrorAnswer withFaults(List<Fault> all) {
		return new ErrorAnswer(this.error, this.ran, this.detail, this.retryAfterMillis, all, this.present);
	}

	/**
	 * Returns a copy with the version in force.
	 * @param version the version in force
	 * @return the message
	 */
	public ErrorAnswer withPresent(DocumentAnswer version) {
		return new ErrorAnswer(this.error, this.ran, this.detail, this.retryAfterMillis, this.faults, version);
	}

}
