package org.brasspier.standins;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.brasspier.core.KeyHash;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

class BackendStandInTests {

	private static final int LONG_MILLIS = 60_000;

	@TempDir
	private Path folder;

	private final InetSocketAddress address = Ports.free();

	private final HttpClient http = HttpClient.newHttpClient();

	private ProgramProcess server;

	@BeforeEach
	void start() {
		this.server = new ProgramProcess("server", BackendStandIn.class.getName(), List.of("--name", "s", "--service",
				"hullbook", "--listen", Ports.text(this.address), "--daemon", Ports.text(Ports.free())), Map.of(),
				this.folder)
			.start();
		Await.until("the server has started", () -> !records().isEmpty());
	}

	@AfterEach
	void stop() {
		this.server.kill();
		this.http.close();
	}

	@Test
	void anOrderUnderAGrantedFenceRunsAndIsOnRecord() throws Exception {
		grant(5, LONG_MILLIS);
		HttpResponse<String> answer = order("/look", 5);
		assertThat(answer.statusCode()).isEqualTo(200);
		assertThat(EchoedAnswer.isCompleteAnswer(answer.body(), "id", "key", 0)).isTrue();
		assertThat(kinds())
			.containsAtLeast(ServerRecord.Kind.GRANTED, ServerRecord.Kind.BEGAN, ServerRecord.Kind.TOOK_EFFECT)
			.inOrder();
	}

	@Test
	void anOrderUnderAnotherFenceIsRefused() throws Exception {
		grant(5, LONG_MILLIS);
		assertThat(order("/look", 4).statusCode()).isEqualTo(409);
		assertThat(kinds()).doesNotContain(ServerRecord.Kind.BEGAN);
	}

	// Guards against an effect after the grant has expired: the server is paused while
	// an order runs and continues after its grants have expired, so the order must not
	// take effect.
	@Test
	void anOrderThatOutlivesItsGrantTakesNoEffect() throws Exception {
		grant(5, 500);
		CompletableFuture<HttpResponse<String>> answer = this.http.sendAsync(request("/look?work=300", 5),
				HttpResponse.BodyHandlers.ofString());
		Await.until("the order has begun", () -> kinds().contains(ServerRecord.Kind.BEGAN));
		this.server.pause();
		long end = System.currentTimeMillis() + 600;
		Await.until("the grants have run out", () -> System.currentTimeMillis() > end);
		this.server.resume();
		assertThat(answer.join().statusCode()).isEqualTo(409);
		assertThat(kinds()).doesNotContain(ServerRecord.Kind.TOOK_EFFECT);
	}

	@Test
	void aMarkedRequestCrashesTheServerAfterItHasBegun() throws Exception {
		grant(5, LONG_MILLIS);
		assertThrows(IOException.class, () -> order("/crash", 5));
		this.server.awaitExit(Await.LIMIT);
		assertThat(kinds()).contains(ServerRecord.Kind.BEGAN);
	}

	private HttpResponse<String> order(String path, long fence) throws IOException, InterruptedException {
		return this.http.send(request(path, fence), HttpResponse.BodyHandlers.ofString());
	}

	private HttpRequest request(String path, long fence) {
		return HttpRequest.newBuilder(uri(path))
			.header("Brasspier-Key", "key")
			.header("Brasspier-Request-Id", "id")
			.header("Brasspier-Class", "lookup")
			.header("Brasspier-Fence", Long.toString(fence))
			.header("Brasspier-Range", "00000000-ffffffff")
			.build();
	}

	private void grant(long fence, int millis) throws IOException, InterruptedException {
		String body = """
				{"grants": [{"service": "hullbook", "low": 0, "high": %d, "fence": %d}],
				 "valid_millis": %d, "valid_until": %d}""".formatted(KeyHash.SPACE, fence, millis,
				System.currentTimeMillis() + millis);
		HttpRequest request = HttpRequest.newBuilder(uri("/brasspier/grants"))
			.PUT(HttpRequest.BodyPublishers.ofString(body))
			.build();
		assertThat(this.http.send(request, HttpResponse.BodyHandlers.ofString()).statusCode()).isEqualTo(200);
	}

	private List<ServerRecord> records() {
		return ServerRecords.read(List.of(this.server.output()));
	}

	private List<ServerRecord.Kind> kinds() {
		return records().stream().map(ServerRecord::kind).toList();
	}

	private URI uri(String path) {
		return URI.create("http://" + Ports.text(this.address) + path);
	}

}
