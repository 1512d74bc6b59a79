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
 * Handles the requests of other daemons, each of which must prove that the peer has the
 * shared key. Not thread-safe; confined to the operators thread.
 */
final class PeerRequestHandler {

	static final String DOCUMENT_PATH = "/peer/document";

	static final String MEASURES_PATH = "/peer/measures";

	static final HttpHeader NONCE_HEADER = HttpHeaders.of("Brasspier-Nonce");

	static final HttpHeader PROOF_HEADER = HttpHeaders.of("Brasspier-Proof");

	private final DaemonContext context;

	PeerRequestHandler(DaemonContext context) {
		this.context = context;
	}

	AsyncServlet document() {
		return (request) -> serveIfProved(request,
				() -> this.context.documents()
					.storedVersion()
					.map(DocumentHolder.DocumentVersion::bytes)
					.orElseThrow(() -> new IllegalArgumentException("no document is in force in this daemon")));
	}

	AsyncServlet measures() {
		return (request) -> serveIfProved(request, () -> OperatorJson
			.write(MinuteReports
				.of(this.context.outcomes().reportsAfter(QueryParameters.of(request).number("after").orElse(0L))))
			.getBytes(StandardCharsets.UTF_8));
	}

	private Promise<HttpResponse> serveIfProved(HttpRequest request, java.util.function.Supplier<byte[]> bodySupplier) {
		SharedKeys keys = this.context.secrets().sharedKeys();
		String nonce = request.getHeader(NONCE_HEADER);
		String proof = request.getHeader(PROOF_HEADER);
		if (nonce == null || proof == null || !PeerProof.verifyRequest(keys, request.getPathAndQuery(), nonce, proof)) {
			this.context.events()
				.record(EventKind.PEER_REFUSED, request.getPath(), "without a valid proof of the shared key");
			return Promise.of(JsonResponses.error(Failure.of(ErrorKind.UNAUTHORIZED,
					"this request needs a valid proof of the shared key (see TROUBLESHOOTING.md#shared-key)")));
		}
		byte[] body = bodySupplier.get();
		return HttpResponse.ok200()
			.withHeader(PROOF_HEADER, PeerProof.proveResponse(keys, nonce, body))
			.withBody(body)
			.withBodyGzipCompression()
			.toPromise();
	}

}
