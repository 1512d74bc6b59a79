package org.brasspier.daemon.internal.request;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/**
 * A backend server whose behaviour a test sets. Keeps what it was asked.
 */
final class FakeServer implements AutoCloseable {

	final List<Seen> orders = new CopyOnWriteArrayList<>();

	final List<String> cancelled = new CopyOnWriteArrayList<>();

	final List<String> grants = new CopyOnWriteArrayList<>();

	volatile Behaviour behaviour = (exchange, body) -> answer(exchange, 200,
			"done " + exchange.getRequestURI() + " " + body);

	private final Gate all = new Gate();

	private final Gate grantCalls = new Gate();

	private final ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();

	private final HttpServer http;

	FakeServer() throws IOException {
		this.http = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 100);
		this.http.setExecutor(this.threads);
		this.http.createContext("/", this::order);
		this.http.createContext("/brasspier/health", (exchange) -> {
			this.all.pass();
			answer(exchange, 200, "{\"state\": \"ready\"}");
		});
		this.http.createContext("/brasspier/grants", (exchange) -> {
			this.all.pass();
			this.grantCalls.pass();
			this.grants.add(read(exchange));
			answer(exchange, 200, "{}");
		});
		this.http.createContext("/brasspier/cancel", (exchange) -> {
			this.all.pass();
			this.cancelled.add(read(exchange));
			answer(exchange, 200, "{}");
		});
		this.http.start();
	}

	private void order(HttpExchange exchange) throws IOException {
		String body = read(exchange);
		this.orders.add(new Seen(exchange.getRequestMethod() + " " + exchange.getRequestURI(),
				exchange.getRequestHeaders().getFirst("Brasspier-Request-Id"),
				exchange.getRequestHeaders().getFirst("Brasspier-Fence"),
				Long.parseLong(exchange.getRequestHeaders().getFirst("Brasspier-Deadline-At"))));
		try {
			this.behaviour.serve(exchange, body);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static String read(HttpExchange exchange) throws IOException {
		return new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
	}

	static void answer(HttpExchange exchange, int status, String body) throws IOException {
		byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
		exchange.sendResponseHeaders(status, bytes.length);
		exchange.getResponseBody().write(bytes);
		exchange.close();
	}

	int port() {
		return this.http.getAddress().getPort();
	}

	// Answers nothing, not even a probe, as a process that was paused.
	void freeze() {
		this.all.shut();
	}

	// Answers no call of grants until they are taken again.
	void holdGrants() {
		this.grantCalls.shut();
	}

	void takeGrants() {
		this.grantCalls.open();
	}

	// Ends at once, as a process does: it stops listening and drops all connections.
	void crash() throws InterruptedException {
		Thread.ofPlatform().daemon().start(() -> this.http.stop(0));
		Thread.sleep(Duration.ofSeconds(30));
	}

	@Override
	public void close() {
		this.all.open();
		this.grantCalls.open();
		this.http.stop(0);
		this.threads.shutdownNow();
	}

	/**
	 * What the server does with an order.
	 */
	interface Behaviour {

		void serve(HttpExchange exchange, String body) throws IOException, InterruptedException;

	}

	/**
	 * Holds threads back while it is shut.
	 */
	private static final class Gate {

		private boolean shut;

		synchronized void shut() {
			this.shut = true;
		}

		synchronized void open() {
			this.shut = false;
			notifyAll();
		}

		synchronized void pass() {
			while (this.shut) {
				try {
					wait();
				}
				catch (InterruptedException ex) {
					Thread.currentThread().interrupt();
					return;
				}
			}
		}

	}

	/**
	 * An order as it came.
	 */
	record Seen(String line, String id, String fence, long deadlineAtMillis) {

	}

}
