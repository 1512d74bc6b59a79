package org.brasspier.daemon.internal.document;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.stream.Stream;

import io.activej.promise.Promise;
import io.activej.promise.Promises;
import org.brasspier.core.ErrorKind;
import org.brasspier.core.Failure;
import org.brasspier.core.document.DocumentValidator;
import org.brasspier.core.document.Fault;
import org.brasspier.core.event.EventKind;
import org.brasspier.daemon.internal.event.EventLog;
import org.brasspier.daemon.internal.platform.StoreException;
import org.brasspier.daemon.internal.platform.TableService.WriteResult;
import org.brasspier.wire.document.DocumentCodec;
import org.brasspier.wire.document.DocumentPointer;
import org.brasspier.wire.document.StoredDocument;

/**
 * Puts submissions into force: stores the body under its hash, then replaces the pointer
 * row on condition that its version is still the one that was read. Confined to the
 * operators thread.
 * <p>
 * A write whose answer was lost may have taken effect, or may still do so. The operator
 * gets no outcome until that is resolved: the row is read back, and as long as it still
 * has the version that the write was conditional on, the same write is sent again. At
 * most one of these writes can take effect, and the row then holds the id of its
 * submission.
 */
final class Submitter {

	/** Longer than the command line waits for an answer by default. */
	private static final Duration RESOLVE_TIMEOUT = Duration.ofSeconds(20);

	private static final Duration RETRY_DELAY = Duration.ofMillis(250);

	/**
	 * With the timeout of a single call, an unavailable store is reported within ten
	 * seconds.
	 */
	private static final int MAX_PUT_ATTEMPTS = 3;

	private final DocumentStore store;

	private final DocumentHolder holder;

	private final EventLog events;

	private final LongSupplier wallMillis;

	Submitter(DocumentStore store, DocumentHolder holder, EventLog events, LongSupplier wallMillis) {
		this.store = store;
		this.holder = holder;
		this.events = events;
		this.wallMillis = wallMillis;
	}

	/**
	 * Validates a submitted document and puts it into force unless another version than
	 * its base version is in force.
	 * @param submission the submission
	 * @return the outcome; the promise never completes with an exception
	 */
	Promise<SubmitOutcome> submit(Submission submission) {
		List<Fault> faults = DocumentValidator.validate(submission.document());
		if (!faults.isEmpty()) {
			return Promise.of(recordRefused(submission, new SubmitOutcome.Invalid(faults)));
		}
		return this.store.readPointer()
			.then((row) -> checkBaseVersion(submission, row))
			.then((outcome, ex) -> Promise.of((ex != null) ? new SubmitOutcome.Failed(toFailure(ex)) : outcome));
	}

	private Promise<SubmitOutcome> checkBaseVersion(Submission submission, Optional<DocumentStore.PointerRow> row) {
		Optional<DocumentPointer.Accepted> earlier = row.flatMap((current) -> current.pointer().find(submission.id()));
		if (earlier.isPresent()) {
			return Promise.of(new SubmitOutcome.Accepted(earlier.get().version(), earlier.get().hash()));
		}
		long versionInForce = row.map((current) -> current.pointer().version()).orElse(0L);
		return (versionInForce == submission.baseVersion()) ? storeNextVersion(submission, row)
				: readConflict(submission, row);
	}

	private Promise<SubmitOutcome> storeNextVersion(Submission submission, Optional<DocumentStore.PointerRow> row) {
		StoredDocument stored = new StoredDocument(submission.baseVersion() + 1,
				row.map((current) -> current.pointer().hash()).orElse(""), submission.id(), this.wallMillis.getAsLong(),
				submission.document());
		byte[] bytes = DocumentCodec.encode(stored);
		DocumentPointer.Accepted accepted = new DocumentPointer.Accepted(submission.id(), stored.version(),
				DocumentCodec.hash(bytes));
		DocumentPointer pointer = new DocumentPointer(stored.version(), accepted.hash(),
				Stream
					.concat(Stream.of(accepted), row.stream().flatMap((current) -> current.pointer().recent().stream()))
					.limit(DocumentPointer.MAX_RECENT)
					.toList());
		SubmitAttempt attempt = new SubmitAttempt(submission, row.map(DocumentStore.PointerRow::rowVersion).orElse(0L),
				pointer, bytes, stored, System.nanoTime() + RESOLVE_TIMEOUT.toNanos());
		// The body is stored first: the row must never point to a missing object.
		return putBody(bytes, MAX_PUT_ATTEMPTS).then(() -> replacePointer(attempt, false));
	}

	private Promise<Void> putBody(byte[] bytes, int attemptsLeft) {
		return this.store.putBody(bytes)
			.then(Promise::of,
					(ex) -> (attemptsLeft > 1)
							? Promises.delay(RETRY_DELAY).then(() -> putBodyIfMissing(bytes, attemptsLeft - 1))
							: Promise.ofException(ex));
	}

	private Promise<Void> putBodyIfMissing(byte[] bytes, int attemptsLeft) {
		// Objects are immutable: if the body is present, only the answer was lost.
		return this.store.readBody(DocumentCodec.hash(bytes))
			.toVoid()
			.then(Promise::of, (ex) -> putBody(bytes, attemptsLeft));
	}

	private Promise<SubmitOutcome> replacePointer(SubmitAttempt attempt, boolean isRetry) {
		return this.store.replacePointer(attempt.expectedRowVersion(), attempt.pointer()).then((result, ex) -> {
			if (ex != null) {
				return (isRetry) ? resolveUnknownOutcome(attempt) : Promise.ofException(ex);
			}
			return switch (result) {
				case WriteResult.Written written -> Promise.of(recordAccepted(attempt));
				case WriteResult.Conflict conflict -> resolveUnknownOutcome(attempt);
				case WriteResult.Unknown unknown -> {
					this.events.record(EventKind.DOCUMENT_UNSETTLED, attempt.submission().id(), unknown.cause());
					yield resolveUnknownOutcome(attempt);
				}
			};
		});
	}

	private Promise<SubmitOutcome> resolveUnknownOutcome(SubmitAttempt attempt) {
		if (System.nanoTime() - attempt.deadlineNanos() > 0) {
			return Promise.of(new SubmitOutcome.Failed(Failure.of(ErrorKind.STORE_OUTCOME_UNKNOWN,
					"the platform's store has not confirmed whether submission %s took effect; submit the same draft again to find out (see TROUBLESHOOTING.md#submission-unsettled)"
						.formatted(attempt.submission().id()))));
		}
		return this.store.readPointer().then((row, ex) -> {
			if (ex != null) {
				return Promises.delay(RETRY_DELAY).then(() -> resolveUnknownOutcome(attempt));
			}
			if (row.flatMap((current) -> current.pointer().find(attempt.submission().id())).isPresent()) {
				return Promise.of(recordAccepted(attempt));
			}
			long rowVersion = row.map(DocumentStore.PointerRow::rowVersion).orElse(0L);
			// While the row has the version that the unconfirmed write was conditional
			// on, that write may still arrive. The outcome is known once a write of this
			// or of another submission has taken effect.
			return (rowVersion == attempt.expectedRowVersion())
					? Promises.delay(RETRY_DELAY).then(() -> replacePointer(attempt, true))
					: readConflict(attempt.submission(), row);
		});
	}

	private SubmitOutcome recordAccepted(SubmitAttempt attempt) {
		this.events.record(EventKind.DOCUMENT_ACCEPTED, attempt.submission().id(),
				"version " + attempt.stored().version());
		this.holder.applyIfNewer(attempt.bytes(), attempt.stored());
		return new SubmitOutcome.Accepted(attempt.stored().version(), attempt.pointer().hash());
	}

	private Promise<SubmitOutcome> readConflict(Submission submission, Optional<DocumentStore.PointerRow> row) {
		if (row.isEmpty()) {
			return Promise.of(recordRefused(submission, new SubmitOutcome.Conflict(Optional.empty())));
		}
		String hash = row.get().pointer().hash();
		return this.store.readBody(hash).map((body) -> {
			this.holder.applyIfNewer(body.bytes(), body.stored());
			return recordRefused(submission, new SubmitOutcome.Conflict(
					Optional.of(new DocumentHolder.DocumentVersion(hash, body.bytes(), body.stored()))));
		});
	}

	private SubmitOutcome recordRefused(Submission submission, SubmitOutcome outcome) {
		this.events.record(EventKind.DOCUMENT_REFUSED, submission.id(), switch (outcome) {
			case SubmitOutcome.Invalid invalid -> invalid.faults().size() + " faults";
			default -> "the draft is based on version %d, which is not in force".formatted(submission.baseVersion());
		});
		return outcome;
	}

	private static Failure toFailure(Exception ex) {
		return (ex instanceof StoreException storeException) ? storeException.failure()
				: Failure.of(ErrorKind.INTERNAL_ERROR, "submission failed: " + ex);
	}

	/**
	 * A submission whose pointer row is being written.
	 *
	 * @param submission the submission
	 * @param expectedRowVersion the version that the row must have
	 * @param pointer the new contents of the row
	 * @param bytes the encoded body
	 * @param stored the decoded body
	 * @param deadlineNanos when to stop resolving an unknown outcome, in terms of
	 * {@link System#nanoTime()}
	 */
	private record SubmitAttempt(Submission submission, long expectedRowVersion, DocumentPointer pointer, byte[] bytes,
			StoredDocument stored, long deadlineNanos) {

	}

}
