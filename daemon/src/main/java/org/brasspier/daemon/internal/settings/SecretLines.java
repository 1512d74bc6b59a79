package org.brasspier.daemon.internal.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;

/**
 * Secrets as they stand in a file or a variable: one a line, blank ones don't count.
 * Stateless and thread-safe.
 */
public final class SecretLines {

	private static final int MIN_OPERATOR_SECRET_LENGTH = 8;

	private SecretLines() {
	}

	/**
	 * Reads a file.
	 * @param file the file
	 * @return its secrets, at least one
	 * @throws IOException if it can't be read
	 * @throws IllegalArgumentException if it holds none
	 */
	public static List<String> read(Path file) throws IOException {
		return parse(Files.readAllLines(file).toArray(String[]::new));
	}

	static List<String> parse(String... lines) {
		List<String> secrets = Arrays.stream(lines).map(String::strip).filter((line) -> !line.isEmpty()).toList();
		if (secrets.isEmpty()) {
			throw new IllegalArgumentException("none is given");
		}
		return secrets;
	}

	/**
	 * Checks operators' secrets.
	 * @param secrets the secrets
	 * @return the same
	 * @throws IllegalArgumentException if one is too short
	 */
	public static List<String> validateOperatorSecrets(List<String> secrets) {
		if (secrets.stream().anyMatch((secret) -> secret.length() < MIN_OPERATOR_SECRET_LENGTH)) {
			throw new IllegalArgumentException(
					"each must have %d characters or more".formatted(MIN_OPERATOR_SECRET_LENGTH));
		}
		return secrets;
	}

}
