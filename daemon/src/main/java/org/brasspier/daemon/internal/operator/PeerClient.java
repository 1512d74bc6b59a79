package org.brasspier.daemon.internal.operator;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.Supplier;
import java.util.stream.Stream;

import io.activej.bytebuf.ByteBuf;
import io.activej.http.HttpClient;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import org.brasspier.core.InstanceId;
import org.brasspier.core.measure.MinuteReport;
import org.brasspier.core.routing.PeerAddress;
import org.brasspier.daemon.internal.DaemonContext;
import org.brasspier.daemon.internal.document.PeerDocuments;
import org.brasspier.daemon.internal.measure.MemberReports;
import org.brasspier.daemon.internal.ownership.CellView;
import org.brasspier.wire.PeerProof;
import org.brasspier.wire.SharedKeys;
import org.brasspier.wire.operator.MinuteReports;
import org.brasspier.wire.operator.OperatorJson;

/**
 * Client for the operator ports of other daemons of the cell. Not thread-safe; confined
 * to the thread of its HTTP client.
 */
final class PeerClient implements PeerDocuments, MemberReports {

	private static final int MAX_BODY_BYTES = 4 << 20;

	private final HttpClient http;

	private final DaemonContext context;

	private final Supplier<CellView> cellView;

	PeerClient(HttpClient http, DaemonContext context, Supplier<CellView> cellView) {
		this.http = http;
		this.context = context;
		this.cellView = cellView;
	}

	@Override
	public Promise<byte[]> fetch(InstanceId peer) {
		return this.cellView.get()
			.members()
			.stream()
			.filter((member) -> member.instance().equals(peer))
			.findFirst()
			.map((member) -> get(member.address(), PeerRequestHandler.DOCUMENT_PATH))
			.orElseGet(() -> Promise.ofException(new IOException("peer %s has no known address".formatted(peer))));
	}

	@Override
	public Promise<List<MinuteReport>> reportsAfter(long afterMinute) {
		InstanceId self = this.context.settings().instance();
		Stream<Promise<List<MinuteReport>>> otherReports = this.cellView.get()
			.members()
			.stream()
			.filter((member) -> !member.instance().equals(self))
			.map((member) -> fetchReports(member.address(), afterMinute));
		Promise<List<MinuteReport>> ownReports = Promise.of(this.context.outcomes().reportsAfter(afterMinute));
		return Promises.toList(Stream.concat(Stream.of(ownReports), otherReports))
			.map((lists) -> lists.stream().flatMap(List::stream).toList());
	}

	private Promise<List<MinuteReport>> fetchReports(PeerAddress address, long afterMinute) {
		// A member that does not respond counts as one without reports, so that the
		// measures of the other members are still recorded.
		return get(address, PeerRequestHandler.MEASURES_PATH + "?after=" + afterMinute)
			.map((body) -> OperatorJson.read(new String(body, StandardCharsets.UTF_8), MinuteReports.class)
				.map(MinuteReports::read)
				.getOrElse(List.of()))
			.map((reports) -> reports, (ex) -> List.of());
	}

	private Promise<byte[]> get(PeerAddress address, String path) {
		SharedKeys keys = this.context.secrets().sharedKeys();
		String nonce = PeerProof.nonce();
		HttpRequest request = HttpRequest.get("http://%s:%d%s".formatted(address.host(), address.operatorPort(), path))
			.withHeader(PeerRequestHandler.NONCE_HEADER, nonce)
			.withHeader(PeerRequestHandler.PROOF_HEADER, PeerProof.proveRequest(keys, path, nonce))
			.withHeader(HttpHeaders.ACCEPT_ENCODING, "gzip")
			.build();
		return this.http.request(request)
			.then((response) -> response.loadBody(MAX_BODY_BYTES)
				.map(ByteBuf::getArray)
				.then((body) -> verifyBody(keys, nonce, response, body)));
	}

	private static Promise<byte[]> verifyBody(SharedKeys keys, String nonce, HttpResponse response, byte[] body) {
		String proof = response.getHeader(PeerRequestHandler.PROOF_HEADER);
		boolean proved = response.getCode() == 200 && proof != null
				&& PeerProof.verifyResponse(keys, nonce, body, proof);
		return (proved) ? Promise.of(body)
				: Promise.ofException(
						new IOException("response of the peer has status %d or no valid proof of the shared key"
							.formatted(response.getCode())));
	}

}
