package org.brasspier.daemon.internal.operator;

import java.nio.charset.StandardCharsets;

import io.activej.http.AsyncServlet;
import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import org.brasspier.core.ErrorKind;
import org.brasspier.core.Failure;
import org.brasspier.core.event.EventKind;
import org.brasspier.daemon.internal.DaemonContext;
import org.brasspier.daemon.internal.document.DocumentHolder;
import org.brasspier.wire.PeerProof;
import org.brasspier.wire.SharedKeys;
import org.brasspier.wire.operator.MinuteReports;
import org.brasspier.wire.operator.OperatorJson;

/**
 * What other daemons ask this one for, each question proved by the shared key. Belongs to
 * the thread of operators.
 */
final class PeerCalls {

	static final String DOCUMENT = "/peer/document";

	static final String MEASURES = "/peer/measures";

	static final HttpHeader NONCE = HttpHeaders.of("Brasspier-Nonce");

	static final HttpHeader PROOF = HttpHeaders.of("Brasspier-Proof");

	private final DaemonContext context;

	PeerCalls(DaemonContext context) {
		this.context = context;
	}

	AsyncServlet document() {
		return (request) -> proved(request,
				() -> this.context.documents()
					.storedVersion()
					.map(DocumentHolder.DocumentVersion::bytes)
					.orElseThrow(() -> new IllegalArgumentException("no document is in force here")));
	}

	AsyncServlet measures() {
		return (request) -> proved(request, () -> OperatorJson
			.write(MinuteReports.of(this.context.outcomes().reportsAfter(Query.of(request).number("after").orElse(0L))))
			.getBytes(StandardCharsets.UTF_8));
	}

	private Promise<HttpResponse> proved(HttpRequest request, java.util.function.Supplier<byte[]> answer) {
		SharedKeys keys = this.context.secrets().sharedKeys();
		String nonce = request.getHeader(NONCE);
		String proof = request.getHeader(PROOF);
		if (nonce == null || proof == null || !PeerProof.verifyRequest(keys, request.getPathAndQuery(), nonce, proof)) {
			this.context.events().record(EventKind.PEER_REFUSED, request.getPath(), "without the shared key's proof");
			return Promise.of(Answers.failed(Failure.of(ErrorKind.UNAUTHORIZED,
					"this call needs the shared key's proof (see TROUBLESHOOTING.md#shared-key)")));
		}
		byte[] body = answer.get();
		return HttpResponse.ok200()
			.withHeader(PROOF, PeerProof.proveResponse(keys, nonce, body))
			.withBody(body)
			.withBodyGzipCompression()
			.toPromise();
	}

}
