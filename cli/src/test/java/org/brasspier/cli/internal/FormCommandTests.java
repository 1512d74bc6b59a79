package org.brasspier.cli.internal;

import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.io.StringReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

import org.brasspier.core.ErrorKind;
import org.brasspier.core.document.Document;
import org.brasspier.core.document.Draft;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests the commands that need no daemon: forms filled in from flags or prompts, the
 * draft file, help texts and invalid command lines.
 */
class FormCommandTests {

	@TempDir
	private Path directory;

	private final ByteArrayOutputStream out = new ByteArrayOutputStream();

	private final ByteArrayOutputStream err = new ByteArrayOutputStream();

	private Path draftFile;

	@BeforeEach
	void writeEmptyDraft() {
		this.draftFile = this.directory.resolve("draft.json");
		new DraftFile(this.draftFile).write(Draft.from(0, Document.EMPTY));
	}

	@Test
	void fieldsCanBeSetByFlags() {
		assertThat(run("", "form", "service", "hullbook", "--divided-by-key", "yes", "--run-limit-millis", "500"))
			.isEqualTo(0);
		assertThat(draftDocument().toString())
			.isEqualTo("Document{service/hullbook/divided-by-key=yes, service/hullbook/run-limit-millis=500}");
		assertThat(standardOutput()).contains("a whole number from 1 to 600000");
	}

	@Test
	void anInvalidValueIsRefusedWithTheAllowedValuesAndNothingIsStored() {
		assertThat(run("", "form", "service", "hullbook", "--divided-by-key", "yes", "--run-limit-millis", "0"))
			.isEqualTo(ErrorKind.BAD_REQUEST.exitCode());
		assertThat(standardError()).contains("run-limit-millis \"0\" must be a whole number from 1 to 600000");
		assertThat(draftDocument()).isEqualTo(Document.EMPTY);
	}

	@Test
	void theDialogRepeatsThePromptAfterAnInvalidValue() {
		assertThat(run("maybe\nno\n\n-\n", "form", "service", "jobdesk", "--ask")).isEqualTo(0);
		assertThat(standardError()).contains("divided-by-key \"maybe\" must be yes or no");
		assertThat(draftDocument().toString()).isEqualTo("Document{service/jobdesk/divided-by-key=no}");
	}

	@Test
	void theEndOfInputEndsTheDialog() {
		assertThat(run("", "form", "weights", "--ask")).isEqualTo(0);
	}

	@Test
	void theDraftShowsItsChangesAndIsDiscarded() {
		run("", "form", "weights", "--churn", "3");
		assertThat(run("", "draft", "show")).isEqualTo(0);
		assertThat(standardOutput()).contains("weights/churn: (none) -> 3");
		assertThat(run("", "draft", "discard")).isEqualTo(0);
		assertThat(Files.exists(this.draftFile)).isFalse();
	}

	@Test
	void aDamagedDraftFileIsRefused() throws IOException {
		Files.writeString(this.draftFile, "{\"base_version\":1}");
		assertThat(run("", "draft", "show")).isEqualTo(ErrorKind.BAD_REQUEST.exitCode());
		assertThat(standardError()).contains("TROUBLESHOOTING.md#draft-file");
	}

	@Test
	void helpListsCommandsAndTheFieldsOfForms() {
		assertThat(run("", "--help")).isEqualTo(0);
		assertThat(run("", "form", "--help")).isEqualTo(0);
		assertThat(standardOutput()).contains("declare-lost");
		assertThat(standardOutput()).contains("--guard-millis");
	}

	/**
	 * Guards against help that a new operator cannot use: lines over 120 columns, fields
	 * without description or default, and empty defaults printed as
	 * {@code <empty string>}.
	 */
	@Test
	void helpIsReadable() {
		for (String command : List.of("", "form", "draft", "config", "status", "owner", "measures", "timeline", "drain",
				"undrain", "move", "declare-lost")) {
			assertThat(run("", (command + " --help").strip().split(" "))).isEqualTo(0);
		}
		assertThat(standardOutput().lines().filter((line) -> line.length() > 120).toList()).isEmpty();
		assertThat(standardOutput()).doesNotContain("<empty string>");
		assertThat(standardOutput()).contains("--secret-file");
		assertThat(standardOutput()).contains("11  DOCUMENT_CONFLICT");
		assertThat(standardOutput()).contains("a whole number from 10 to 5000 in ms, default: 200");
		assertThat(standardOutput()).contains("rebase   move its changes onto the version in force");
	}

	@Test
	void anInvalidCommandLineIsRefused() {
		assertThat(run("")).isEqualTo(ErrorKind.BAD_REQUEST.exitCode());
		assertThat(run("", "frm")).isEqualTo(ErrorKind.BAD_REQUEST.exitCode());
		assertThat(run("", "--output", "xml", "draft", "show")).isEqualTo(ErrorKind.BAD_REQUEST.exitCode());
		assertThat(run("", "form", "service")).isEqualTo(ErrorKind.BAD_REQUEST.exitCode());
		assertThat(run("", "form", "weights", "--chrun", "3")).isEqualTo(ErrorKind.BAD_REQUEST.exitCode());
		assertThat(standardError()).contains("unknown flag --chrun");
	}

	@Test
	void theExitCodeReportsThatNoDaemonAnswered() {
		assertThat(run("", "--daemon", "127.0.0.1:1", "status")).isEqualTo(ErrorKind.DAEMON_UNREACHABLE.exitCode());
	}

	@Test
	void declareLostRequiresConfirmation() {
		assertThat(run("no\n", "declare-lost", "duluth-1")).isEqualTo(ErrorKind.BAD_REQUEST.exitCode());
		assertThat(standardError()).contains("two servers may own the same keys");
	}

	private int run(String input, String... arguments) {
		Terminal terminal = new Terminal(new BufferedReader(new StringReader(input)),
				new PrintStream(this.out, true, StandardCharsets.UTF_8),
				new PrintStream(this.err, true, StandardCharsets.UTF_8), true);
		String[] commandLine = new String[arguments.length + 2];
		commandLine[0] = "--draft";
		commandLine[1] = this.draftFile.toString();
		System.arraycopy(arguments, 0, commandLine, 2, arguments.length);
		return new CommandLine(terminal, Map.of()).run(commandLine);
	}

	private Document draftDocument() {
		return new DraftFile(this.draftFile).read().orElseThrow().draft().document();
	}

	private String standardOutput() {
		return this.out.toString(StandardCharsets.UTF_8);
	}

	private String standardError() {
		return this.err.toString(StandardCharsets.UTF_8);
	}

}
