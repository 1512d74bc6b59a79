package org.brasspier.daemon.internal.operator;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.List;
import java.util.function.Supplier;

import org.brasspier.daemon.internal.settings.SecretLines;

/**
 * The operators' secrets. Each of them is accepted, so that secrets can be rotated
 * without a restart: add the new secret on all daemons, let each operator switch to it,
 * then remove the old one. A secret may have a name, written {@code NAME SECRET}. If the
 * document in force lists names, named secrets that are not on the list are refused.
 * Thread-safe; never prints a secret.
 */
public final class OperatorSecrets {

	private final Supplier<List<String>> acceptedNames;

	private volatile List<Secret> secrets;

	/**
	 * Creates the set.
	 * @param lines the secrets, each with or without a name
	 * @param acceptedNames the names that the document in force lists; empty to accept
	 * all
	 */
	public OperatorSecrets(List<String> lines, Supplier<List<String>> acceptedNames) {
		this.secrets = parse(lines);
		this.acceptedNames = acceptedNames;
	}

	/**
	 * Replaces the secrets.
	 * @param lines the new secrets
	 * @return whether anything changed
	 * @throws IllegalArgumentException if one is too short; the current ones stay in use
	 */
	public boolean replace(List<String> lines) {
		List<Secret> replacement = parse(SecretLines.validateOperatorSecrets(lines));
		boolean changed = !replacement.equals(this.secrets);
		this.secrets = replacement;
		return changed;
	}

	private static List<Secret> parse(List<String> lines) {
		return lines.stream().map(Secret::parse).toList();
	}

	/**
	 * Checks a secret sent by a client.
	 * @param candidate the secret to check
	 * @return true if it is one of the accepted secrets
	 */
	public boolean accepts(String candidate) {
		boolean matches = false;
		// Compares with all secrets, each in constant time, to prevent timing attacks.
		for (Secret secret : acceptedSecrets()) {
			matches |= MessageDigest.isEqual(secret.bytes(), candidate.getBytes(StandardCharsets.UTF_8));
		}
		return matches;
	}

	private List<Secret> acceptedSecrets() {
		List<Secret> current = this.secrets;
		List<String> listedNames = this.acceptedNames.get();
		List<Secret> listed = current.stream()
			.filter((secret) -> secret.name().isEmpty() || listedNames.contains(secret.name()))
			.toList();
		// If the document lists none of the secrets, all of them stay accepted. Otherwise
		// all operators would be locked out and nobody could submit a corrected document.
		return (listedNames.isEmpty() || listed.isEmpty()) ? current : listed;
	}

	@Override
	public String toString() {
		return "OperatorSecrets[%d]".formatted(this.secrets.size());
	}

	/**
	 * One secret.
	 *
	 * @param name its name, empty if it has none
	 * @param value the secret
	 */
	private record Secret(String name, String value) {

		static Secret parse(String line) {
			String[] parts = line.strip().split("\\s+", 2);
			return (parts.length == 2) ? new Secret(parts[0], parts[1]) : new Secret("", parts[0]);
		}

		byte[] bytes() {
			return this.value.getBytes(StandardCharsets.UTF_8);
		}

		@Override
		public String toString() {
			return "Secret[]";
		}

	}

}
