package org.brasspier.daemon.internal.operator;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.function.Predicate;

import org.brasspier.core.event.EventKind;
import org.brasspier.daemon.internal.event.EventLog;
import org.brasspier.daemon.internal.settings.SecretLines;

/**
 * Reads a file of secrets anew when it has changed. A file that can't be read, holds none
 * or holds one that's unfit leaves the secrets as they are: a slip while it's replaced
 * must lock out neither operators nor daemons. Belongs to the thread of operators.
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
	 * @param subject whose secrets they are, for the time line
	 * @param replaceSecrets takes over the secrets read, and tells whether anything
	 * changed
	 * @param events the time line
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
			// The file is being replaced; the next reading comes in a second.
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
