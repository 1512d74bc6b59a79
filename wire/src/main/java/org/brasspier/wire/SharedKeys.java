package org.brasspier.wire;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.List;
import java.util.Optional;

import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * The keys that peers share. The first one proves this process to others, each one is
 * accepted from others, so that keys are rotated without a stop: add the new one
 * everywhere as second, make it first everywhere, drop the old one. Immutable and
 * thread-safe; never prints a key.
 */
public final class SharedKeys {

	private static final String ALGORITHM = "HmacSHA256";

	private static final int MIN_KEY_CHARACTERS = 16;

	private final List<String> keys;

	/**
	 * Creates the set of keys.
	 * @param keys the keys, the one to prove with first
	 * @throws IllegalArgumentException if there is none or one is too short
	 */
	public SharedKeys(List<String> keys) {
		if (keys.isEmpty() || keys.stream().anyMatch((key) -> key.length() < MIN_KEY_CHARACTERS)) {
			throw new IllegalArgumentException(
					"shared keys must be at least one, each of %d characters or more (see TROUBLESHOOTING.md#shared-key)"
						.formatted(MIN_KEY_CHARACTERS));
		}
		this.keys = List.copyOf(keys);
	}

	byte[] prove(byte[] message) {
		return mac(this.keys.getFirst(), message);
	}

	byte[] proveWith(String key, byte[] message) {
		return mac(key, message);
	}

	Optional<String> matching(byte[] message, byte[] proof) {
		return this.keys.stream().filter((key) -> MessageDigest.isEqual(mac(key, message), proof)).findFirst();
	}

	private static byte[] mac(String key, byte[] message) {
		try {
			Mac mac = Mac.getInstance(ALGORITHM);
			mac.init(new SecretKeySpec(key.getBytes(StandardCharsets.UTF_8), ALGORITHM));
			return mac.doFinal(message);
		}
		catch (GeneralSecurityException ex) {
			throw new IllegalStateException("this JDK has no " + ALGORITHM, ex);
		}
	}

	@Override
	public String toString() {
		return "SharedKeys[%d]".formatted(this.keys.size());
	}

}
