package org.brasspier.daemon.internal.operator;

import java.nio.charset.StandardCharsets;

import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.vavr.control.Either;
import org.brasspier.core.ErrorKind;
import org.brasspier.core.Failure;
import org.brasspier.core.document.Document;
import org.brasspier.core.document.DocumentValidator;
import org.brasspier.core.event.EventKind;
import org.brasspier.daemon.internal.document.DocumentHolder;
import org.brasspier.daemon.internal.document.DocumentService;
import org.brasspier.daemon.internal.document.Submission;
import org.brasspier.daemon.internal.document.SubmitOutcome;
import org.brasspier.daemon.internal.event.EventLog;
import org.brasspier.wire.document.DocumentCodec;
import org.brasspier.wire.operator.DocumentAnswer;
import org.brasspier.wire.operator.ErrorAnswer;
import org.brasspier.wire.operator.FaultsAnswer;
import org.brasspier.wire.operator.HistoryAnswer;
import org.brasspier.wire.operator.OperatorJson;
import org.brasspier.wire.operator.SubmitAnswer;
import org.brasspier.wire.operator.SubmitRequest;

/**
 * The calls about the document. Belongs to the thread of operators.
 */
final class DocumentCalls {

	private static final int MAX_BODY_BYTES = 4 << 20;

	private static final int MAX_HISTORY = 100;

	private final DocumentHolder holder;

	private final DocumentService documents;

	private final EventLog events;

	DocumentCalls(DocumentHolder holder, DocumentService documents, EventLog events) {
		this.holder = holder;
		this.documents = documents;
		this.events = events;
	}

	Promise<HttpResponse> inForce(HttpRequest request) {
		return Promise
			.of(Answers.ok(this.holder.storedVersion().map(DocumentCalls::render).orElse(DocumentAnswer.NONE)));
	}

	Promise<HttpResponse> history(HttpRequest request) {
		int count = Query.of(request).number("count").map(Long::intValue).orElse(10);
		return this.documents.history(Math.clamp(count, 1, MAX_HISTORY))
			.map((versions) -> Answers.ok(new HistoryAnswer(versions.stream().map(DocumentCalls::render).toList())));
	}

	Promise<HttpResponse> check(HttpRequest request) {
		return submitted(request).map((read) -> read.flatMap((submit) -> document(submit))
			.fold(Answers::failed, (document) -> Answers.ok(new FaultsAnswer(DocumentValidator.validate(document)))));
	}

	Promise<HttpResponse> submit(HttpRequest request) {
		return submitted(request).then((read) -> read
			.flatMap((submit) -> document(submit)
				.map((document) -> new Submission(submit.submission(), submit.baseVersion(), document)))
			.fold((failure) -> Promise.of(Answers.failed(failure)), (submission) -> submit(submission)));
	}

	private Promise<HttpResponse> submit(Submission submission) {
		this.events.record(EventKind.OPERATOR_ORDER, submission.id(), "submit on version " + submission.baseVersion());
		return this.documents.submit(submission).map(DocumentCalls::render);
	}

	private static HttpResponse render(SubmitOutcome outcome) {
		return switch (outcome) {
			case SubmitOutcome.Accepted accepted -> Answers.ok(new SubmitAnswer(accepted.version(), accepted.hash()));
			case SubmitOutcome.Invalid invalid -> Answers.failed(error(ErrorKind.DOCUMENT_INVALID,
					"the document has %d faults (see TROUBLESHOOTING.md#document-invalid)"
						.formatted(invalid.faults().size()))
				.withFaults(invalid.faults()));
			case SubmitOutcome.Conflict conflict -> Answers.failed(error(ErrorKind.DOCUMENT_CONFLICT,
					"another version is in force than the draft began from (see TROUBLESHOOTING.md#document-conflict)")
				.withPresent(conflict.inForce().map(DocumentCalls::render).orElse(DocumentAnswer.NONE)));
			case SubmitOutcome.Failed failed -> Answers.failed(failed.failure());
		};
	}

	private static ErrorAnswer error(ErrorKind kind, String detail) {
		return ErrorAnswer.of(Failure.of(kind, detail));
	}

	private static DocumentAnswer render(DocumentHolder.DocumentVersion held) {
		return DocumentAnswer.of(held.hash(), held.stored());
	}

	private static Promise<Either<Failure, SubmitRequest>> submitted(HttpRequest request) {
		return request.loadBody(MAX_BODY_BYTES)
			.map((body) -> OperatorJson.read(body.getString(StandardCharsets.UTF_8), SubmitRequest.class));
	}

	private static Either<Failure, Document> document(SubmitRequest submit) {
		try {
			return Either.right(DocumentCodec.document(submit.fields()));
		}
		catch (IllegalArgumentException ex) {
			return Either.left(Failure.of(ErrorKind.BAD_REQUEST, String.valueOf(ex.getMessage())));
		}
	}

}
