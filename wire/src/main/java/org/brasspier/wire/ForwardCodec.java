package org.brasspier.wire;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.brasspier.core.CallerId;
import org.brasspier.core.ErrorKind;
import org.brasspier.core.Failure;
import org.brasspier.core.Fence;
import org.brasspier.core.InstanceId;
import org.brasspier.core.KeyRange;
import org.brasspier.core.RequestClass;
import org.brasspier.core.RequestId;
import org.brasspier.core.ServiceName;
import org.brasspier.core.event.HybridTime;
import org.brasspier.core.request.Answer;
import org.brasspier.core.request.CallerRequest;
import org.brasspier.core.request.HeaderField;
import org.brasspier.core.request.RequestIdentity;

/**
 * Encodes {@link ForwardMessage}s as frames and decodes them. Stateless and thread-safe.
 */
public final class ForwardCodec {

	private static final int FORWARD = 1;

	private static final int ANSWERED = 2;

	private static final int FAILED = 3;

	private static final int CANCEL = 4;

	private static final int EXECUTE = 5;

	private static final int PING = 6;

	private static final int PONG = 7;

	private static final int MAX_HEADERS = 128;

	private ForwardCodec() {
	}

	/**
	 * Encodes a message.
	 * @param message the message
	 * @param stamp the sender's hybrid timestamp, so that recorded events are ordered by
	 * cause and effect
	 * @return the frame to send
	 */
	public static byte[] encode(ForwardMessage message, HybridTime stamp) {
		FrameWriter out = new FrameWriter().number(stamp.packed());
		switch (message) {
			case ForwardMessage.Forward(long exchange, CallerRequest request) ->
				writeRequest(out.number(FORWARD).number(exchange), request);
			case ForwardMessage.Answered(long exchange, Answer answer, Fence fence, String ticket) -> {
				out.number(ANSWERED).number(exchange).number(answer.status());
				writeHeaders(out, answer.headers());
				out.bytes(answer.body()).number(fence.value()).text(ticket);
			}
			case ForwardMessage.Execute execute -> {
				out.number(EXECUTE).number(execute.exchange());
				writeRequest(out, execute.request());
				out.number(execute.range().low())
					.number(execute.range().high())
					.number(execute.fence().value())
					.number(execute.authorityMillis());
				execute.sentNanos().ifPresent(out::number);
			}
			case ForwardMessage.Failed failed -> writeFailed(out, failed);
			case ForwardMessage.Ping(long exchange) -> out.number(PING).number(exchange);
			case ForwardMessage.Pong(long exchange, OptionalLong sentNanos) -> {
				out.number(PONG).number(exchange);
				sentNanos.ifPresent(out::number);
			}
			case ForwardMessage.Cancel(long exchange) -> out.number(CANCEL).number(exchange);
		}
		return out.frame();
	}

	/**
	 * Decodes a message.
	 * @param frame the frame received
	 * @return the message with its stamp
	 * @throws WireException if the frame is malformed
	 */
	public static Stamped decode(FrameReader frame) throws WireException {
		return new Stamped(new HybridTime(frame.number()), read(frame));
	}

	private static ForwardMessage read(FrameReader frame) throws WireException {
		try {
			int type = frame.integer();
			long exchange = frame.number();
			return switch (type) {
				case FORWARD -> new ForwardMessage.Forward(exchange, readRequest(frame));
				case ANSWERED -> new ForwardMessage.Answered(exchange,
						new Answer(frame.integer(), readHeaders(frame), frame.bytes()), new Fence(frame.number()),
						frame.text());
				case FAILED -> readFailed(exchange, frame);
				case EXECUTE -> readExecute(exchange, frame);
				case PING -> new ForwardMessage.Ping(exchange);
				case PONG -> new ForwardMessage.Pong(exchange, readSent(frame));
				case CANCEL -> new ForwardMessage.Cancel(exchange);
				default -> throw new WireException("frame type %d is unknown".formatted(type));
			};
		}
		catch (IllegalArgumentException ex) {
			throw new WireException("a field of the frame has a value out of range", ex);
		}
	}

	private static void writeRequest(FrameWriter out, CallerRequest request) {
		RequestIdentity identity = request.identity();
		out.text(request.service().value())
			.flag(request.sharded())
			.flag(request.key().isPresent())
			.text(request.key().orElse(""))
			.text(identity.id().value())
			.flag(identity.generated())
			.flag(identity.firstAttempt())
			.text(identity.ticket().orElse(""))
			.number(request.requestClass().ordinal())
			.text(request.caller().value())
			.number(request.remainingMillis())
			.text(request.target().method())
			.text(request.target().path());
		writeHeaders(out, request.headers());
		out.bytes(request.body());
	}

	private static CallerRequest readRequest(FrameReader in) throws WireException {
		ServiceName service = new ServiceName(in.text());
		boolean sharded = in.flag();
		boolean hasKey = in.flag();
		Optional<String> key = Optional.of(in.text()).filter((text) -> hasKey);
		RequestIdentity identity = new RequestIdentity(new RequestId(in.text()), in.flag(), in.flag(),
				Optional.of(in.text()).filter((text) -> !text.isEmpty()));
		RequestClass requestClass = requestClass(in.integer());
		CallerId caller = new CallerId(in.text());
		int remainingMillis = in.integer();
		CallerRequest.Target target = new CallerRequest.Target(in.text(), in.text());
		return new CallerRequest(service, key, sharded, identity, requestClass, caller, remainingMillis, target,
				readHeaders(in), in.bytes());
	}

	private static ForwardMessage readExecute(long exchange, FrameReader in) throws WireException {
		return new ForwardMessage.Execute(exchange, readRequest(in), new KeyRange(in.number(), in.number()),
				new Fence(in.number()), in.integer(), readSent(in));
	}

	// Daemons of earlier builds do not send the time of sending.
	private static OptionalLong readSent(FrameReader in) throws WireException {
		return in.hasMore() ? OptionalLong.of(in.number()) : OptionalLong.empty();
	}

	private static void writeFailed(FrameWriter out, ForwardMessage.Failed message) {
		out.number(FAILED)
			.number(message.exchange())
			.text(message.failure().kind().name())
			.text(message.failure().detail())
			.number(message.failure().retryAfter().toMillis())
			.text(message.ticket())
			.text(message.owner().map(InstanceId::value).orElse(""))
			.number(message.ownerFence().value())
			.flag(message.backendLost());
	}

	private static ForwardMessage readFailed(long exchange, FrameReader in) throws WireException {
		Failure failure = readFailure(in);
		String ticket = in.text();
		Optional<InstanceId> owner = Optional.of(in.text()).filter((text) -> !text.isEmpty()).map(InstanceId::new);
		return new ForwardMessage.Failed(exchange, failure, ticket, owner, new Fence(in.number()), in.flag());
	}

	private static RequestClass requestClass(int ordinal) throws WireException {
		if (ordinal < 0 || ordinal >= RequestClass.values().length) {
			throw new WireException("request class %d is unknown".formatted(ordinal));
		}
		return RequestClass.values()[ordinal];
	}

	private static Failure readFailure(FrameReader in) throws WireException {
		return new Failure(ErrorKind.valueOf(in.text()), in.text(), Duration.ofMillis(in.number()));
	}

	private static void writeHeaders(FrameWriter out, List<HeaderField> headers) {
		out.count(headers.size());
		headers.forEach((header) -> out.text(header.name()).text(header.value()));
	}

	private static List<HeaderField> readHeaders(FrameReader in) throws WireException {
		int count = in.count();
		if (count > MAX_HEADERS) {
			throw new WireException("%d header fields are more than %d".formatted(count, MAX_HEADERS));
		}
		List<HeaderField> headers = new ArrayList<>(count);
		for (int i = 0; i < count; i++) {
			headers.add(new HeaderField(in.text(), in.text()));
		}
		return headers;
	}

	/**
	 * A received message with its timestamp.
	 *
	 * @param stamp the sender's hybrid timestamp at the time of sending
	 * @param message the message
	 */
	public record Stamped(HybridTime stamp, ForwardMessage message) {

	}

}
