package org.brasspier.daemon.internal.mesh;

import java.time.Duration;
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
import org.brasspier.core.keys.BackendIncarnation;
import org.brasspier.core.keys.HolderLoad;
import org.brasspier.core.keys.KeyLoad;
import org.brasspier.core.keys.KeySpan;
import org.brasspier.core.mesh.KnownRows;
import org.brasspier.core.mesh.SendOutcome;
import org.brasspier.core.request.Answer;
import org.brasspier.core.request.HeaderField;
import org.brasspier.daemon.mesh.MeshRequest;
import org.brasspier.daemon.mesh.MetadataStore;
import org.brasspier.wire.FrameReader;
import org.brasspier.wire.FrameWriter;
import org.brasspier.wire.WireException;

/**
 * Writes and reads messages between daemons. Stateless and thread-safe.
 */
final class HopCodec {

	private static final int ASKED = 1;

	private static final int ANSWERED = 2;

	private static final int NOT_RUN = 3;

	private static final int UNKNOWN = 4;

	private static final int CANCELLED = 5;

	private static final int PING = 6;

	private static final int PONG = 7;

	private static final int LEAVING = 8;

	private static final int LOAD = 9;

	private static final int STOPPING = 10;

	private static final int PROMISE_ASKED = 11;

	private static final int PROMISED = 12;

	private static final int PROMISE_RELEASED = 13;

	private static final int KNOWN = 14;

	private static final int ROWS_ASKED = 15;

	private static final int ROWS_TOLD = 16;

	private static final int ROWS_FOLLOWED = 17;

	private static final int ROWS_PASSED = 18;

	private static final int LEASES_ASKED = 19;

	private static final int LEASES_TOLD = 20;

	private static final int COMPRESSED = 21;

	private static final int CRASHES_TOLD = 22;

	private static final double MILLI = 1000;

	private static final int NO_KEY = -1;

	private static final byte[] NO_BYTES = new byte[0];

	private HopCodec() {
	}

	static byte[] encode(HopMessage message) {
		FrameWriter frame = new FrameWriter();
		switch (message) {
			case HopMessage.ForwardedRequest(long exchange, long sentNanos, HopRequest ask) ->
				ask(frame.number(ASKED).number(exchange).number(sentNanos), ask);
			case HopMessage.ForwardedResponse(long exchange, SendOutcome outcome) -> outcome(frame, exchange, outcome);
			case HopMessage.Cancel(long exchange) -> frame.number(CANCELLED).number(exchange);
			case HopMessage.LoadReport(HolderLoad load) -> load(frame.number(LOAD), load);
			case HopMessage.PromiseRequest(long exchange, InstanceId holder, long rowVersion) ->
				frame.number(PROMISE_ASKED).number(exchange).text(holder.value()).number(rowVersion);
			case HopMessage.PromiseResponse(long exchange, long process, boolean promised, boolean able) ->
				frame.number(PROMISED).number(exchange).number(process).flag(promised).flag(able);
			case HopMessage.PromiseRelease(InstanceId holder) -> frame.number(PROMISE_RELEASED).text(holder.value());
			case HopMessage.VersionsNotice(KnownRows rows) -> known(frame.number(KNOWN), rows);
			case HopMessage.RowsRequest(KnownRows rows) -> known(frame.number(ROWS_ASKED), rows);
			case HopMessage.RowsResponse told -> told(frame.number(ROWS_TOLD), told);
			case HopMessage.FollowRequest(KnownRows known, boolean reads) ->
				known(frame.number(ROWS_FOLLOWED), known).flag(reads);
			case HopMessage.RowChanges(KnownRows after, KnownRows upTo, boolean current, HopMessage.RowsResponse rows) ->
				told(known(known(frame.number(ROWS_PASSED), after), upTo).flag(current), rows);
			case HopMessage.LeasesRequest(long exchange, int oldestMillis) ->
				frame.number(LEASES_ASKED).number(exchange).number(oldestMillis);
			case HopMessage.LeasesResponse(long exchange, var leases) ->
				rows(frame.number(LEASES_TOLD).number(exchange).flag(leases.isPresent()), leases.orElse(List.of()));
			case HopMessage.CrashUpdate(InstanceId from, CrashState notes) ->
				crashes(frame.number(CRASHES_TOLD).text(from.value()), notes);
			case HopMessage.Ping(boolean takesPieces) -> frame.number(PING).flag(takesPieces);
			case HopMessage.Pong(boolean takesPieces) -> frame.number(PONG).flag(takesPieces);
			case HopMessage.Leaving ignored -> frame.number(LEAVING);
			case HopMessage.Stopping ignored -> frame.number(STOPPING);
		}
		return frame.frame();
	}

	/**
	 * Writes a message for a daemon that takes compressed ones.
	 * @param message the message
	 * @return the whole frame
	 */
	static byte[] encodeCompressed(HopMessage message) {
		return new FrameWriter().number(COMPRESSED).compressed(encode(message)).frame();
	}

	private static void ask(FrameWriter frame, HopRequest ask) {
		MeshRequest request = ask.request();
		frame.text(ask.service().value())
			.text(ask.caller().value())
			.number(ask.requestClass().ordinal())
			.flag(ask.idempotent())
			.flag(ask.overdue())
			.text(request.id())
			.text(request.host())
			.text(request.method())
			.text(request.target())
			.number(request.remainingMillis())
			.number(request.key().orElse(NO_KEY));
		headers(frame, request.headers());
		frame.bytes(request.body()).flag(ask.mayQueue());
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

	private static void failure(FrameWriter frame, Failure failure) {
		frame.text(failure.kind().name()).text(failure.detail()).number(failure.retryAfter().toMillis());
	}

	static HopMessage decode(FrameReader frame) throws WireException {
		int type = frame.integer();
		return (type == COMPRESSED) ? decode(frame.compressed(HopLink.MAX_FRAME_BYTES)) : decode(type, frame);
	}

	private static HopMessage decode(int type, FrameReader frame) throws WireException {
		return switch (type) {
			case ASKED -> new HopMessage.ForwardedRequest(frame.number(), frame.number(), ask(frame));
			case ANSWERED -> new HopMessage.ForwardedResponse(frame.number(), answered(frame));
			case NOT_RUN ->
				new HopMessage.ForwardedResponse(frame.number(), new SendOutcome.NotRun(failure(frame), frame.flag()));
			case UNKNOWN -> new HopMessage.ForwardedResponse(frame.number(), new SendOutcome.Unknown(failure(frame)));
			case CANCELLED -> new HopMessage.Cancel(frame.number());
			case LOAD -> new HopMessage.LoadReport(load(frame));
			case PROMISE_ASKED -> new HopMessage.PromiseRequest(frame.number(), instance(frame), frame.number());
			case PROMISED -> new HopMessage.PromiseResponse(frame.number(), frame.number(), frame.flag(), frame.flag());
			case PROMISE_RELEASED -> new HopMessage.PromiseRelease(instance(frame));
			case KNOWN -> new HopMessage.VersionsNotice(known(frame));
			case ROWS_ASKED -> new HopMessage.RowsRequest(known(frame));
			case ROWS_TOLD -> told(frame);
			case ROWS_FOLLOWED -> new HopMessage.FollowRequest(known(frame), frame.flag());
			case ROWS_PASSED -> new HopMessage.RowChanges(known(frame), known(frame), frame.flag(), told(frame));
			case LEASES_ASKED -> new HopMessage.LeasesRequest(frame.number(), frame.integer());
			case LEASES_TOLD -> leasesTold(frame);
			case CRASHES_TOLD -> new HopMessage.CrashUpdate(instance(frame), crashes(frame));
			case PING -> new HopMessage.Ping(takesPieces(frame));
			case PONG -> new HopMessage.Pong(takesPieces(frame));
			case LEAVING -> new HopMessage.Leaving();
			case STOPPING -> new HopMessage.Stopping();
			default -> throw new WireException("message type %d is not known".formatted(type));
		};
	}

	// Daemons of an earlier build don't say so.
	private static boolean takesPieces(FrameReader frame) throws WireException {
		return frame.hasMore() && frame.flag();
	}

	private static FrameWriter known(FrameWriter frame, KnownRows rows) {
		return frame.number(rows.config()).number(rows.mesh());
	}

	private static KnownRows known(FrameReader frame) throws WireException {
		return new KnownRows(frame.number(), frame.number());
	}

	private static FrameWriter told(FrameWriter frame, HopMessage.RowsResponse told) {
		return rows(rows(frame, told.config()), told.mesh());
	}

	private static HopMessage.RowsResponse told(FrameReader frame) throws WireException {
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

	private static HopMessage.LeasesResponse leasesTold(FrameReader frame) throws WireException {
		long exchange = frame.number();
		boolean answered = frame.flag();
		List<MetadataStore.Row> rows = frame.list(HopCodec::row);
		return new HopMessage.LeasesResponse(exchange, answered ? Optional.of(rows) : Optional.empty());
	}

	private static MetadataStore.Row row(FrameReader frame) throws WireException {
		String key = frame.text();
		long version = frame.number();
		boolean there = frame.flag();
		byte[] value = frame.bytes();
		return new MetadataStore.Row(key, there ? Optional.of(value) : Optional.empty(), version);
	}

	private static InstanceId instance(FrameReader frame) throws WireException {
		try {
			return new InstanceId(frame.text());
		}
		catch (IllegalArgumentException ex) {
			throw new WireException("the name of another instance makes no sense", ex);
		}
	}

	private static void crashes(FrameWriter frame, CrashState notes) {
		frame.count(notes.reports().size());
		notes.reports().forEach((report) -> {
			frame.text(report.incarnation().id()).number(report.incarnation().startedMillis());
			numbers(frame, report.requests());
		});
		numbers(frame, notes.cleared());
	}

	private static void numbers(FrameWriter frame, Set<Long> numbers) {
		frame.count(numbers.size());
		numbers.forEach(frame::number);
	}

	private static CrashState crashes(FrameReader frame) throws WireException {
		try {
			List<CrashReport> reports = frame
				.list((each) -> new CrashReport(new BackendIncarnation(each.text(), each.number()), numbers(each)));
			return new CrashState(reports, numbers(frame));
		}
		catch (IllegalArgumentException ex) {
			throw new WireException("what another daemon tells of crashes makes no sense", ex);
		}
	}

	private static Set<Long> numbers(FrameReader frame) throws WireException {
		return Set.copyOf(frame.list(FrameReader::number));
	}

	// Rates travel as thousandths.
	private static void load(FrameWriter frame, HolderLoad load) {
		frame.text(load.instance().value()).number(Math.round(load.capacity() * MILLI)).count(load.pieces().size());
		load.pieces()
			.forEach((piece) -> frame.number(piece.span().from())
				.number(piece.span().to())
				.number(Math.round(piece.rate() * MILLI)));
	}

	private static HolderLoad load(FrameReader frame) throws WireException {
		try {
			InstanceId instance = new InstanceId(frame.text());
			double capacity = frame.number() / MILLI;
			return new HolderLoad(instance, capacity, frame
				.list((each) -> new KeyLoad(new KeySpan(each.integer(), each.integer()), each.number() / MILLI)));
		}
		catch (IllegalArgumentException ex) {
			throw new WireException("a load of another daemon makes no sense", ex);
		}
	}

	private static HopRequest ask(FrameReader frame) throws WireException {
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
			OptionalInt about = (key == NO_KEY) ? OptionalInt.empty() : OptionalInt.of(key);
			List<HeaderField> headers = frame.list(HopCodec::header);
			byte[] body = frame.bytes();
			// Daemons of an earlier build don't say whether it may wait: it always may.
			boolean mayWait = !frame.hasMore() || frame.flag();
			return new HopRequest(service, caller, requestClass, idempotent, overdue, mayWait,
					new MeshRequest(id, host, method, target, headers, body, remaining, about));
		}
		catch (IllegalArgumentException | IndexOutOfBoundsException ex) {
			throw new WireException("a request of another daemon makes no sense", ex);
		}
	}

	private static HeaderField header(FrameReader frame) throws WireException {
		return new HeaderField(frame.text(), frame.text());
	}

	private static SendOutcome answered(FrameReader frame) throws WireException {
		int status = frame.integer();
		List<HeaderField> headers = frame.list(HopCodec::header);
		return new SendOutcome.Answered(new Answer(status, headers, frame.bytes()));
	}

	private static Failure failure(FrameReader frame) throws WireException {
		try {
			return new Failure(ErrorKind.valueOf(frame.text()), frame.text(), Duration.ofMillis(frame.number()));
		}
		catch (IllegalArgumentException ex) {
			throw new WireException("a failure of another daemon makes no sense", ex);
		}
	}

}
