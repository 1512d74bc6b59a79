package org.brasspier.bench.capacity;

import java.util.List;
import java.util.Optional;

import org.brasspier.core.CallerId;
import org.brasspier.core.RequestClass;
import org.brasspier.core.RequestId;
import org.brasspier.core.ServiceName;
import org.brasspier.core.event.HybridTime;
import org.brasspier.core.request.CallerRequest;
import org.brasspier.core.request.HeaderField;
import org.brasspier.core.request.RequestIdentity;
import org.brasspier.wire.ForwardCodec;
import org.brasspier.wire.ForwardMessage;
import org.brasspier.wire.FrameDecoder;
import org.brasspier.wire.WireException;

/**
 * Measures what forwarding between two daemons adds to a request: the size of its frame,
 * and the time to encode and decode it.
 */
final class FrameSlopes implements SlopeSuite {

	private static final int[] BODIES = { 0, 256, 1024, 4096, 16384 };

	private static final HybridTime STAMP = new HybridTime(1L << 56);

	private static final int MAX_FRAME_BYTES = 1 << 20;

	@Override
	public List<Slope> measure() {
		return List.of(
				SlopeSuite.measureSlope("forwarded request, frame", "bytes of body", "bytes", BODIES,
						(body) -> ForwardCodec.encode(newForwardMessage(body), STAMP).length),
				SlopeSuite.measureSlope("forwarded request, encoding and decoding", "bytes of body", "ns", BODIES,
						(body) -> {
							ForwardMessage message = newForwardMessage(body);
							return ResourceProbe.medianCpuNanos(() -> encodeAndDecode(message));
						}));
	}

	private static ForwardMessage encodeAndDecode(ForwardMessage message) {
		try {
			return ForwardCodec
				.decode(new FrameDecoder(MAX_FRAME_BYTES).decode(ForwardCodec.encode(message, STAMP)).getFirst())
				.message();
		}
		catch (WireException ex) {
			throw new IllegalStateException("a forwarded request could not be decoded after encoding", ex);
		}
	}

	private static ForwardMessage newForwardMessage(int bodyBytes) {
		CallerRequest request = new CallerRequest(new ServiceName("hullbook"), Optional.of("hull-4711"), true,
				new RequestIdentity(new RequestId("0b2c8e1e-6b1e-4a53-9d0c-2d5cf2f0a001"), false, false,
						Optional.empty()),
				RequestClass.LOOKUP, new CallerId("marina-duluth-7"), 1000,
				new CallerRequest.Target("GET", "/inspections/hull-4711?last=5"),
				List.of(new HeaderField("Accept", "application/json")), new byte[bodyBytes]);
		return new ForwardMessage.Forward(1, request);
	}

}
