package org.brasspier.wire;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.List;
import java.util.Optional;

import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

import org.jspecify.annotations.Nullable;

/**
 * The secret keys shared by peers. A process authenticates by each of its keys and
 * accepts each of them from others, so two processes can communicate as long as they have
 * one key in common. Keys are rotated without downtime: add the new key everywhere, then
 * remove the old one everywhere. Immutable and thread-safe. {@link #toString()} never
 * shows a key.
 */
public final class SharedKeys {

	private static final String ALGORITHM = "HmacSHA256";

	private static final int MIN_KEY_CHARACTERS = 16;

	/**
	 * A rotation needs two keys at a time. More than this would exceed the size limit of
	 * the handshake and let an unauthenticated peer cost an acceptor more work.
	 */
	static final int MAX_KEYS = 8;

	private final List<String> keys;

	/**
	 * Creates the set of keys.
	 * @param keys the keys, in any order
	 * @throws IllegalArgumentException if there is none, one is too short, or there are
	 * more than {@value #MAX_KEYS}
	 */
	public SharedKeys(List<String> keys) {
		if (keys.size() > MAX_KEYS) {
			throw new IllegalArgumentException(
					"there must be %d shared keys or fewer (see TROUBLESHOOTING.md#shared-key)".formatted(MAX_KEYS));
		}
		if (keys.isEmpty() || keys.stream().anyMatch((key) -> key.length() < MIN_KEY_CHARACTERS)) {
			throw new IllegalArgumentException(
					"shared keys must be at least one, each of %d characters or more (see TROUBLESHOOTING.md#shared-key)"
						.formatted(MIN_KEY_CHARACTERS));
		}
		this.keys = List.copyOf(keys);
	}

	List<byte[]> prove(byte[] message) {
		return this.keys.stream().map((key) -> mac(key, message)).toList();
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
	public boolean equals(@Nullable Object other) {
		return other instanceof SharedKeys that && this.keys.equals(that.keys);
	}

	@Override
	public int hashCode() {
		return this.keys.hashCode();
	}

	@Override
	public String toString() {
		return "SharedKeys[%d]".formatted(this.keys.size());
	}

}
