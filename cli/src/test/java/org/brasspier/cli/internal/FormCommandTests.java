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
 * Forms are filled in from flags or prompts; no daemon is needed once a draft exists.
 */
class FormCommandTests {

	@TempDir
	private Path folder;

	private final ByteArrayOutputStream out = new ByteArrayOutputStream();

	private final ByteArrayOutputStream err = new ByteArrayOutputStream();

	private Path draft;

	@BeforeEach
	void beginDraft() {
		this.draft = this.folder.resolve("draft.json");
		new DraftFile(this.draft).write(Draft.from(0, Document.EMPTY));
	}

	@Test
	void fieldsAreFlags() {
		assertThat(run("", "form", "service", "hullbook", "--divided-by-key", "yes", "--run-limit-millis", "500"))
			.isEqualTo(0);
		assertThat(document().toString())
			.isEqualTo("Document{service/hullbook/divided-by-key=yes, service/hullbook/run-limit-millis=500}");
		assertThat(shown()).contains("a whole number from 1 to 600000");
	}

	@Test
	void anInvalidValueIsRefusedWithTheAllowedValuesAndNothingIsStored() {
		assertThat(run("", "form", "service", "hullbook", "--divided-by-key", "yes", "--run-limit-millis", "0"))
			.isEqualTo(ErrorKind.BAD_REQUEST.exitCode());
		assertThat(said()).contains("run-limit-millis \"0\" must be a whole number from 1 to 600000");
		assertThat(document()).isEqualTo(Document.EMPTY);
	}

	@Test
	void theDialogAsksAgainWhereAValueIsNotAllowed() {
		assertThat(run("maybe\nno\n\n-\n", "form", "service", "jobdesk", "--ask")).isEqualTo(0);
		assertThat(said()).contains("divided-by-key \"maybe\" must be yes or no");
		assertThat(document().toString()).isEqualTo("Document{service/jobdesk/divided-by-key=no}");
	}

	@Test
	void theEndOfInputEndsTheDialog() {
		assertThat(run("", "form", "weights", "--ask")).isEqualTo(0);
	}

	@Test
	void theDraftShowsItsChangesAndIsDiscarded() {
		run("", "form", "weights", "--churn", "3");
		assertThat(run("", "draft", "show")).isEqualTo(0);
		assertThat(shown()).contains("weights/churn: (none) -> 3");
		assertThat(run("", "draft", "discard")).isEqualTo(0);
		assertThat(Files.exists(this.draft)).isFalse();
	}

	@Test
	void aDamagedDraftFileIsRefused() throws IOException {
		Files.writeString(this.draft, "{\"base_version\":1}");
		assertThat(run("", "draft", "show")).isEqualTo(ErrorKind.BAD_REQUEST.exitCode());
		assertThat(said()).contains("TROUBLESHOOTING.md#draft-file");
	}

	@Test
	void helpListsCommandsAndTheFieldsOfForms() {
		assertThat(run("", "--help")).isEqualTo(0);
		assertThat(run("", "form", "--help")).isEqualTo(0);
		assertThat(shown()).contains("declare-lost");
		assertThat(shown()).contains("--guard-millis");
	}

	// Guards against help that a new operator cannot use: lines over 120 columns, fields
	// without meaning or default, and empty defaults printed as such.
	@Test
	void helpIsReadable() {
		for (String command : List.of("", "form", "draft", "config", "status", "owner", "measures", "timeline", "drain",
				"undrain", "move", "declare-lost")) {
			assertThat(run("", (command + " --help").strip().split(" "))).isEqualTo(0);
		}
		assertThat(shown().lines().filter((line) -> line.length() > 120).toList()).isEmpty();
		assertThat(shown()).doesNotContain("<empty string>");
		assertThat(shown()).contains("--secret-file");
		assertThat(shown()).contains("11  DOCUMENT_CONFLICT");
		assertThat(shown()).contains("a whole number from 10 to 5000 in ms, usually 200");
		assertThat(shown()).contains("rebase   move its changes onto the version in force");
	}

	@Test
	void anInvalidCommandLineIsRefused() {
		assertThat(run("")).isEqualTo(ErrorKind.BAD_REQUEST.exitCode());
		assertThat(run("", "frm")).isEqualTo(ErrorKind.BAD_REQUEST.exitCode());
		assertThat(run("", "--output", "xml", "draft", "show")).isEqualTo(ErrorKind.BAD_REQUEST.exitCode());
		assertThat(run("", "form", "service")).isEqualTo(ErrorKind.BAD_REQUEST.exitCode());
		assertThat(run("", "form", "weights", "--chrun", "3")).isEqualTo(ErrorKind.BAD_REQUEST.exitCode());
		assertThat(said()).contains("unknown flag --chrun");
	}

	@Test
	void theExitCodeTellsThatNoDaemonAnswered() {
		assertThat(run("", "--daemon", "127.0.0.1:1", "status")).isEqualTo(ErrorKind.DAEMON_UNREACHABLE.exitCode());
	}

	@Test
	void declaringLostNeedsAConfirmation() {
		assertThat(run("no\n", "declare-lost", "duluth-1")).isEqualTo(ErrorKind.BAD_REQUEST.exitCode());
		assertThat(said()).contains("two servers may own the same keys");
	}

	private int run(String typed, String... arguments) {
		Terminal terminal = new Terminal(new BufferedReader(new StringReader(typed)),
				new PrintStream(this.out, true, StandardCharsets.UTF_8),
				new PrintStream(this.err, true, StandardCharsets.UTF_8), true);
		String[] all = new String[arguments.length + 2];
		all[0] = "--draft";
		all[1] = this.draft.toString();
		System.arraycopy(arguments, 0, all, 2, arguments.length);
		return new CommandLine(terminal, Map.of()).run(all);
	}

	private Document document() {
		return new DraftFile(this.draft).read().orElseThrow().draft().document();
	}

	private String shown() {
		return this.out.toString(StandardCharsets.UTF_8);
	}

	private String said() {
		return this.err.toString(StandardCharsets.UTF_8);
	}

}
