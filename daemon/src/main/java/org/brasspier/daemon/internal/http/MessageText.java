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
		// The parser has read the target as UTF-8, and header fields as ISO 8859-1.
		byte[] line = (request.method() + ' ' + request.target() + " HTTP/1.1" + LINE_END)
			.getBytes(StandardCharsets.UTF_8);
		StringBuilder head = new StringBuilder(256);
		fields(head, request.headers());
		boolean bodyless = request.method().equals("GET") || request.method().equals("HEAD");
		if (request.body().length > 0 || !bodyless) {
			head.append("Content-Length: ").append(request.body().length).append(LINE_END);
		}
		return message(line, head, request.body());
	}

	// A large body is left as it is instead of being copied behind its head.
	static List<byte[]> answer(Answer answer, boolean toHead, boolean close) {
		byte[] line = ("HTTP/1.1 " + answer.status() + ' ' + HttpStatus.getMessage(answer.status()) + LINE_END)
			.getBytes(StandardCharsets.US_ASCII);
		StringBuilder head = new StringBuilder(256);
		fields(head, answer.headers());
		if (answer.status() != NO_CONTENT && answer.status() != NOT_MODIFIED) {
			head.append("Content-Length: ").append(answer.body().length).append(LINE_END);
		}
		if (close) {
			head.append("Connection: close").append(LINE_END);
		}
		byte[] body = toHead ? new byte[0] : answer.body();
		return (body.length > LARGE_BODY_BYTES) ? List.of(message(line, head, new byte[0]), body)
				: List.of(message(line, head, body));
	}

	private static void fields(StringBuilder head, List<HeaderField> fields) {
		for (HeaderField field : fields) {
			if (!OWN.contains(field.name().toLowerCase(Locale.ROOT))) {
				head.append(field.name()).append(": ").append(field.value()).append(LINE_END);
			}
		}
	}

	private static byte[] message(byte[] line, StringBuilder fields, byte[] body) {
		byte[] fieldBytes = fields.append(LINE_END).toString().getBytes(StandardCharsets.ISO_8859_1);
		byte[] message = Arrays.copyOf(line, line.length + fieldBytes.length + body.length);
		System.arraycopy(fieldBytes, 0, message, line.length, fieldBytes.length);
		System.arraycopy(body, 0, message, line.length + fieldBytes.length, body.length);
		return message;
	}

}
