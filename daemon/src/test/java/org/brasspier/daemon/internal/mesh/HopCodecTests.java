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

	private static byte[] asked(boolean mayWait) {
		MeshRequest request = new MeshRequest("r-1", "host", "GET", "/", List.of(), new byte[] { 1 }, 500,
				OptionalInt.empty());
		HopRequest ask = new HopRequest(new ServiceName("s"), new ServiceName("t"), RequestClass.LOOKUP, true, false,
				mayWait, request);
		return HopCodec.encode(new HopMessage.ForwardedRequest(1, 2, ask));
	}

	private static boolean mayWait(byte[] frame) throws WireException {
		HopMessage message = HopCodec.decode(new FrameDecoder(1000).decode(frame).getFirst());
		return ((HopMessage.ForwardedRequest) message).request().mayQueue();
	}

	@Test
	void aRequestSaysWhetherItMayWait() throws WireException {
		assertThat(mayWait(asked(true))).isTrue();
		assertThat(mayWait(asked(false))).isFalse();
	}

	// Guards against requests of daemons of an earlier build that can't be read, or are
	// turned away where they would have waited.
	@Test
	void aRequestThatDoesNotSayMayWait() throws WireException {
		byte[] frame = asked(false);
		byte[] earlier = Arrays.copyOf(frame, frame.length - 1);
		earlier[LENGTH_BYTES - 1]--;
		assertThat(mayWait(earlier)).isTrue();
	}

	private static HopMessage read(byte[] frame) throws WireException {
		return HopCodec.decode(new FrameDecoder(100_000).decode(frame).getFirst());
	}

	@Test
	void whatIsKnownOfCrashesIsReadAsItWasWritten() throws WireException {
		CrashReport report = new CrashReport(new BackendIncarnation("server", 7), Set.of(1L, -2L));
		HopMessage told = new HopMessage.CrashUpdate(new InstanceId("a"),
				new CrashState(List.of(report), Set.of(Long.MIN_VALUE)));
		assertThat(read(HopCodec.encode(told))).isEqualTo(told);
	}

	@Test
	void aCompressedMessageIsReadAsItWasWritten() throws WireException {
		HopMessage known = new HopMessage.VersionsNotice(new KnownRows(3, 4));
		assertThat(read(HopCodec.encodeCompressed(known))).isEqualTo(known);
	}

	// Guards against large messages in pieces to daemons of an earlier build, which take
	// them for damaged ones and close the connection.
	@Test
	void aPingThatSaysNothingOfPiecesIsOfADaemonThatTakesNone() throws WireException {
		byte[] earlier = new FrameWriter().number(6).frame();
		assertThat(read(earlier)).isEqualTo(new HopMessage.Ping(false));
		assertThat(read(HopCodec.encode(new HopMessage.Ping()))).isEqualTo(new HopMessage.Ping(true));
	}

}
