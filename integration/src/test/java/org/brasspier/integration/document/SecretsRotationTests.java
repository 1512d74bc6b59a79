package org.brasspier.integration.document;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.stream.Stream;

import org.brasspier.core.ErrorKind;
import org.brasspier.standins.Await;
import org.brasspier.standins.CallerFleet;
import org.brasspier.standins.CallerRecord;
import org.brasspier.standins.Deployment;
import org.brasspier.standins.DeploymentShape;
import org.brasspier.standins.InstanceSecrets;
import org.brasspier.standins.Ports;
import org.brasspier.standins.StandInInstance;
import org.brasspier.standins.TrafficStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Tests that all three kinds of secrets can be replaced in a running deployment, and that
 * no output contains a secret.
 */
class SecretsRotationTests {

	private static final String NEW_KEY = "the-next-shared-key-of-stand-ins";

	private static final String NEW_TOKEN = "the-next-platform-token";

	private static final String NEW_SECRET = "the-next-operator-secret";

	@TempDir
	private Path folder;

	private final Deployment deployment = Deployment.start(DeploymentShape.small(3));

	private final String oldKey = this.deployment.secrets().get(0);

	private final String oldToken = this.deployment.secrets().get(2);

	@BeforeEach
	void awaitServed() {
		this.deployment.awaitServed();
	}

	@AfterEach
	void stopDeployment() {
		this.deployment.close();
	}

	// An operator replaces the key that the daemons share, one daemon after another,
	// under traffic. Meanwhile some daemons know one key and others two; if those could
	// not authenticate to each other, requests would be refused for the whole time. A
	// daemon that starts afterwards knows only the new key, and joins. The traffic is
	// lookups only, since a posting also ends as unknown when an overloaded machine
	// breaks its connection.
	@Test
	void thePeersKeyIsReplacedUnderTrafficAndNoRequestFails() {
		try (CallerFleet callers = this.deployment.newCallers()) {
			callers.setTraffic(List.of(TrafficStream.steady("hullbook", true, "lookup", 100)));
			rotate("peers", (secrets, lines) -> secrets.sharedKeys(lines), this.oldKey, NEW_KEY);
			long answeredBefore = answeredCount(callers);
			Await.until("callers are answered after the rotation", () -> answeredCount(callers) > answeredBefore + 300);
			callers.finish();
			assertWithMessage("requests that failed")
				.that(callers.records()
					.stream()
					.filter((record) -> record.outcome() != CallerRecord.Outcome.ANSWERED)
					.toList())
				.isEmpty();
		}
		assertThat(events("PEER_REFUSED")).isEmpty();
		StandInInstance replaced = this.deployment.instances().get(2);
		replaced.stop();
		replaced.start();
		Await.until("the replaced daemon owns ranges",
				() -> tool().run("status").out().lines().anyMatch((line) -> line.matches("hullbook +[0-9]+ +0 +3")));
	}

	// The operators of the platform replace its token: both tokens are accepted for a
	// while, then only the new one. Daemons that kept using the old one could neither
	// move a range nor bring a document into force.
	@Test
	void thePlatformsTokenIsReplacedWithoutAStop() {
		rotate("platform", (secrets, lines) -> secrets.platform(lines), this.oldToken, NEW_TOKEN);
		this.deployment.platform().acceptTokens(NEW_TOKEN);
		OperatorTool tool = tool();
		tool.run("form", "service", "hullbook", "--divided-by-key", "yes");
		tool.run("form", "domains", "--regions", "domain-0=lakes,domain-1=lakes,domain-2=lakes");
		OperatorTool.Result submitted = tool.run("draft", "submit");
		assertWithMessage(submitted.err()).that(submitted.exit()).isEqualTo(0);
		assertThat(tool.run("drain", "hullbook-1").exit()).isEqualTo(0);
	}

	// An operator secret has been disclosed: a new one replaces it in the file of every
	// daemon. Once the new one is accepted, the old one must be refused.
	@Test
	void theOperatorsSecretIsReplacedAndTheOldOneIsRefused() {
		this.deployment.instances().forEach((instance) -> instance.secrets().operators(NEW_SECRET));
		OperatorTool tool = new OperatorTool(this.folder.resolve("draft"), operatorAddress(), NEW_SECRET);
		Await.until("the new secret is accepted", () -> tool.run("status").exit() == 0);
		assertThat(tool().run("status").exit()).isEqualTo(ErrorKind.UNAUTHORIZED.exitCode());
	}

	// Collects logs, command output and errors of a deployment on which many commands
	// were tried, with valid secrets, with wrong ones and with a file of invalid ones.
	@Test
	void noSecretShowsInAnyOutput() throws IOException {
		StringBuilder output = new StringBuilder();
		OperatorTool unauthorized = new OperatorTool(this.folder.resolve("other"), operatorAddress(),
				"a-stranger-s-secret");
		for (OperatorTool tool : List.of(tool(), unauthorized)) {
			for (List<String> command : List.of(List.of("status", "--ranges"), List.of("config", "show"),
					List.of("timeline", "--count", "5000"), List.of("measures"), List.of("form", "secrets"),
					List.of("move", "hullbook", "nonsense", "nobody"), List.of("--output", "json", "status"))) {
				OperatorTool.Result result = tool.run(command.toArray(String[]::new));
				output.append(result.out()).append(result.err());
			}
		}
		InstanceSecrets secretsFiles = this.deployment.instances().getFirst().secrets();
		secretsFiles.sharedKeys(this.oldKey, "tooshort");
		Await.until("the invalid file is reported", () -> !events("SECRETS_REFUSED").isEmpty());
		this.deployment.instances().getFirst().stop();
		try (Stream<Path> files = Files.list(this.deployment.folder())) {
			for (Path file : files.filter((path) -> path.toString().matches(".*\\.(log|out)")).toList()) {
				output.append(Files.readString(file));
			}
		}
		assertThat(output.toString()).contains("SECRETS_REFUSED");
		Stream.concat(this.deployment.secrets().stream(), Stream.of("tooshort", "a-stranger-s-secret"))
			.forEach((secret) -> assertThat(output.toString().contains(secret)).isFalse());
	}

	/** Adds the new secret everywhere, then removes the old one, one daemon at a time. */
	private void rotate(String secretKind, BiConsumer<InstanceSecrets, String[]> write, String previous,
			String replacement) {
		if (secretKind.equals("platform")) {
			this.deployment.platform().acceptTokens(previous, replacement);
		}
		for (String[] lines : List.of(new String[] { previous, replacement }, new String[] { replacement })) {
			for (StandInInstance instance : this.deployment.instances()) {
				long readsBefore = secretsReadCount(instance, secretKind);
				write.accept(instance.secrets(), lines);
				Await.until(instance.name() + " has reread its file",
						() -> secretsReadCount(instance, secretKind) > readsBefore);
			}
		}
	}

	private List<String> events(String kind) {
		return tool().run("timeline", "--kind", kind).out().lines().filter((line) -> !line.startsWith("#")).toList();
	}

	private long secretsReadCount(StandInInstance instance, String secretKind) {
		String daemon = Ports.text(instance.ports().operators());
		return tool().run("--daemon", daemon, "timeline", "--kind", "SECRETS_READ")
			.out()
			.lines()
			.filter((line) -> line.contains(instance.name() + " ") && line.contains(secretKind))
			.count();
	}

	private static long answeredCount(CallerFleet callers) {
		return callers.records().stream().filter((record) -> record.outcome() == CallerRecord.Outcome.ANSWERED).count();
	}

	private OperatorTool tool() {
		return new OperatorTool(this.folder.resolve("draft"), operatorAddress(), this.deployment.operatorSecret());
	}

	private String operatorAddress() {
		return Ports.text(this.deployment.instances().getFirst().ports().operators());
	}

}
