package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The platform's store: tables of rows with conditional transactions, whole reads and feeds,
 * all answered at once. Thread-safe.
 */
final class Store implements AutoCloseable {

	private static final Pattern ROW = Pattern.compile("\\{[^{}]*}");

	private record Key(String table, String key) implements Comparable<Key> {

		@Override
		public int compareTo(Key other) {
			int byTable = this.table.compareTo(other.table);
			return (byTable != 0) ? byTable : this.key.compareTo(other.key);
		}

	}

	private record Row(String value, long version) {

	}

	private final ServerSocket server;

	private final Record record;

	private final Map<Key, Row> rows = new TreeMap<>();

	private long version;

	Store(Record record) throws IOException {
		this.record = record;
		this.server = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
		Thread.ofVirtual().start(this::accept);
	}

	InetSocketAddress address() {
		return (InetSocketAddress) this.server.getLocalSocketAddress();
	}

	synchronized void put(String table, String key, String text) {
		this.version++;
		String value = java.util.Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
		this.rows.put(new Key(table, key), new Row(value, this.version));
		notifyAll();
	}

	private void accept() {
		while (!this.server.isClosed()) {
			try {
				Socket socket = this.server.accept();
				Thread.ofVirtual().start(() -> serve(socket));
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void serve(Socket socket) {
		try (socket) {
			socket.setTcpNoDelay(true);
			InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
			OutputStream out = socket.getOutputStream();
			for (Http.Message call = Http.read(in); call != null; call = Http.read(in)) {
				out.write(answer(call));
				out.flush();
			}
		}
		catch (IOException | InterruptedException ex) {
			// The caller has gone.
		}
	}

	private byte[] answer(Http.Message call) throws InterruptedException {
		String[] target = call.target().split("\\?", 2);
		Map<String, String> query = query((target.length > 1) ? target[1] : "");
		return switch (target[0]) {
			case "/brasspier/rows-tx" -> transaction(call.text());
			case "/brasspier/rows-get" -> whole(query);
			case "/brasspier/rows-feed" -> changes(query);
			default -> reply(404, "{}");
		};
	}

	private static Map<String, String> query(String text) {
		Map<String, String> query = new HashMap<>();
		for (String part : text.split("&")) {
			String[] pair = part.split("=", 2);
			query.put(pair[0], (pair.length > 1) ? URLDecoder.decode(pair[1], StandardCharsets.UTF_8) : "");
		}
		return query;
	}

	private static byte[] reply(int status, String body) {
		String head = "HTTP/1.1 " + status + " " + ((status == 200) ? "OK" : "No")
				+ "\r\nContent-Type: application/json\r\n";
		return Http.message(head, body.getBytes(StandardCharsets.UTF_8));
	}

	private static String list(String body, String name) {
		int start = body.indexOf("\"" + name + "\":[");
		return (start < 0) ? "" : body.substring(start, body.indexOf(']', start) + 1);
	}

	private static String text(String row, String name) {
		Matcher matcher = Pattern.compile("\"" + name + "\":\"((?:[^\"\\\\]|\\\\.)*)\"").matcher(row);
		if (!matcher.find()) {
			return "";
		}
		return unescape(matcher.group(1));
	}

	private static String unescape(String text) {
		Matcher matcher = Pattern.compile("\\\\u([0-9a-fA-F]{4})").matcher(text);
		return matcher.replaceAll((found) -> Character.toString((char) Integer.parseInt(found.group(1), 16)));
	}

	private static long number(String row, String name) {
		Matcher matcher = Pattern.compile("\"" + name + "\":([0-9]+)").matcher(row);
		return matcher.find() ? Long.parseLong(matcher.group(1)) : 0;
	}

	private synchronized byte[] transaction(String body) {
		boolean holds = ROW.matcher(list(body, "precondition")).results().map((found) -> found.group()).allMatch((row) -> {
			Row known = this.rows.get(new Key(text(row, "table"), text(row, "key")));
			return ((known != null) ? known.version : 0) == number(row, "row_version");
		});
		if (!holds) {
			return reply(412, "{\"rows\":[]," + tail());
		}
		this.version++;
		ROW.matcher(list(body, "puts")).results().map((found) -> found.group()).forEach((row) -> {
			this.rows.put(new Key(text(row, "table"), text(row, "key")), new Row(text(row, "value"), this.version));
			this.record.line("store    row %s %s version %d: %s", text(row, "table"), text(row, "key"), this.version,
					new String(java.util.Base64.getDecoder().decode(text(row, "value")), StandardCharsets.UTF_8));
		});
		notifyAll();
		return reply(200, "{" + tail());
	}

	private String tail() {
		return "\"row_version\":" + this.version + ",\"now\":\"" + System.nanoTime() / 1_000_000 + "ms\"}";
	}

	private synchronized byte[] whole(Map<String, String> query) {
		return reply(200, "{\"rows\":[" + rowsAfter(query.get("table"), 0) + "],\"truncated\":false," + tail());
	}

	private synchronized byte[] changes(Map<String, String> query) throws InterruptedException {
		long after = Long.parseLong(query.get("after"));
		long end = System.currentTimeMillis() + Long.parseLong(query.get("wait_ms"));
		String changed = rowsAfter(query.get("table"), after);
		while (changed.isEmpty() && System.currentTimeMillis() < end) {
			wait(Math.max(1, end - System.currentTimeMillis()));
			changed = rowsAfter(query.get("table"), after);
		}
		return reply(200, "{\"rows\":[" + changed + "]," + tail());
	}

	private String rowsAfter(String table, long after) {
		List<String> found = new ArrayList<>();
		this.rows.entrySet()
			.stream()
			.filter((row) -> row.getKey().table.equals(table) && row.getValue().version > after)
			.sorted((one, other) -> (after == 0) ? 0 : Long.compare(one.getValue().version, other.getValue().version))
			.forEach((row) -> found
				.add("{\"table\":\"%s\",\"part\":\"\",\"key\":\"%s\",\"value\":\"%s\",\"row_version\":%d}".formatted(table,
						row.getKey().key, row.getValue().value, row.getValue().version)));
		return String.join(",", found);
	}

	@Override
	public void close() throws IOException {
		this.server.close();
	}

}
