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
		List<Secret> fresh = parse(SecretLines.validateOperatorSecrets(lines));
		boolean changed = !fresh.equals(this.secrets);
		this.secrets = fresh;
		return changed;
	}

	private static List<Secret> parse(List<String> lines) {
		return lines.stream().map(Secret::parse).toList();
	}

	/**
	 * Whether somebody knows one of the secrets.
	 * @param offered what was offered
	 * @return true if it's one of those accepted
	 */
	public boolean accepts(String offered) {
		boolean known = false;
		// All are compared, each in constant time, so that the time tells nothing.
		for (Secret secret : accepted()) {
			known |= MessageDigest.isEqual(secret.bytes(), offered.getBytes(StandardCharsets.UTF_8));
		}
		return known;
	}

	private List<Secret> accepted() {
		List<Secret> present = this.secrets;
		List<String> names = this.acceptedNames.get();
		List<Secret> listed = present.stream()
			.filter((secret) -> secret.name().isEmpty() || names.contains(secret.name()))
			.toList();
		// A document whose names no file has would lock out every operator, and with
		// them whoever could mend it.
		return (names.isEmpty() || listed.isEmpty()) ? present : listed;
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
