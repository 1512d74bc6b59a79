package org.brasspier.integration.document;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;

import org.brasspier.cli.internal.CommandLine;
import org.brasspier.standins.Await;
import org.brasspier.standins.Deployment;
import org.brasspier.standins.DeploymentShape;
import org.brasspier.standins.Ports;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * The commands in the pages work as they stand.
 */
class PageCommandsTests {

	private static final String TOOL = "brasspier ";

	@TempDir
	private Path folder;

	@Test
	void theCommandsOfTheUserGuideRunInTheirOrder() throws IOException {
		try (Deployment deployment = Deployment.prepare(DeploymentShape.small(3))) {
			deployment.instances().forEach((instance) -> instance.daemon().start());
			String daemon = Ports.text(deployment.instances().getFirst().ports().operators());
			OperatorTool tool = new OperatorTool(this.folder.resolve("draft.json"), daemon,
					deployment.operatorSecret());
			Await.until("the daemon answers", () -> tool.run("config", "show").exit() == 0);
			List<String> commands = commands("USER_GUIDE.md", "```sh").toList();
			assertThat(commands.size()).isGreaterThan(15);
			for (String command : commands) {
				OperatorTool.Result result = tool.run(words(command));
				assertWithMessage("%s: %s", command, result.err()).that(result.exit()).isEqualTo(0);
			}
		}
	}

	@Test
	void theToolUnderstandsTheCommandsOfTheOperatingPage() throws IOException {
		List<String> commands = commands("OPERATING.md", "```console").toList();
		assertThat(commands.size()).isGreaterThan(10);
		for (String command : commands) {
			assertWithMessage(command).that(CommandLine.understands(words(command))).isTrue();
		}
		assertThat(CommandLine.understands("drain", "--nonsense")).isFalse();
	}

	private static String[] words(String command) {
		return command.substring(TOOL.length()).split(" ");
	}

	private static Stream<String> commands(String page, String fence) throws IOException {
		String text = Files.readString(Path.of("..", "docs", page));
		return Arrays.stream(text.split(fence + "\n"))
			.skip(1)
			.map((block) -> block.substring(0, block.indexOf("```")))
			.flatMap(String::lines)
			.filter((line) -> line.startsWith(TOOL));
	}

}
