package org.brasspier.daemon.internal.mesh;

import java.util.Arrays;
import java.util.List;
import java.util.OptionalInt;
import java.util.Set;

import org.brasspier.core.InstanceId;
import org.brasspier.core.RequestClass;
import org.brasspier.core.ServiceName;
import org.brasspier.core.crash.CrashReport;
import org.brasspier.core.crash.CrashState;
import org.brasspier.core.crash.Exoneration;
import org.brasspier.core.crash.RequestFingerprint;
import org.brasspier.core.keys.BackendIncarnation;
import org.brasspier.core.mesh.KnownRows;
import org.brasspier.daemon.mesh.MeshRequest;
import org.brasspier.wire.FrameDecoder;
import org.brasspier.wire.FrameWriter;
import org.brasspier.wire.WireException;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class HopCodecTests {

	private static final int LENGTH_BYTES = 4;

	private static final int CRASH_UPDATE = 22;

	private static byte[] encodedRequest(boolean mayQueue) {
		MeshRequest request = new MeshRequest("r-1", "host", "GET", "/", List.of(), new byte[] { 1 }, 500,
				OptionalInt.empty());
		HopRequest hopRequest = new HopRequest(new ServiceName("s"), new ServiceName("t"), RequestClass.LOOKUP, true,
				false, mayQueue, request);
		return HopCodec.encode(new HopMessage.ForwardedRequest(1, 2, hopRequest));
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
		byte[] frame = encodedRequest(false);
		byte[] earlier = Arrays.copyOf(frame, frame.length - 1);
		earlier[LENGTH_BYTES - 1]--;
		assertThat(decodedMayQueue(earlier)).isTrue();
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
		assertThat(decode(HopCodec.encode(new HopMessage.Ping()))).isEqualTo(new HopMessage.Ping(true));
	}

}
