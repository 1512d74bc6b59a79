import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** The platform's store: rows with versions, conditional writes, reads and feeds. */
final class Store implements AutoCloseable {

	/** UP answers; BUSY answers 503 to every call, and nothing is done. */
	enum Mode {

		UP, BUSY

	}

	private record Row(String table, String part, String key, String value, long version, boolean deleted) {
	}

	private final HttpServer server;

	private final TreeMap<String, Row> rows = new TreeMap<>();

	private final long startNanos = System.nanoTime();

	private long version = 1;

	private volatile Mode mode = Mode.UP;

	private volatile String lostKey = "";

	private volatile int lateMillis;

	/** The next write of a row is not answered, and is done late. */
	void loseNextWrite(String key, int doneAfterMillis) {
		this.lateMillis = doneAfterMillis;
		this.lostKey = key;
	}

	private boolean isLost(String body) {
		String key = this.lostKey;
		if (key.isEmpty() || !body.contains("\"" + key + "\"") || !body.contains("puts")) {
			return false;
		}
		this.lostKey = "";
		Thread.ofVirtual().start(() -> {
			try {
				Thread.sleep(this.lateMillis);
				int[] status = { 200 };
				commit(body, status);
				this.lateResult.accept(status[0]);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		});
		return true;
	}

	/** Is told the status of the write that is done late, and 0 when it is lost. */
	volatile java.util.function.IntConsumer lateResult = (status) -> {
	};

	Store() throws IOException {
		this.server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 512);
		this.server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
		this.server.createContext("/", this::serve);
		this.server.start();
	}

	String address() {
		return "127.0.0.1:" + this.server.getAddress().getPort();
	}

	synchronized void mode(Mode next) {
		this.mode = next;
		notifyAll();
	}

	/** What the operator writes. */
	synchronized long put(String table, String key, String text) {
		this.version++;
		String value = Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
		this.rows.put(id(table, "", key), new Row(table, "", key, value, this.version, false));
		notifyAll();
		return this.version;
	}

	synchronized String value(String table, String key) {
		Row row = this.rows.get(id(table, "", key));
		return (row == null || row.deleted) ? "" : new String(Base64.getDecoder().decode(row.value));
	}

	private static String id(String table, String part, String key) {
		return table + "\u0000" + part + "\u0000" + key;
	}

	private void serve(HttpExchange exchange) throws IOException {
		try (exchange) {
			byte[] body = exchange.getRequestBody().readAllBytes();
			if (this.mode == Mode.BUSY) {
				exchange.sendResponseHeaders(503, -1);
				return;
			}
			String text = new String(body, StandardCharsets.UTF_8);
			if (exchange.getRequestURI().toString().contains("/rows-tx") && isLost(text)) {
				this.lateResult.accept(0);
				Thread.sleep(20_000);
				return;
			}
			int[] status = { 200 };
			String answer = answer(exchange.getRequestURI().toString(), new String(body, StandardCharsets.UTF_8),
					status);
			byte[] bytes = answer.getBytes(StandardCharsets.UTF_8);
			exchange.getResponseHeaders().set("Content-Type", "application/json");
			exchange.sendResponseHeaders(status[0], bytes.length);
			exchange.getResponseBody().write(bytes);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private String answer(String uri, String body, int[] status) throws InterruptedException {
		Map<String, String> query = query(uri);
		if (uri.contains("/rows-tx")) {
			return commit(body, status);
		}
		if (uri.contains("/rows-get")) {
			return read(query);
		}
		if (uri.contains("/rows-feed")) {
			return feed(query, status);
		}
		status[0] = 404;
		return "{}";
	}

	private static Map<String, String> query(String uri) {
		Map<String, String> found = new HashMap<>();
		int mark = uri.indexOf('?');
		if (mark >= 0) {
			for (String pair : uri.substring(mark + 1).split("&")) {
				int equals = pair.indexOf('=');
				if (equals > 0) {
					found.put(pair.substring(0, equals),
							URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
				}
			}
		}
		return found;
	}

	private String now() {
		return "\"" + (System.nanoTime() - this.startNanos) / 1_000_000 + "ms\"";
	}

	private synchronized String commit(String body, int[] status) {
		Map<String, Object> call = Json.object(body);
		List<Row> conflicts = new ArrayList<>();
		boolean holds = true;
		for (Object each : Json.list(call.get("precondition"))) {
			Map<String, Object> expected = Json.map(each);
			Row row = this.rows.get(id(expected));
			long current = (row == null || row.deleted) ? 0 : row.version;
			if (current != Json.number(expected.get("row_version"))) {
				holds = false;
			}
			if (row != null && !row.deleted) {
				conflicts.add(row);
			}
		}
		if (!holds) {
			status[0] = 412;
			return "{\"rows\":" + rows(conflicts) + ",\"row_version\":" + this.version + ",\"now\":" + now() + "}";
		}
		this.version++;
		for (Object each : Json.list(call.get("puts"))) {
			Map<String, Object> put = Json.map(each);
			this.rows.put(id(put), new Row(text(put, "table"), text(put, "part"), text(put, "key"),
					text(put, "value"), this.version, false));
		}
		notifyAll();
		return "{\"row_version\":" + this.version + ",\"now\":" + now() + "}";
	}

	private static String id(Map<String, Object> row) {
		return id(text(row, "table"), text(row, "part"), text(row, "key"));
	}

	private static String text(Map<String, Object> row, String name) {
		Object value = row.get(name);
		return (value == null) ? "" : value.toString();
	}

	private synchronized String read(Map<String, String> query) {
		String table = query.getOrDefault("table", "");
		String from = query.getOrDefault("from", "");
		List<Row> found = this.rows.values()
			.stream()
			.filter((row) -> row.table.equals(table) && row.part.equals(query.getOrDefault("part", "")))
			.filter((row) -> !row.deleted && row.key.compareTo(from) >= 0)
			.toList();
		boolean truncated = found.size() > 500;
		return "{\"rows\":" + rows(truncated ? found.subList(0, 500) : found) + ",\"truncated\":" + truncated + ",\"row_version\":" + this.version + ",\"now\":"
				+ now() + "}";
	}

	private synchronized String feed(Map<String, String> query, int[] status) throws InterruptedException {
		String table = query.getOrDefault("table", "");
		long after = Long.parseLong(query.getOrDefault("after", "0"));
		long end = System.nanoTime() + Long.parseLong(query.getOrDefault("wait_ms", "0")) * 1_000_000;
		while (changed(table, after).isEmpty()) {
			long left = (end - System.nanoTime()) / 1_000_000;
			if (left <= 0) {
				break;
			}
			wait(left);
			if (this.mode == Mode.BUSY) {
				status[0] = 503;
				return "{}";
			}
		}
		return "{\"rows\":" + rows(changed(table, after)) + ",\"row_version\":" + this.version + ",\"now\":" + now()
				+ "}";
	}

	private List<Row> changed(String table, long after) {
		return this.rows.values()
			.stream()
			.filter((row) -> row.table.equals(table) && row.version > after)
			.sorted((one, other) -> Long.compare(one.version, other.version))
			.toList();
	}

	private static String rows(List<Row> rows) {
		StringBuilder text = new StringBuilder("[");
		for (Row row : rows) {
			text.append((text.length() > 1) ? "," : "")
				.append("{\"table\":\"" + row.table + "\",\"part\":\"" + row.part + "\",\"key\":\"" + row.key
						+ "\",\"value\":\"" + row.value + "\",\"row_version\":" + row.version + "}");
		}
		return text.append("]").toString();
	}

	@Override
	public void close() {
		this.server.stop(0);
	}

}
