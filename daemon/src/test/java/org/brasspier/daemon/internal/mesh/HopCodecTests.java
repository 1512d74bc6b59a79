package org.brasspier.daemon.internal.mesh;

import java.time.Duration;
import java.util.Arrays;
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
import org.brasspier.core.keys.PromiseMark;
import org.brasspier.core.load.GateReport;
import org.brasspier.core.load.ServerLoad;
import org.brasspier.core.mesh.KnownRows;
import org.brasspier.core.mesh.SendOutcome;
import org.brasspier.core.request.Answer;
import org.brasspier.core.returns.RequestOrigin;
import org.brasspier.core.returns.ReturnStatus;
import org.brasspier.daemon.mesh.MeshRequest;
import org.brasspier.wire.FrameDecoder;
import org.brasspier.wire.FrameWriter;
import org.brasspier.wire.WireException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

class HopCodecTests {

	private static final int LENGTH_BYTES = 4;

	private static final int CRASH_UPDATE = 22;

	private static final int MAY_QUEUE_BYTES = 1;

	private static final int EMPTY_ROUTE_BYTES = 1;

	private static final int EMPTY_ORIGIN_BYTES = 2;

	private static byte[] encodedRequest(boolean mayQueue) {
		return HopCodec.encode(new HopMessage.ForwardedRequest(1, 2, hopRequest(mayQueue, "")));
	}

	private static HopRequest hopRequest(boolean mayQueue, String route) {
		MeshRequest request = new MeshRequest("r-1", "host", "GET", "/", List.of(), new byte[] { 1 }, 500,
				OptionalInt.empty());
		return new HopRequest(new ServiceName("s"), new ServiceName("t"), RequestClass.LOOKUP, true, false, mayQueue,
				request, route);
	}

	private static boolean decodedMayQueue(byte[] frame) throws WireException {
		HopMessage message = HopCodec.decode(new FrameDecoder(1000).decode(frame).getFirst());
		return ((HopMessage.ForwardedRequest) message).request().mayQueue();
	}

	@Test
	void mayQueueIsEncodedAndDecoded() throws WireException {
		assertThat(decodedMayQueue(encodedRequest(true))).isTrue();
		assertThat(decodedMayQueue(encodedRequest(false))).isFalse();
	}

	// Guards against requests of daemons of an earlier build that can't be decoded, or
	// are rejected instead of queued.
	@Test
	void aRequestOfAnEarlierBuildMayBeQueued() throws WireException {
		assertThat(decodedMayQueue(
				withoutLastBytes(encodedRequest(false), MAY_QUEUE_BYTES + EMPTY_ROUTE_BYTES + EMPTY_ORIGIN_BYTES)))
			.isTrue();
	}

	// Guards against requests of the previous build, which do not name their route, that
	// can't be decoded.
	@Test
	void aRequestOfThePreviousBuildHasNoRoute() throws WireException {
		byte[] previous = withoutLastBytes(encodedRequest(false), EMPTY_ROUTE_BYTES + EMPTY_ORIGIN_BYTES);
		assertThat(decodedMayQueue(previous)).isFalse();
		assertThat(((HopMessage.ForwardedRequest) decode(previous)).request().route()).isEmpty();
	}

	@Test
	void theRouteOfARequestIsEncodedAndDecoded() throws WireException {
		byte[] frame = HopCodec.encode(new HopMessage.ForwardedRequest(1, 2, hopRequest(true, "packs")));
		assertThat(((HopMessage.ForwardedRequest) decode(frame)).request().route()).isEqualTo("packs");
	}

	@Test
	void theOriginOfARequestIsEncodedAndDecoded() throws WireException {
		for (ReturnStatus status : ReturnStatus.values()) {
			RequestOrigin origin = new RequestOrigin(status, "entry", "z");
			HopRequest sent = hopRequest(true, "packs");
			HopRequest request = new HopRequest(sent.service(), sent.caller(), sent.requestClass(), true, false, true,
					sent.request(), "packs", origin);
			byte[] frame = HopCodec.encode(new HopMessage.ForwardedRequest(1, 2, request));
			assertThat(((HopMessage.ForwardedRequest) decode(frame)).request().origin())
				.isEqualTo(origin.withDomain(""));
		}
	}

	// Guards against requests of daemons that send a route but no origin, and against a
	// status of a later build, neither of which may close the connection.
	@Test
	void aRequestWithoutAKnownOriginIsANewRequest() throws WireException {
		byte[] previous = withoutLastBytes(encodedRequest(false), EMPTY_ORIGIN_BYTES);
		assertThat(((HopMessage.ForwardedRequest) decode(previous)).request().origin())
			.isEqualTo(RequestOrigin.UNKNOWN);
		byte[] later = encodedRequest(false);
		later[later.length - EMPTY_ORIGIN_BYTES] = 9;
		assertThat(((HopMessage.ForwardedRequest) decode(later)).request().origin().status())
			.isEqualTo(ReturnStatus.NEW);
	}

	@Test
	void theReportOfAGateIsDecodedAsItWasEncodedWithEachOutcome() throws WireException {
		ServerLoad load = new ServerLoad(13, 12, 3, Duration.ofMillis(4200), Duration.ofMillis(70));
		Optional<GateReport> report = Optional.of(new GateReport(load, Duration.ofMillis(250), true));
		Failure failure = new Failure(ErrorKind.OVERLOADED, "full", Duration.ofMillis(40));
		for (SendOutcome outcome : List.of(new SendOutcome.NotRun(failure, false), new SendOutcome.Unknown(failure))) {
			HopMessage response = new HopMessage.ForwardedResponse(5, outcome, report);
			assertThat(decode(HopCodec.encode(response))).isEqualTo(response);
		}
		SendOutcome answered = new SendOutcome.Answered(new Answer(200, List.of(), new byte[] { 1, 2 }));
		HopMessage decoded = decode(HopCodec.encode(new HopMessage.ForwardedResponse(5, answered, report)));
		assertThat(((HopMessage.ForwardedResponse) decoded).report()).isEqualTo(report);
	}

	/** Guards against a status that no server may give, passed on by an earlier build. */
	@ParameterizedTest
	@ValueSource(ints = { -1, 0, 99, 100, 103, 199, 600, 999 })
	void anAnswerOfAnotherDaemonWithAStatusThatDoesNotExistHasAnUnknownOutcome(int status) throws WireException {
		SendOutcome answered = new SendOutcome.Answered(new Answer(status, List.of(), new byte[0]));
		HopMessage decoded = decode(HopCodec.encode(new HopMessage.ForwardedResponse(5, answered)));
		SendOutcome outcome = ((HopMessage.ForwardedResponse) decoded).outcome();
		assertThat(outcome).isInstanceOf(SendOutcome.Unknown.class);
		assertThat(((SendOutcome.Unknown) outcome).failure().kind()).isEqualTo(ErrorKind.BAD_ANSWER);
	}

	// Guards against responses of the previous build that can't be decoded.
	@Test
	void aResponseOfThePreviousBuildHasNoReport() throws WireException {
		HopMessage response = new HopMessage.ForwardedResponse(5,
				new SendOutcome.Unknown(Failure.of(ErrorKind.TIMED_OUT, "late")));
		assertThat(decode(HopCodec.encode(response))).isEqualTo(response);
	}

	private static byte[] withoutLastBytes(byte[] frame, int count) {
		byte[] earlier = Arrays.copyOf(frame, frame.length - count);
		earlier[LENGTH_BYTES - 1] -= (byte) count;
		return earlier;
	}

	private static HopMessage decode(byte[] frame) throws WireException {
		return HopCodec.decode(new FrameDecoder(100_000).decode(frame).getFirst());
	}

	@Test
	void aCrashUpdateIsDecodedAsItWasEncoded() throws WireException {
		CrashReport report = new CrashReport(-9, new BackendIncarnation("server", 7),
				Set.of(new RequestFingerprint(1, -2, 3), new RequestFingerprint(4, 5, Long.MIN_VALUE)));
		HopMessage update = new HopMessage.CrashUpdate(new InstanceId("a"),
				new CrashState(List.of(report), Set.of(new Exoneration(-1, 2, -3)), Set.of(Long.MIN_VALUE)));
		assertThat(decode(HopCodec.encode(update))).isEqualTo(update);
	}

	/** Guards against crash updates of an earlier build that close the connection. */
	@Test
	void aCrashUpdateOfAnEarlierBuildIsDecoded() throws WireException {
		FrameWriter frame = new FrameWriter().number(CRASH_UPDATE).text("a").count(1);
		frame.text("server").number(7).count(2).number(1).number(-2).count(1).number(3);
		assertThat(decode(frame.frame())).isEqualTo(new HopMessage.CrashUpdate(new InstanceId("a"),
				new CrashState(
						List.of(CrashReport.ofEarlierBuild(new BackendIncarnation("server", 7), Set.of(1L, -2L))),
						Set.of(), Set.of(3L))));
	}

	@Test
	void aCompressedMessageIsDecodedAsItWasEncoded() throws WireException {
		HopMessage notice = new HopMessage.VersionsNotice(new KnownRows(3, 4));
		assertThat(decode(HopCodec.encodeCompressed(notice))).isEqualTo(notice);
	}

	// Guards against sending large messages in pieces to daemons of an earlier build,
	// which treat the pieces as corrupt and close the connection.
	@Test
	void aPingOfAnEarlierBuildMeansThatPiecesAreNotAccepted() throws WireException {
		byte[] earlier = new FrameWriter().number(6).frame();
		assertThat(decode(earlier)).isEqualTo(new HopMessage.Ping(false));
		assertThat(decode(HopCodec.encode(new HopMessage.Ping()))).isEqualTo(new HopMessage.Ping(true, true));
	}

	// Guards against gates that do not learn where a request began, or that it is a
	// return, since its class was changed on the way to admission.
	@Test
	void theOriginOfARequestIsKeptWhenItsClassIsChanged() {
		RequestOrigin origin = new RequestOrigin(ReturnStatus.ON_TIME, "i-1", "");
		HopRequest request = new HopRequest(new ServiceName("s"), new ServiceName("t"), RequestClass.LOOKUP, true,
				false, true, hopRequest(true, "").request(), "route", origin);
		assertThat(request.withRequestClass(RequestClass.INTERNAL).origin()).isEqualTo(origin);
	}

	@Test
	void theMarkOfAPromiseIsEncodedAndDecoded() throws WireException {
		InstanceId holder = new InstanceId("h");
		Optional<PromiseMark> mark = Optional.of(new PromiseMark(-5, 1L << 60));
		for (HopMessage message : List.of(new HopMessage.PromiseRequest(1, holder, 7, mark),
				new HopMessage.PromiseRelease(holder, mark),
				new HopMessage.PromiseRequest(1, holder, 7, Optional.empty()),
				new HopMessage.PromiseRelease(holder, Optional.empty()))) {
			assertThat(HopCodec.decode(new FrameDecoder(1000).decode(HopCodec.encode(message)).getFirst()))
				.isEqualTo(message);
		}
	}

}
