package org.brasspier.wire;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.brasspier.core.CallerId;
import org.brasspier.core.ErrorKind;
import org.brasspier.core.Failure;
import org.brasspier.core.Fence;
import org.brasspier.core.RequestClass;
import org.brasspier.core.RequestId;
import org.brasspier.core.ServiceName;
import org.brasspier.core.request.Answer;
import org.brasspier.core.request.CallerRequest;
import org.brasspier.core.request.HeaderField;

/**
 * Turns {@link ForwardMessage}s into frames and back. Stateless and thread-safe.
 */
public final class ForwardCodec {

	private static final int FORWARD = 1;

	private static final int ANSWERED = 2;

	private static final int FAILED = 3;

	private static final int CANCEL = 4;

	private static final int MAX_HEADERS = 128;

	private ForwardCodec() {
	}

	/**
	 * Encodes a message.
	 * @param message the message
	 * @return the frame to send
	 */
	public static byte[] encode(ForwardMessage message) {
		FrameWriter out = new FrameWriter();
		switch (message) {
			case ForwardMessage.Forward(long exchange, CallerRequest request) ->
				writeRequest(out.number(FORWARD).number(exchange), request);
			case ForwardMessage.Answered(long exchange, Answer answer, Fence fence, String ticket) -> {
				out.number(ANSWERED).number(exchange).number(answer.status());
				writeHeaders(out, answer.headers());
				out.bytes(answer.body()).number(fence.value()).text(ticket);
			}
			case ForwardMessage.Failed(long exchange, Failure failure, String ticket) -> out.number(FAILED)
				.number(exchange)
				.text(failure.kind().name())
				.text(failure.detail())
				.number(failure.retryAfter().toMillis())
				.text(ticket);
			case ForwardMessage.Cancel(long exchange) -> out.number(CANCEL).number(exchange);
		}
		return out.frame();
	}

	/**
	 * Decodes a message.
	 * @param frame the frame received
	 * @return the message
	 * @throws WireException if the frame is malformed
	 */
	public static ForwardMessage decode(FrameReader frame) throws WireException {
		try {
			int type = frame.small();
			long exchange = frame.number();
			return switch (type) {
				case FORWARD -> new ForwardMessage.Forward(exchange, readRequest(frame));
				case ANSWERED ->
					new ForwardMessage.Answered(exchange, new Answer(frame.small(), readHeaders(frame), frame.bytes()),
							new Fence(frame.number()), frame.text());
				case FAILED -> new ForwardMessage.Failed(exchange, readFailure(frame), frame.text());
				case CANCEL -> new ForwardMessage.Cancel(exchange);
				default -> throw new WireException("frame type %d is unknown".formatted(type));
			};
		}
		catch (IllegalArgumentException ex) {
			throw new WireException("a field of the frame has a value out of range", ex);
		}
	}

	private static void writeRequest(FrameWriter out, CallerRequest request) {
		out.text(request.service().value())
			.text(request.key().orElse(""))
			.flag(request.key().isPresent())
			.text(request.id().value())
			.number(request.requestClass().ordinal())
			.text(request.caller().value())
			.text(request.ticket().orElse(""))
			.number(request.remainingMillis())
			.text(request.target().method())
			.text(request.target().path());
		writeHeaders(out, request.headers());
		out.bytes(request.body());
	}

	private static CallerRequest readRequest(FrameReader in) throws WireException {
		ServiceName service = new ServiceName(in.text());
		String key = in.text();
		Optional<String> presentKey = (in.flag()) ? Optional.of(key) : Optional.empty();
		RequestId id = new RequestId(in.text());
		RequestClass requestClass = requestClass(in.small());
		CallerId caller = new CallerId(in.text());
		Optional<String> ticket = Optional.of(in.text()).filter((text) -> !text.isEmpty());
		int remainingMillis = in.small();
		CallerRequest.Target target = new CallerRequest.Target(in.text(), in.text());
		return new CallerRequest(service, presentKey, id, requestClass, caller, ticket, remainingMillis, target,
				readHeaders(in), in.bytes());
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

}
