package org.brasspier.daemon.internal.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;

/**
 * Parses secrets from the lines of a file or the parts of an environment variable,
 * ignoring blank ones. Stateless and thread-safe.
 */
public final class SecretLines {

	private static final int MIN_OPERATOR_SECRET_LENGTH = 8;

	private SecretLines() {
	}

	/**
	 * Reads the secrets in a file, one per line.
	 * @param file the file
	 * @return the secrets, at least one
	 * @throws IOException if the file can't be read
	 * @throws IllegalArgumentException if the file contains no secret
	 */
	public static List<String> read(Path file) throws IOException {
		return parse(Files.readAllLines(file).toArray(String[]::new));
	}

	static List<String> parse(String... lines) {
		List<String> secrets = Arrays.stream(lines).map(String::strip).filter((line) -> !line.isEmpty()).toList();
		if (secrets.isEmpty()) {
			throw new IllegalArgumentException("no secret is given");
		}
		return secrets;
	}

	/**
	 * Validates the operators' secrets.
	 * @param secrets the secrets
	 * @return the secrets passed in
	 * @throws IllegalArgumentException if a secret is too short
	 */
	public static List<String> validateOperatorSecrets(List<String> secrets) {
		if (secrets.stream().anyMatch((secret) -> secret.length() < MIN_OPERATOR_SECRET_LENGTH)) {
			throw new IllegalArgumentException(
					"each secret must have at least %d characters".formatted(MIN_OPERATOR_SECRET_LENGTH));
		}
		return secrets;
	}

}
