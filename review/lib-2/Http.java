import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** One HTTP/1.1 message: the first line, header fields by lower-case name, and the body. */
record Http(String first, Map<String, String> fields, byte[] body) {

	/** Reads a message; null if the connection ended before its first byte. */
	static Http read(InputStream in, boolean request) throws IOException {
		String first = line(in);
		if (first == null) {
			return null;
		}
		Map<String, String> fields = new LinkedHashMap<>();
		for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
			int colon = line.indexOf(':');
			fields.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
		}
		byte[] body = new byte[0];
		if (fields.getOrDefault("transfer-encoding", "").contains("chunked")) {
			ByteArrayOutputStream all = new ByteArrayOutputStream();
			for (int size = size(in); size > 0; size = size(in)) {
				all.write(in.readNBytes(size));
				line(in);
			}
			line(in);
			body = all.toByteArray();
		}
		else if (fields.containsKey("content-length")) {
			int length = Integer.parseInt(fields.get("content-length"));
			body = in.readNBytes(length);
			if (body.length < length) {
				throw new EOFException("the body ended after " + body.length + " of " + length + " bytes");
			}
		}
		else if (!request) {
			body = in.readAllBytes();
		}
		return new Http(first, fields, body);
	}

	private static int size(InputStream in) throws IOException {
		String line = line(in);
		if (line == null) {
			throw new EOFException("the body ended early");
		}
		return Integer.parseInt(line.split(";")[0].strip(), 16);
	}

	private static String line(InputStream in) throws IOException {
		ByteArrayOutputStream line = new ByteArrayOutputStream();
		for (int each = in.read(); each >= 0; each = in.read()) {
			if (each == '\n') {
				return line.toString(StandardCharsets.ISO_8859_1).stripTrailing();
			}
			line.write(each);
		}
		if (line.size() > 0) {
			throw new EOFException("the head ended early");
		}
		return null;
	}

	String field(String name) {
		return this.fields.getOrDefault(name.toLowerCase(Locale.ROOT), "");
	}

	int status() {
		return Integer.parseInt(this.first.split(" ")[1]);
	}

	String method() {
		return this.first.split(" ")[0];
	}

	String target() {
		return this.first.split(" ")[1];
	}

}
