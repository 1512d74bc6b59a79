package org.brasspier.daemon.internal.operator;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.brasspier.core.event.EventKind;
import org.brasspier.daemon.internal.event.EventLog;

/**
 * Reads the file of the operators' secrets anew when it has changed. A file that can't be
 * read or holds none leaves the secrets as they are: a slip while it's replaced must not
 * lock operators out. Belongs to the thread of operators.
 */
final class SecretsFile {

	private static final int MIN_CHARACTERS = 8;

	private final Path file;

	private final OperatorSecrets secrets;

	private final EventLog events;

	SecretsFile(Path file, OperatorSecrets secrets, EventLog events) {
		this.file = file;
		this.secrets = secrets;
		this.events = events;
	}

	void readAnew() {
		try {
			List<String> lines = Files.readAllLines(this.file)
				.stream()
				.map(String::strip)
				.filter((line) -> line.length() >= MIN_CHARACTERS)
				.toList();
			if (!lines.isEmpty() && this.secrets.replace(lines)) {
				this.events.record(EventKind.SECRETS_READ, "operators", lines.size() + " accepted");
			}
		}
		catch (IOException ex) {
			// The next reading comes in a second.
		}
	}

}
