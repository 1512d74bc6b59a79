package org.brasspier.daemon.internal.http;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Set;

import org.brasspier.core.request.Answer;
import org.brasspier.core.request.HeaderField;
import org.brasspier.daemon.mesh.RawRequest;
import org.eclipse.jetty.http.HttpStatus;

/**
 * Encodes HTTP/1.1 messages with a stated length. Stateless and thread-safe.
 */
final class MessageText {

	private static final String LINE_END = "\r\n";

	/** Header fields of a single connection, or rewritten here. */
	private static final Set<String> OWN = Set.of("connection", "keep-alive", "content-length", "transfer-encoding");

	private static final int LARGE_BODY_BYTES = 64 << 10;

	private static final int NO_CONTENT = 204;

	private static final int NOT_MODIFIED = 304;

	private MessageText() {
	}

	static byte[] request(RawRequest request) {
		StringBuilder head = new StringBuilder(256).append(request.method())
			.append(' ')
			.append(request.target())
			.append(" HTTP/1.1")
			.append(LINE_END);
		fields(head, request.headers());
		boolean bodyless = request.method().equals("GET") || request.method().equals("HEAD");
		if (request.body().length > 0 || !bodyless) {
			head.append("Content-Length: ").append(request.body().length).append(LINE_END);
		}
		return message(head, request.body());
	}

	// A large body is left as it is instead of being copied behind its head.
	static List<byte[]> answer(Answer answer, boolean toHead, boolean close) {
		StringBuilder head = new StringBuilder(256).append("HTTP/1.1 ")
			.append(answer.status())
			.append(' ')
			.append(HttpStatus.getMessage(answer.status()))
			.append(LINE_END);
		fields(head, answer.headers());
		if (answer.status() != NO_CONTENT && answer.status() != NOT_MODIFIED) {
			head.append("Content-Length: ").append(answer.body().length).append(LINE_END);
		}
		if (close) {
			head.append("Connection: close").append(LINE_END);
		}
		byte[] body = toHead ? new byte[0] : answer.body();
		return (body.length > LARGE_BODY_BYTES) ? List.of(message(head, new byte[0]), body)
				: List.of(message(head, body));
	}

	private static void fields(StringBuilder head, List<HeaderField> fields) {
		for (HeaderField field : fields) {
			if (!OWN.contains(field.name().toLowerCase(Locale.ROOT))) {
				head.append(field.name()).append(": ").append(field.value()).append(LINE_END);
			}
		}
	}

	private static byte[] message(StringBuilder head, byte[] body) {
		byte[] headBytes = head.append(LINE_END).toString().getBytes(StandardCharsets.ISO_8859_1);
		byte[] message = Arrays.copyOf(headBytes, headBytes.length + body.length);
		System.arraycopy(body, 0, message, headBytes.length, body.length);
		return message;
	}

}
