package org.brasspier.daemon.internal.operator;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.function.Predicate;

import org.brasspier.core.event.EventKind;
import org.brasspier.daemon.internal.event.EventLog;
import org.brasspier.daemon.internal.settings.SecretLines;

/**
 * Reloads a file of secrets when its contents change. If the file can't be read, holds no
 * secret or holds an invalid one, the current secrets stay in use, so that a mistake
 * while the file is replaced locks out neither operators nor daemons. Not thread-safe;
 * confined to the operators thread.
 */
final class SecretsFileReader {

	private final Path file;

	private final String subject;

	private final Predicate<List<String>> replaceSecrets;

	private final EventLog events;

	private List<String> lastLines = List.of();

	/**
	 * Creates a reader that has read nothing yet.
	 * @param file the file
	 * @param subject who uses the secrets, for the event log
	 * @param replaceSecrets replaces the current secrets and returns whether any changed
	 * @param events the event log
	 */
	SecretsFileReader(Path file, String subject, Predicate<List<String>> replaceSecrets, EventLog events) {
		this.file = file;
		this.subject = subject;
		this.replaceSecrets = replaceSecrets;
		this.events = events;
	}

	void readIfChanged() {
		try {
			List<String> lines = SecretLines.read(this.file);
			if (!lines.equals(this.lastLines)) {
				this.lastLines = lines;
				apply(lines);
			}
		}
		catch (IOException | IllegalArgumentException ex) {
			// The file may be in the middle of a replacement. It is read again after
			// one second.
		}
	}

	private void apply(List<String> lines) {
		try {
			if (this.replaceSecrets.test(lines)) {
				this.events.record(EventKind.SECRETS_READ, this.subject, lines.size() + " accepted");
			}
		}
		catch (IllegalArgumentException ex) {
			this.events.record(EventKind.SECRETS_REFUSED, this.subject, String.valueOf(ex.getMessage()));
		}
	}

}
