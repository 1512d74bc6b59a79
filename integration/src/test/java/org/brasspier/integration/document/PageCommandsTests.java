package org.brasspier.integration.document;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;

import org.brasspier.core.ErrorKind;
import org.brasspier.standins.Await;
import org.brasspier.standins.Deployment;
import org.brasspier.standins.DeploymentShape;
import org.brasspier.standins.Ports;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Tests that the commands in the documentation work as written, against a small running
 * deployment.
 */
class PageCommandsTests {

	private static final String COMMAND_PREFIX = "brasspier ";

	private static final Pattern PROGRAM_NAME = Pattern.compile("\\bbin/([a-z-]+)");

	@TempDir
	private Path folder;

	private final Deployment deployment = Deployment.start(DeploymentShape.small(3));

	private OperatorTool tool;

	@BeforeEach
	void awaitServed() {
		this.tool = operator("draft.json");
		this.deployment.awaitServed();
	}

	@AfterEach
	void stopDeployment() {
		this.deployment.close();
	}

	// Runs the commands of the user guide and then those of the operating guide, while
	// the situations that they describe occur: two operators submit concurrently, an
	// instance is lost. Each command must succeed.
	@Test
	void theCommandsOfThePagesRunInTheirOrder() throws IOException {
		List<String> guide = commands("USER_GUIDE.md", "```sh").toList();
		List<String> operating = commands("OPERATING.md", "```console").toList();
		assertThat(guide.size()).isGreaterThan(15);
		assertThat(operating.size()).isGreaterThan(15);
		Stream.concat(guide.stream(), operating.stream()).forEach(this::runCommand);
		OperatorTool.Result mistyped = this.tool.run("drain", "--nonsense");
		assertThat(mistyped.exit()).isEqualTo(ErrorKind.BAD_REQUEST.exitCode());
	}

	private void runCommand(String command) {
		switch (command) {
			case "brasspier draft rebase" -> letAnotherOperatorSubmit();
			case "brasspier declare-lost hullbook-1 --yes" -> this.deployment.instance("hullbook-1").kill();
			default -> {
			}
		}
		if (command.contains("declare-lost") || command.contains("move")) {
			// Refused until the loss is detected, and while a range has only just moved.
			Await.until(command, () -> this.tool.run(arguments(command)).exit() == 0);
			return;
		}
		OperatorTool.Result result = this.tool.run(arguments(command));
		assertWithMessage("%s: %s", command, result.err()).that(result.exit()).isEqualTo(0);
	}

	private void letAnotherOperatorSubmit() {
		assertThat(this.tool.run("form", "weights", "--churn", "2").exit()).isEqualTo(0);
		OperatorTool other = operator("other.json");
		assertThat(other.run("form", "weights", "--imbalance", "2").exit()).isEqualTo(0);
		assertThat(other.run("draft", "submit", "--no-wait").exit()).isEqualTo(0);
		assertThat(this.tool.run("draft", "submit").exit()).isEqualTo(ErrorKind.DOCUMENT_CONFLICT.exitCode());
	}

	@Test
	void theProgramsNamedInThePagesExist() throws IOException {
		for (String page : List.of("README.md", "CONTRIBUTING.md", "docs/USER_GUIDE.md", "docs/OPERATING.md")) {
			PROGRAM_NAME.matcher(Files.readString(Path.of("..", page))).results().forEach((match) -> {
				Path program = Path.of("..", "bin", match.group(1));
				assertWithMessage("%s of %s", program, page).that(Files.isExecutable(program)).isTrue();
			});
		}
	}

	private OperatorTool operator(String draft) {
		return new OperatorTool(this.folder.resolve(draft),
				Ports.text(this.deployment.instance("hullbook-0").ports().operators()),
				this.deployment.operatorSecret());
	}

	private String[] arguments(String command) {
		return Arrays.stream(command.substring(COMMAND_PREFIX.length()).split(" "))
			.map((word) -> (word.equals("RANGE")) ? rangeToMove() : word)
			.toArray(String[]::new);
	}

	/** Returns a range that the target of the documented move does not own. */
	private String rangeToMove() {
		return this.tool.run("status", "--ranges")
			.out()
			.lines()
			.filter((line) -> line.matches("hullbook +[0-9a-f]{8}-[0-9a-f]{8} +hullbook-[01] .*"))
			.map((line) -> line.split(" +")[1])
			.findFirst()
			.orElse("no range");
	}

	private static Stream<String> commands(String page, String fence) throws IOException {
		String text = Files.readString(Path.of("..", "docs", page));
		return Arrays.stream(text.split(fence + "\n"))
			.skip(1)
			.map((block) -> block.substring(0, block.indexOf("```")))
			.flatMap(String::lines)
			.filter((line) -> line.startsWith(COMMAND_PREFIX));
	}

}
