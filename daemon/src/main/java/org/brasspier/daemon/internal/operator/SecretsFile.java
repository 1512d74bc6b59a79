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
final class SecretsFile {

	private final Path file;

	private final String whose;

	private final Predicate<List<String>> replace;

	private final EventLog events;

	private List<String> latest = List.of();

	/**
	 * Creates a reader that has read nothing yet.
	 * @param file the file
	 * @param whose whose secrets they are, for the time line
	 * @param replace takes over the secrets read, and tells whether anything changed
	 * @param events the time line
	 */
	SecretsFile(Path file, String whose, Predicate<List<String>> replace, EventLog events) {
		this.file = file;
		this.whose = whose;
		this.replace = replace;
		this.events = events;
	}

	void readAnew() {
		try {
			List<String> lines = SecretLines.read(this.file);
			if (!lines.equals(this.latest)) {
				this.latest = lines;
				takeOver(lines);
			}
		}
		catch (IOException | IllegalArgumentException ex) {
			// The file is being replaced; the next reading comes in a second.
		}
	}

	private void takeOver(List<String> lines) {
		try {
			if (this.replace.test(lines)) {
				this.events.record(EventKind.SECRETS_READ, this.whose, lines.size() + " accepted");
			}
		}
		catch (IllegalArgumentException ex) {
			this.events.record(EventKind.SECRETS_REFUSED, this.whose, String.valueOf(ex.getMessage()));
		}
	}

}
