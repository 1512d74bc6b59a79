package org.brasspier.daemon.internal.operator;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.List;
import java.util.function.Supplier;

import org.brasspier.daemon.internal.settings.SecretLines;

/**
 * The operators' secrets, each of them accepted, so that they're rotated without a stop:
 * add the new one everywhere, let each operator change, take the old one out. A secret
 * may have a name, {@code NAME SECRET}; where the document in force lists names, a named
 * secret that it doesn't list is no longer accepted. Thread-safe; never prints a secret.
 */
public final class OperatorSecrets {

	private final Supplier<List<String>> acceptedNames;

	private volatile List<Secret> secrets;

	/**
	 * Creates the set.
	 * @param lines the secrets
	 * @param acceptedNames the names that the document in force lists; empty for all
	 */
	public OperatorSecrets(List<String> lines, Supplier<List<String>> acceptedNames) {
		this.secrets = parse(lines);
		this.acceptedNames = acceptedNames;
	}

	/**
	 * Replaces the secrets.
	 * @param lines the secrets as read anew
	 * @return whether anything changed
	 * @throws IllegalArgumentException if one is too short; the present ones stay
	 */
	public boolean replace(List<String> lines) {
		List<Secret> replacement = parse(SecretLines.checkedOperatorSecrets(lines));
		boolean changed = !replacement.equals(this.secrets);
		this.secrets = replacement;
		return changed;
	}

	private static List<Secret> parse(List<String> lines) {
		return lines.stream().map(Secret::parse).toList();
	}

	/**
	 * Whether somebody knows one of the secrets.
	 * @param candidate what was offered
	 * @return true if it's one of those accepted
	 */
	public boolean accepts(String candidate) {
		boolean matches = false;
		// All are compared, each in constant time, so that the time tells nothing.
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
		// A document whose names no file has would lock out every operator, and with
		// them whoever could mend it.
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
