package org.brasspier.daemon.internal.mesh;

import java.util.Arrays;
import java.util.List;
import java.util.OptionalInt;

import org.brasspier.core.RequestClass;
import org.brasspier.core.ServiceName;
import org.brasspier.daemon.mesh.MeshRequest;
import org.brasspier.wire.FrameDecoder;
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
		return HopCodec.encode(new HopMessage.Asked(1, 2, ask));
	}

	private static boolean mayWait(byte[] frame) throws WireException {
		HopMessage message = HopCodec.decode(new FrameDecoder(1000).accept(frame).getFirst());
		return ((HopMessage.Asked) message).ask().mayWait();
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

}
