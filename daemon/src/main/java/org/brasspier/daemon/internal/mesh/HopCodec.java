package org.brasspier.daemon.internal.mesh;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;

import org.brasspier.core.ErrorKind;
import org.brasspier.core.Failure;
import org.brasspier.core.InstanceId;
import org.brasspier.core.RequestClass;
import org.brasspier.core.ServiceName;
import org.brasspier.core.crash.CrashReport;
import org.brasspier.core.crash.CrashState;
import org.brasspier.core.crash.Exoneration;
import org.brasspier.core.crash.RequestFingerprint;
import org.brasspier.core.keys.BackendIncarnation;
import org.brasspier.core.keys.HolderLoad;
import org.brasspier.core.keys.KeyLoad;
import org.brasspier.core.keys.KeySpan;
import org.brasspier.core.keys.PromiseMark;
import org.brasspier.core.load.GateReport;
import org.brasspier.core.load.ServerLoad;
import org.brasspier.core.mesh.KnownRows;
import org.brasspier.core.mesh.SendOutcome;
import org.brasspier.core.request.Answer;
import org.brasspier.core.request.HeaderField;
import org.brasspier.core.returns.RequestOrigin;
import org.brasspier.core.returns.ReturnStatus;
import org.brasspier.daemon.mesh.MeshRequest;
import org.brasspier.daemon.mesh.MetadataStore;
import org.brasspier.wire.FrameReader;
import org.brasspier.wire.FrameWriter;
import org.brasspier.wire.WireException;

/**
 * Encodes and decodes messages between daemons. Stateless and thread-safe.
 */
final class HopCodec {

	private static final int FORWARDED_REQUEST = 1;

	private static final int ANSWERED = 2;

	private static final int NOT_RUN = 3;

	private static final int UNKNOWN = 4;

	private static final int CANCEL = 5;

	private static final int PING = 6;

	private static final int PONG = 7;

	private static final int LEAVING = 8;

	private static final int LOAD_REPORT = 9;

	private static final int STOPPING = 10;

	private static final int PROMISE_REQUEST = 11;

	private static final int PROMISE_RESPONSE = 12;

	private static final int PROMISE_RELEASE = 13;

	private static final int VERSIONS_NOTICE = 14;

	private static final int ROWS_REQUEST = 15;

	private static final int ROWS_RESPONSE = 16;

	private static final int FOLLOW_REQUEST = 17;

	private static final int ROW_CHANGES = 18;

	private static final int LEASES_REQUEST = 19;

	private static final int LEASES_RESPONSE = 20;

	private static final int COMPRESSED = 21;

	private static final int CRASH_UPDATE = 22;

	private static final int PIECES_RECEIVED = 23;

	private static final double THOUSANDTHS = 1000;

	private static final int NO_KEY = -1;

	private static final byte[] NO_BYTES = new byte[0];

	private HopCodec() {
	}

	static byte[] encode(HopMessage message) {
		FrameWriter frame = new FrameWriter();
		switch (message) {
			case HopMessage.ForwardedRequest(long exchange, long sentNanos, HopRequest request) ->
				request(frame.number(FORWARDED_REQUEST).number(exchange).number(sentNanos), request);
			case HopMessage.ForwardedResponse(long exchange, SendOutcome outcome, Optional<GateReport> report) -> {
				outcome(frame, exchange, outcome);
				report.ifPresent((known) -> gateReport(frame, known));
			}
			case HopMessage.Cancel(long exchange) -> frame.number(CANCEL).number(exchange);
			case HopMessage.LoadReport(HolderLoad load) -> load(frame.number(LOAD_REPORT), load);
			case HopMessage.PromiseRequest(long exchange, InstanceId holder, long rowVersion, var mark) ->
				mark(frame.number(PROMISE_REQUEST).number(exchange).text(holder.value()).number(rowVersion), mark);
			case HopMessage.PromiseResponse(long exchange, long process, boolean promised, boolean canTakeOver) ->
				frame.number(PROMISE_RESPONSE).number(exchange).number(process).flag(promised).flag(canTakeOver);
			case HopMessage.PromiseRelease(InstanceId holder, var mark) ->
				mark(frame.number(PROMISE_RELEASE).text(holder.value()), mark);
			case HopMessage.VersionsNotice(KnownRows rows) -> versions(frame.number(VERSIONS_NOTICE), rows);
			case HopMessage.RowsRequest(KnownRows rows) -> versions(frame.number(ROWS_REQUEST), rows);
			case HopMessage.RowsResponse response -> rowsResponse(frame.number(ROWS_RESPONSE), response);
			case HopMessage.FollowRequest(KnownRows versions, boolean readsStore) ->
				versions(frame.number(FOLLOW_REQUEST), versions).flag(readsStore);
			case HopMessage.RowChanges(KnownRows after, KnownRows upTo, boolean storeReachable, HopMessage.RowsResponse rows) ->
				rowsResponse(versions(versions(frame.number(ROW_CHANGES), after), upTo).flag(storeReachable), rows);
			case HopMessage.LeasesRequest(long exchange, int maxAgeMillis) ->
				frame.number(LEASES_REQUEST).number(exchange).number(maxAgeMillis);
			case HopMessage.LeasesResponse(long exchange, var leases) ->
				rows(frame.number(LEASES_RESPONSE).number(exchange).flag(leases.isPresent()), leases.orElse(List.of()));
			case HopMessage.CrashUpdate(InstanceId from, CrashState state) ->
				crashes(frame.number(CRASH_UPDATE).text(from.value()), state);
			case HopMessage.Ping(boolean pieces, boolean acknowledges) ->
				frame.number(PING).flag(pieces).flag(acknowledges);
			case HopMessage.Pong(boolean pieces, boolean acknowledges) ->
				frame.number(PONG).flag(pieces).flag(acknowledges);
			case HopMessage.PiecesReceived(long bytes) -> frame.number(PIECES_RECEIVED).number(bytes);
			case HopMessage.Leaving ignored -> frame.number(LEAVING);
			case HopMessage.Stopping ignored -> frame.number(STOPPING);
		}
		return frame.frame();
	}

	/**
	 * Encodes a message for a daemon that accepts compressed messages.
	 * @param message the message
	 * @return the whole frame
	 */
	static byte[] encodeCompressed(HopMessage message) {
		return new FrameWriter().number(COMPRESSED).compressed(encode(message)).frame();
	}

	private static void request(FrameWriter frame, HopRequest forwarded) {
		MeshRequest request = forwarded.request();
		frame.text(forwarded.service().value())
			.text(forwarded.caller().value())
			.number(forwarded.requestClass().ordinal())
			.flag(forwarded.idempotent())
			.flag(forwarded.overdue())
			.text(request.id())
			.text(request.host())
			.text(request.method())
			.text(request.target())
			.number(request.remainingMillis())
			.number(request.key().orElse(NO_KEY));
		headers(frame, request.headers());
		frame.bytes(request.body()).flag(forwarded.mayQueue()).text(forwarded.route());
		frame.number(forwarded.origin().status().ordinal()).text(forwarded.origin().instance());
	}

	private static void headers(FrameWriter frame, List<HeaderField> headers) {
		frame.count(headers.size());
		headers.forEach((field) -> frame.text(field.name()).text(field.value()));
	}

	private static void outcome(FrameWriter frame, long exchange, SendOutcome outcome) {
		switch (outcome) {
			case SendOutcome.Answered(Answer answer) -> {
				frame.number(ANSWERED).number(exchange).number(answer.status());
				headers(frame, answer.headers());
				frame.bytes(answer.body());
			}
			case SendOutcome.NotRun(Failure failure, boolean reached) -> {
				failure(frame.number(NOT_RUN).number(exchange), failure);
				frame.flag(reached);
			}
			case SendOutcome.Unknown(Failure failure) -> failure(frame.number(UNKNOWN).number(exchange), failure);
		}
	}

	// Daemons of an earlier build ignore what follows an outcome.
	private static void gateReport(FrameWriter frame, GateReport report) {
		ServerLoad load = report.load();
		frame.number(load.slots())
			.number(load.running())
			.number(load.waiting())
			.number(load.workLeft().toMillis())
			.number(load.linkBacklog().toMillis())
			.number(report.expectedRun().toMillis())
			.flag(report.callRoute());
	}

	private static HopMessage.ForwardedResponse response(long exchange, SendOutcome outcome, FrameReader frame)
			throws WireException {
		return new HopMessage.ForwardedResponse(exchange, outcome,
				frame.hasMore() ? Optional.of(gateReport(frame)) : Optional.empty());
	}

	private static GateReport gateReport(FrameReader frame) throws WireException {
		try {
			ServerLoad load = new ServerLoad(frame.integer(), frame.integer(), frame.integer(),
					Duration.ofMillis(frame.number()), Duration.ofMillis(frame.number()));
			return new GateReport(load, Duration.ofMillis(frame.number()), frame.flag());
		}
		catch (IllegalArgumentException ex) {
			throw new WireException("the load reported by another daemon is invalid", ex);
		}
	}

	private static void failure(FrameWriter frame, Failure failure) {
		frame.text(failure.kind().name()).text(failure.detail()).number(failure.retryAfter().toMillis());
	}

	static HopMessage decode(FrameReader frame) throws WireException {
		int type = frame.integer();
		return (type == COMPRESSED) ? decode(frame.compressed(HopLink.MAX_FRAME_BYTES)) : decode(type, frame);
	}

	private static HopMessage decode(int type, FrameReader frame) throws WireException {
		return switch (type) {
			case FORWARDED_REQUEST -> new HopMessage.ForwardedRequest(frame.number(), frame.number(), request(frame));
			case ANSWERED -> response(frame.number(), answered(frame), frame);
			case NOT_RUN -> response(frame.number(), new SendOutcome.NotRun(failure(frame), frame.flag()), frame);
			case UNKNOWN -> response(frame.number(), new SendOutcome.Unknown(failure(frame)), frame);
			case CANCEL -> new HopMessage.Cancel(frame.number());
			case LOAD_REPORT -> new HopMessage.LoadReport(load(frame));
			case PROMISE_REQUEST ->
				new HopMessage.PromiseRequest(frame.number(), instance(frame), frame.number(), mark(frame));
			case PROMISE_RESPONSE ->
				new HopMessage.PromiseResponse(frame.number(), frame.number(), frame.flag(), frame.flag());
			case PROMISE_RELEASE -> new HopMessage.PromiseRelease(instance(frame), mark(frame));
			case VERSIONS_NOTICE -> new HopMessage.VersionsNotice(versions(frame));
			case ROWS_REQUEST -> new HopMessage.RowsRequest(versions(frame));
			case ROWS_RESPONSE -> rowsResponse(frame);
			case FOLLOW_REQUEST -> new HopMessage.FollowRequest(versions(frame), frame.flag());
			case ROW_CHANGES ->
				new HopMessage.RowChanges(versions(frame), versions(frame), frame.flag(), rowsResponse(frame));
			case LEASES_REQUEST -> new HopMessage.LeasesRequest(frame.number(), frame.integer());
			case LEASES_RESPONSE -> leasesResponse(frame);
			case CRASH_UPDATE -> new HopMessage.CrashUpdate(instance(frame), crashes(frame));
			case PING -> new HopMessage.Ping(optionalFlag(frame), optionalFlag(frame));
			case PONG -> new HopMessage.Pong(optionalFlag(frame), optionalFlag(frame));
			case PIECES_RECEIVED -> new HopMessage.PiecesReceived(frame.number());
			case LEAVING -> new HopMessage.Leaving();
			case STOPPING -> new HopMessage.Stopping();
			default -> throw new WireException("message type %d is not known".formatted(type));
		};
	}

	// Daemons of an earlier build do not send these flags.
	private static boolean optionalFlag(FrameReader frame) throws WireException {
		return frame.hasMore() && frame.flag();
	}

	private static void mark(FrameWriter frame, Optional<PromiseMark> mark) {
		mark.ifPresent((known) -> frame.number(known.process()).number(known.askedNanos()));
	}

	// Daemons of an earlier build send no mark.
	private static Optional<PromiseMark> mark(FrameReader frame) throws WireException {
		return frame.hasMore() ? Optional.of(new PromiseMark(frame.number(), frame.number())) : Optional.empty();
	}

	private static FrameWriter versions(FrameWriter frame, KnownRows versions) {
		return frame.number(versions.config()).number(versions.mesh());
	}

	private static KnownRows versions(FrameReader frame) throws WireException {
		return new KnownRows(frame.number(), frame.number());
	}

	private static FrameWriter rowsResponse(FrameWriter frame, HopMessage.RowsResponse response) {
		return rows(rows(frame, response.config()), response.mesh());
	}

	private static HopMessage.RowsResponse rowsResponse(FrameReader frame) throws WireException {
		return new HopMessage.RowsResponse(frame.list(HopCodec::row), frame.list(HopCodec::row));
	}

	private static FrameWriter rows(FrameWriter frame, List<MetadataStore.Row> rows) {
		frame.count(rows.size());
		rows.forEach((row) -> frame.text(row.key())
			.number(row.version())
			.flag(row.value().isPresent())
			.bytes(row.value().orElse(NO_BYTES)));
		return frame;
	}

	private static HopMessage.LeasesResponse leasesResponse(FrameReader frame) throws WireException {
		long exchange = frame.number();
		boolean answered = frame.flag();
		List<MetadataStore.Row> rows = frame.list(HopCodec::row);
		return new HopMessage.LeasesResponse(exchange, answered ? Optional.of(rows) : Optional.empty());
	}

	private static MetadataStore.Row row(FrameReader frame) throws WireException {
		String key = frame.text();
		long version = frame.number();
		boolean present = frame.flag();
		byte[] value = frame.bytes();
		return new MetadataStore.Row(key, present ? Optional.of(value) : Optional.empty(), version);
	}

	private static InstanceId instance(FrameReader frame) throws WireException {
		try {
			return new InstanceId(frame.text());
		}
		catch (IllegalArgumentException ex) {
			throw new WireException("a message of another daemon has an invalid instance name", ex);
		}
	}

	// Daemons of an earlier build read only the first part, up to the cleared requests.
	private static void crashes(FrameWriter frame, CrashState state) {
		frame.count(state.reports().size());
		state.reports().forEach((report) -> {
			frame.text(report.incarnation().id()).number(report.incarnation().startedMillis());
			numbers(frame, report.untagged());
		});
		numbers(frame, state.cleared());
		state.reports().forEach((report) -> {
			frame.number(report.id()).count(report.requests().size());
			report.requests()
				.forEach((request) -> frame.number(request.exact())
					.number(request.resource())
					.number(request.untagged()));
		});
		frame.count(state.exonerations().size());
		state.exonerations().forEach((each) -> frame.number(each.crash()).number(each.exact()).number(each.resource()));
	}

	private static void numbers(FrameWriter frame, Set<Long> numbers) {
		frame.count(numbers.size());
		numbers.forEach(frame::number);
	}

	private static CrashState crashes(FrameReader frame) throws WireException {
		try {
			List<CrashReport> reports = frame.list((each) -> CrashReport
				.ofEarlierBuild(new BackendIncarnation(each.text(), each.number()), numbers(each)));
			Set<Long> cleared = numbers(frame);
			return frame.hasMore() ? crashes(frame, reports, cleared) : new CrashState(reports, Set.of(), cleared);
		}
		catch (IllegalArgumentException ex) {
			throw new WireException("a crash update of another daemon is invalid", ex);
		}
	}

	private static CrashState crashes(FrameReader frame, List<CrashReport> untagged, Set<Long> cleared)
			throws WireException {
		List<CrashReport> reports = new ArrayList<>();
		for (CrashReport report : untagged) {
			reports.add(new CrashReport(frame.number(), report.incarnation(),
					Set.copyOf(
							frame.list((each) -> new RequestFingerprint(each.number(), each.number(), each.number()))),
					report.untagged()));
		}
		List<Exoneration> exonerations = frame
			.list((each) -> new Exoneration(each.number(), each.number(), each.number()));
		return new CrashState(reports, Set.copyOf(exonerations), cleared);
	}

	private static Set<Long> numbers(FrameReader frame) throws WireException {
		return Set.copyOf(frame.list(FrameReader::number));
	}

	// Rates and capacities are sent as integers, in thousandths.
	private static void load(FrameWriter frame, HolderLoad load) {
		frame.text(load.instance().value())
			.number(Math.round(load.capacity() * THOUSANDTHS))
			.count(load.pieces().size());
		load.pieces()
			.forEach((piece) -> frame.number(piece.span().from())
				.number(piece.span().to())
				.number(Math.round(piece.rate() * THOUSANDTHS)));
	}

	private static HolderLoad load(FrameReader frame) throws WireException {
		try {
			InstanceId instance = new InstanceId(frame.text());
			double capacity = frame.number() / THOUSANDTHS;
			return new HolderLoad(instance, capacity, frame
				.list((each) -> new KeyLoad(new KeySpan(each.integer(), each.integer()), each.number() / THOUSANDTHS)));
		}
		catch (IllegalArgumentException ex) {
			throw new WireException("a load report of another daemon is invalid", ex);
		}
	}

	private static HopRequest request(FrameReader frame) throws WireException {
		try {
			ServiceName service = new ServiceName(frame.text());
			ServiceName caller = new ServiceName(frame.text());
			RequestClass requestClass = RequestClass.values()[frame.integer()];
			boolean idempotent = frame.flag();
			boolean overdue = frame.flag();
			String id = frame.text();
			String host = frame.text();
			String method = frame.text();
			String target = frame.text();
			int remaining = frame.integer();
			int key = frame.integer();
			OptionalInt optionalKey = (key == NO_KEY) ? OptionalInt.empty() : OptionalInt.of(key);
			List<HeaderField> headers = frame.list(HopCodec::header);
			byte[] body = frame.bytes();
			// Daemons of an earlier build do not send this flag; their requests may
			// always be queued.
			boolean mayWait = !frame.hasMore() || frame.flag();
			String route = frame.hasMore() ? frame.text() : "";
			return new HopRequest(service, caller, requestClass, idempotent, overdue, mayWait,
					new MeshRequest(id, host, method, target, headers, body, remaining, optionalKey), route,
					origin(frame));
		}
		catch (IllegalArgumentException | IndexOutOfBoundsException ex) {
			throw new WireException("a request of another daemon is invalid", ex);
		}
	}

	// Daemons of an earlier build do not send these fields.
	private static RequestOrigin origin(FrameReader frame) throws WireException {
		ReturnStatus status = frame.hasMore() ? ReturnStatus.of(frame.integer()) : ReturnStatus.NEW;
		String instance = frame.hasMore() ? frame.text() : "";
		return new RequestOrigin(status, instance.isEmpty() ? "" : new InstanceId(instance).value(), "");
	}

	private static HeaderField header(FrameReader frame) throws WireException {
		return new HeaderField(frame.text(), frame.text());
	}

	private static SendOutcome answered(FrameReader frame) throws WireException {
		int status = frame.integer();
		List<HeaderField> headers = frame.list(HopCodec::header);
		byte[] body = frame.bytes();
		if (!Answer.isFinal(status)) {
			// Daemons of an earlier build pass on any status.
			return new SendOutcome.Unknown(
					Failure.of(ErrorKind.BAD_ANSWER, "another daemon passed on an answer with status " + status));
		}
		return new SendOutcome.Answered(new Answer(status, headers, body));
	}

	private static Failure failure(FrameReader frame) throws WireException {
		try {
			return new Failure(ErrorKind.valueOf(frame.text()), frame.text(), Duration.ofMillis(frame.number()));
		}
		catch (IllegalArgumentException ex) {
			throw new WireException("a failure reported by another daemon is invalid", ex);
		}
	}

}
