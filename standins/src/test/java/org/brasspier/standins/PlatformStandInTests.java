package org.brasspier.standins;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpTimeoutException;
import java.time.Duration;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

class PlatformStandInTests {

	private final PlatformStandIn platform = new PlatformStandIn(Ports.free(), "token");

	private final HttpClient http = HttpClient.newHttpClient();

	@AfterEach
	void stop() {
		this.platform.close();
		this.http.close();
	}

	@Test
	void aRowIsWrittenOnlyOnTheVersionThatTheWriterKnows() throws Exception {
		assertThat(put("a", 0, "first").statusCode()).isEqualTo(200);
		HttpResponse<String> stale = put("a", 0, "second");
		assertThat(stale.statusCode()).isEqualTo(412);
		assertThat(stale.headers().firstValue("Version")).hasValue("1");
		assertThat(put("a", 1, "second").headers().firstValue("Version")).hasValue("2");
		assertThat(get("a").body()).isEqualTo("second");
	}

	@Test
	void aWriteWhoseAnswerIsLostTakesEffect() throws Exception {
		this.platform.faults(PlatformFaults.losingAnswers(1));
		assertThrows(HttpTimeoutException.class, () -> put("a", 0, "value"));
		assertThat(get("a").body()).isEqualTo("value");
	}

	@Test
	void anOutageRefusesWritesWithoutEffect() throws Exception {
		this.platform.faults(PlatformFaults.OUTAGE);
		assertThat(put("a", 0, "value").statusCode()).isEqualTo(503);
		this.platform.faults(PlatformFaults.NONE);
		assertThat(get("a").statusCode()).isEqualTo(404);
	}

	@Test
	void aWrongTokenIsRefused() throws Exception {
		HttpRequest request = HttpRequest.newBuilder(uri("/table/a")).header("Authorization", "Bearer other").build();
		assertThat(this.http.send(request, HttpResponse.BodyHandlers.ofString()).statusCode()).isEqualTo(401);
	}

	private HttpResponse<String> put(String key, long version, String value) throws IOException, InterruptedException {
		return this.http.send(HttpRequest.newBuilder(uri("/table/" + key))
			.header("Authorization", "Bearer token")
			.header("If-Version", Long.toString(version))
			.timeout(Duration.ofSeconds(1))
			.PUT(HttpRequest.BodyPublishers.ofString(value))
			.build(), HttpResponse.BodyHandlers.ofString());
	}

	private HttpResponse<String> get(String key) throws IOException, InterruptedException {
		return this.http.send(
				HttpRequest.newBuilder(uri("/table/" + key)).header("Authorization", "Bearer token").build(),
				HttpResponse.BodyHandlers.ofString());
	}

	private URI uri(String path) {
		return URI.create("http://" + Ports.text(this.platform.address()) + path);
	}

}
