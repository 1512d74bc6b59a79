package org.brasspier.integration.document;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import java.util.stream.Stream;

import org.brasspier.standins.Await;
import org.brasspier.standins.Deployment;
import org.brasspier.standins.DeploymentShape;
import org.brasspier.standins.Ports;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Tests of the operator port of a real daemon, called without the command line tool.
 */
class OperatorPortTests {

	private static final Pattern DOCUMENTED_CALL = Pattern.compile("`?(GET|POST)? ?(/(?:v1|peer|metrics)[a-z0-9/-]*)");

	private static final String NO_SECRET = "";

	private final Deployment deployment = Deployment.prepare(DeploymentShape.small(1));

	private final HttpClient http = HttpClient.newHttpClient();

	@BeforeEach
	void startDaemon() {
		this.deployment.instances().getFirst().daemon().start();
		Await.until("the operator port answers", () -> {
			try {
				return call("GET", "/v1/status", this.deployment.operatorSecret()).statusCode() == 200;
			}
			catch (IOException ex) {
				return false;
			}
		});
	}

	@AfterEach
	void stopDaemon() {
		this.deployment.close();
	}

	// An unauthorized client reaches the operator port and tries each call that
	// docs/API.md lists, with no secret, a wrong one, one with its first character cut
	// off, and one with a character added.
	@Test
	void eachCallOfTheInterfaceIsRefusedWithoutTheSecret() throws IOException {
		String secret = this.deployment.operatorSecret();
		List<MatchResult> calls = documentedCalls();
		assertThat(calls.size()).isAtLeast(15);
		for (MatchResult call : calls) {
			for (String offered : List.of(NO_SECRET, "a-wrong-secret", secret.substring(1), secret + "x")) {
				for (String method : List.of("GET", "POST")) {
					HttpResponse<String> answer = call(method, call.group(2), offered);
					assertWithMessage("%s %s", method, call.group(2)).that(answer.statusCode()).isEqualTo(401);
					assertThat(answer.body()).doesNotContain(secret);
				}
			}
		}
	}

	// The metrics as monitoring systems read them: names and lines conform to the
	// exposition format, each series has a type, each metric has an explanation, and no
	// series occurs twice.
	@Test
	void theMetricsAreWellFormedAndEachIsExplained() throws IOException {
		String text = call("GET", "/metrics", this.deployment.operatorSecret()).body();
		List<String> series = text.lines().filter((line) -> !line.startsWith("#")).toList();
		assertThat(series).isNotEmpty();
		assertThat(series).containsNoDuplicates();
		for (String line : series) {
			assertThat(line).matches("brasspier_[a-z][a-zA-Z0-9_]*(\\{[a-z]+=\"[^\"]*\"\\})? -?[0-9.E+-]+");
			String name = line.replaceAll("[{ ].*", "");
			assertThat(text).containsMatch("# TYPE " + name.replaceAll("_count$", "") + " (gauge|counter|summary)\n");
		}
		List<String> unexplained = text.lines()
			.filter((line) -> line.startsWith("# HELP "))
			.filter((line) -> line.split(" ", 4)[3].matches("[a-zA-Z._]+"))
			.toList();
		assertThat(unexplained).isEmpty();
	}

	private static List<MatchResult> documentedCalls() throws IOException {
		String page = Files.readString(Path.of("..", "docs", "API.md"));
		String section = page.substring(page.indexOf("## Towards operators"), page.indexOf("## Errors"));
		return Stream.of(section).flatMap((text) -> DOCUMENTED_CALL.matcher(text).results()).toList();
	}

	private HttpResponse<String> call(String method, String path, String secret) throws IOException {
		String daemon = Ports.text(this.deployment.instances().getFirst().ports().operators());
		HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://" + daemon + path))
			.method(method, BodyPublishers.ofString((method.equals("POST")) ? "{}" : ""));
		if (!secret.isEmpty()) {
			request.header("Authorization", "Bearer " + secret);
		}
		try {
			return this.http.send(request.build(), BodyHandlers.ofString());
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

}
