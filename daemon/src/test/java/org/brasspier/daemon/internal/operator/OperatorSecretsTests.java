package org.brasspier.daemon.internal.operator;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.brasspier.daemon.internal.event.EventLog;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static com.google.common.truth.Truth.assertThat;

/**
 * Operators' secrets can be rotated without a restart.
 */
class OperatorSecretsTests {

	private List<String> listed = List.of();

	private final OperatorSecrets secrets = new OperatorSecrets(List.of("spring spring-secret", "summer summer-secret"),
			() -> this.listed);

	@Test
	void onlyTheConfiguredSecretsAreAccepted() {
		assertThat(this.secrets.accepts("spring-secret")).isTrue();
		assertThat(this.secrets.accepts("summer-secret")).isTrue();
		assertThat(this.secrets.accepts("spring")).isFalse();
		assertThat(this.secrets.accepts("")).isFalse();
	}

	@Test
	void aSecretThatTheDocumentNoLongerListsIsRefused() {
		this.listed = List.of("summer");
		assertThat(this.secrets.accepts("spring-secret")).isFalse();
		assertThat(this.secrets.accepts("summer-secret")).isTrue();
	}

	/**
	 * Guards against a lockout of all operators after one of them misspells the name of
	 * the new secret in the document: nobody could submit a corrected document.
	 */
	@Test
	void aDocumentThatListsOnlyUnknownNamesLocksNobodyOut() {
		this.listed = List.of("sumer");
		assertThat(this.secrets.accepts("summer-secret")).isTrue();
	}

	@Test
	void toStringContainsNoSecret() {
		assertThat(this.secrets.toString()).doesNotContain("secret-");
		assertThat(this.secrets.toString()).isEqualTo("OperatorSecrets[2]");
	}

	@Test
	void aChangedFileReplacesTheSecretsAndAnEmptyOneDoesNot(@TempDir Path folder) throws IOException {
		Path file = folder.resolve("secrets");
		SecretsFileReader reader = new SecretsFileReader(file, "operators", this.secrets::replace, new EventLog(10));
		reader.readIfChanged();
		assertThat(this.secrets.accepts("spring-secret")).isTrue();
		Files.writeString(file, "autumn autumn-secret\n");
		reader.readIfChanged();
		assertThat(this.secrets.accepts("autumn-secret")).isTrue();
		assertThat(this.secrets.accepts("spring-secret")).isFalse();
		Files.writeString(file, "\n");
		reader.readIfChanged();
		assertThat(this.secrets.accepts("autumn-secret")).isTrue();
	}

}
