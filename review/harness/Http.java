package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads and writes HTTP/1.1 messages whose bodies have a length. */
final class Http {

	private static final int MAX_LINE_BYTES = 64 << 10;

	private Http() {
	}

	/** A message: its first line, its fields by lower-case name, and its body. */
	record Message(String firstLine, Map<String, String> fields, byte[] body) {

		String field(String name) {
			return this.fields.getOrDefault(name.toLowerCase(Locale.ROOT), "");
		}

		String method() {
			return this.firstLine.split(" ")[0];
		}

		String target() {
			return this.firstLine.split(" ")[1];
		}

		int status() {
			return Integer.parseInt(this.firstLine.split(" ")[1]);
		}

		String text() {
			return new String(this.body, StandardCharsets.UTF_8);
		}

	}

	/** Reads a message; returns null if the connection ended before its first byte. */
	static Message read(InputStream in) throws IOException {
		String first = line(in);
		if (first == null) {
			return null;
		}
		Map<String, String> fields = new LinkedHashMap<>();
		for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
			int colon = line.indexOf(':');
			fields.put(line.substring(0, colon).trim().toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
		}
		int length = Integer.parseInt(fields.getOrDefault("content-length", "0"));
		byte[] body = in.readNBytes(length);
		if (body.length < length) {
			throw new EOFException("the body ended after %d of %d bytes".formatted(body.length, length));
		}
		return new Message(first, fields, body);
	}

	private static String line(InputStream in) throws IOException {
		ByteArrayOutputStream line = new ByteArrayOutputStream();
		int next = in.read();
		if (next < 0) {
			return null;
		}
		while (next >= 0 && next != '\n') {
			line.write(next);
			if (line.size() > MAX_LINE_BYTES) {
				throw new IOException("a line is too long");
			}
			next = in.read();
		}
		if (next < 0) {
			throw new EOFException("the head ended early");
		}
		return line.toString(StandardCharsets.ISO_8859_1).stripTrailing();
	}

	static byte[] message(String head, byte[] body) {
		byte[] start = (head + "Content-Length: " + body.length + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1);
		byte[] whole = new byte[start.length + body.length];
		System.arraycopy(start, 0, whole, 0, start.length);
		System.arraycopy(body, 0, whole, start.length, body.length);
		return whole;
	}

}
