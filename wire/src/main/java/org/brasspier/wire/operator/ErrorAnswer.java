package org.brasspier.wire.operator;

import java.util.List;

import org.brasspier.core.ErrorKind;
import org.brasspier.core.Failure;
import org.brasspier.core.document.Fault;
import org.jspecify.annotations.Nullable;

/**
 * An error. Immutable and thread-safe.
 *
 * @param error its kind
 * @param ran whether what was asked took effect
 * @param detail one sentence for a person
 * @param retryAfterMillis when asking again makes sense, in milliseconds; 0 if at once or
 * never
 * @param faults what is wrong with the document
 * @param present the version in force, on conflicts
 */
public record ErrorAnswer(ErrorKind error, String ran, String detail, long retryAfterMillis, List<Fault> faults,
		@Nullable DocumentAnswer present) {

	/**
	 * Checks and copies.
	 */
	public ErrorAnswer {
		OperatorJson.present(error, "error");
		faults = List.copyOf(OperatorJson.present(faults, "faults"));
	}

	/**
	 * Renders a failure.
	 * @param failure the failure
	 * @return the message
	 */
	public static ErrorAnswer of(Failure failure) {
		return new ErrorAnswer(failure.kind(), failure.kind().ran().name().toLowerCase(java.util.Locale.ROOT),
				failure.detail(), failure.retryAfter().toMillis(), List.of(), null);
	}

	/**
	 * This error where it's known better whether what was asked took effect.
	 * @param effect {@code ran}, {@code not_run} or {@code unknown}
	 * @return the message
	 */
	public ErrorAnswer withRan(String effect) {
		return new ErrorAnswer(this.error, effect, this.detail, this.retryAfterMillis, this.faults, this.present);
	}

	/**
	 * This error with the document's faults.
	 * @param all the faults
	 * @return the message
	 */
	public ErrorAnswer withFaults(List<Fault> all) {
		return new ErrorAnswer(this.error, this.ran, this.detail, this.retryAfterMillis, all, this.present);
	}

	/**
	 * This error with the version in force.
	 * @param version the version in force
	 * @return the message
	 */
	public ErrorAnswer withPresent(DocumentAnswer version) {
		return new ErrorAnswer(this.error, this.ran, this.detail, this.retryAfterMillis, this.faults, version);
	}

}
