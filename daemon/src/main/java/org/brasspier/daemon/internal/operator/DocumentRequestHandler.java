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
 * Handles requests that read, check or submit the configuration document. Not
 * thread-safe; confined to the operators thread.
 */
final class DocumentRequestHandler {

	private static final int MAX_BODY_BYTES = 4 << 20;

	private static final int MAX_HISTORY = 100;

	private final DocumentHolder holder;

	private final DocumentService documentService;

	private final EventLog events;

	DocumentRequestHandler(DocumentHolder holder, DocumentService documentService, EventLog events) {
		this.holder = holder;
		this.documentService = documentService;
		this.events = events;
	}

	Promise<HttpResponse> inForce(HttpRequest request) {
		return Promise.of(JsonResponses
			.ok(this.holder.storedVersion().map(DocumentRequestHandler::render).orElse(DocumentAnswer.NONE)));
	}

	Promise<HttpResponse> history(HttpRequest request) {
		int count = QueryParameters.of(request).number("count").map(Long::intValue).orElse(10);
		return this.documentService.history(Math.clamp(count, 1, MAX_HISTORY))
			.map((versions) -> JsonResponses
				.ok(new HistoryAnswer(versions.stream().map(DocumentRequestHandler::render).toList())));
	}

	Promise<HttpResponse> check(HttpRequest request) {
		return readSubmitRequest(request)
			.map((parsed) -> parsed.flatMap((submitRequest) -> decodeDocument(submitRequest))
				.fold(JsonResponses::error,
						(document) -> JsonResponses.ok(new FaultsAnswer(DocumentValidator.validate(document)))));
	}

	Promise<HttpResponse> submit(HttpRequest request) {
		return readSubmitRequest(request).then((parsed) -> parsed
			.flatMap((submitRequest) -> decodeDocument(submitRequest)
				.map((document) -> new Submission(submitRequest.submission(), submitRequest.baseVersion(), document)))
			.fold((failure) -> Promise.of(JsonResponses.error(failure)), (submission) -> submit(submission)));
	}

	private Promise<HttpResponse> submit(Submission submission) {
		this.events.record(EventKind.OPERATOR_ORDER, submission.id(), "submit on version " + submission.baseVersion());
		return this.documentService.submit(submission).map(DocumentRequestHandler::render);
	}

	private static HttpResponse render(SubmitOutcome outcome) {
		return switch (outcome) {
			case SubmitOutcome.Accepted accepted ->
				JsonResponses.ok(new SubmitAnswer(accepted.version(), accepted.hash()));
			case SubmitOutcome.Invalid invalid -> JsonResponses.error(errorAnswer(ErrorKind.DOCUMENT_INVALID,
					"the document has %d faults (see TROUBLESHOOTING.md#document-invalid)"
						.formatted(invalid.faults().size()))
				.withFaults(invalid.faults()));
			case SubmitOutcome.Conflict conflict -> JsonResponses.error(errorAnswer(ErrorKind.DOCUMENT_CONFLICT,
					"the draft is based on a version that is no longer in force (see TROUBLESHOOTING.md#document-conflict)")
				.withPresent(conflict.inForce().map(DocumentRequestHandler::render).orElse(DocumentAnswer.NONE)));
			case SubmitOutcome.Failed failed -> JsonResponses.error(failed.failure());
		};
	}

	private static ErrorAnswer errorAnswer(ErrorKind kind, String detail) {
		return ErrorAnswer.of(Failure.of(kind, detail));
	}

	private static DocumentAnswer render(DocumentHolder.DocumentVersion held) {
		return DocumentAnswer.of(held.hash(), held.stored());
	}

	private static Promise<Either<Failure, SubmitRequest>> readSubmitRequest(HttpRequest request) {
		return request.loadBody(MAX_BODY_BYTES)
			.map((body) -> OperatorJson.read(body.getString(StandardCharsets.UTF_8), SubmitRequest.class));
	}

	private static Either<Failure, Document> decodeDocument(SubmitRequest submitRequest) {
		try {
			return Either.right(DocumentCodec.document(submitRequest.fields()));
		}
		catch (IllegalArgumentException ex) {
			return Either.left(Failure.of(ErrorKind.BAD_REQUEST, String.valueOf(ex.getMessage())));
		}
	}

}
