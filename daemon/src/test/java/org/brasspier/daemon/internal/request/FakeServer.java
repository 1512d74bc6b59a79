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
 * A backend server whose behaviour is set by a test. Records the requests that it
 * receives.
 */
final class FakeServer implements AutoCloseable {

	final List<ReceivedOrder> orders = new CopyOnWriteArrayList<>();

	final List<String> cancelled = new CopyOnWriteArrayList<>();

	final List<String> grants = new CopyOnWriteArrayList<>();

	volatile Behaviour behaviour = (exchange, body) -> answer(exchange, 200,
			"done " + exchange.getRequestURI() + " " + body);

	private final Barrier allCalls = new Barrier();

	private final Barrier grantCalls = new Barrier();

	private final ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();

	private final HttpServer http;

	FakeServer() throws IOException {
		this.http = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 100);
		this.http.setExecutor(this.threads);
		this.http.createContext("/", this::handleOrder);
		this.http.createContext("/brasspier/health", (exchange) -> {
			this.allCalls.awaitOpen();
			answer(exchange, 200, "{\"state\": \"ready\"}");
		});
		this.http.createContext("/brasspier/grants", (exchange) -> {
			this.allCalls.awaitOpen();
			this.grantCalls.awaitOpen();
			this.grants.add(read(exchange));
			answer(exchange, 200, "{}");
		});
		this.http.createContext("/brasspier/cancel", (exchange) -> {
			this.allCalls.awaitOpen();
			this.cancelled.add(read(exchange));
			answer(exchange, 200, "{}");
		});
		this.http.start();
	}

	private void handleOrder(HttpExchange exchange) throws IOException {
		String body = read(exchange);
		this.orders.add(new ReceivedOrder(exchange.getRequestMethod() + " " + exchange.getRequestURI(),
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

	// Stops answering anything, even probes, like a paused process.
	void freeze() {
		this.allCalls.block();
	}

	// Stops answering grant calls until acceptGrants is called.
	void stopGrants() {
		this.grantCalls.block();
	}

	void acceptGrants() {
		this.grantCalls.unblock();
	}

	// Simulates the crash of the process: stops listening and drops all connections.
	void crash() throws InterruptedException {
		Thread.ofPlatform().daemon().start(() -> this.http.stop(0));
		Thread.sleep(Duration.ofSeconds(30));
	}

	@Override
	public void close() {
		this.allCalls.unblock();
		this.grantCalls.unblock();
		this.http.stop(0);
		this.threads.shutdownNow();
	}

	/**
	 * Handles an order.
	 */
	interface Behaviour {

		void serve(HttpExchange exchange, String body) throws IOException, InterruptedException;

	}

	/**
	 * Blocks threads while it is closed.
	 */
	private static final class Barrier {

		private boolean blocked;

		synchronized void block() {
			this.blocked = true;
		}

		synchronized void unblock() {
			this.blocked = false;
			notifyAll();
		}

		synchronized void awaitOpen() {
			while (this.blocked) {
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
	 * An order as received.
	 */
	record ReceivedOrder(String line, String id, String fence, long deadlineAtMillis) {

	}

}
