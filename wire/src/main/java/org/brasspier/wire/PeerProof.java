package org.brasspier.wire;

import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.stream.Collectors;

/**
 * Proofs by the shared key for the few calls that daemons make to each other over HTTP.
 * The asker proves itself over what it asks and a random number, the answerer over that
 * number and the answer, so that nobody in between can make up an answer. A recorded
 * question could be asked again; what it fetches holds no secret. Stateless and
 * thread-safe.
 */
public final class PeerProof {

	private static final SecureRandom RANDOM = new SecureRandom();

	private static final int NONCE_BYTES = 16;

	private PeerProof() {
	}

	/**
	 * A random number for a question.
	 * @return 32 hexadecimal digits
	 */
	public static String nonce() {
		byte[] nonce = new byte[NONCE_BYTES];
		RANDOM.nextBytes(nonce);
		return HexFormat.of().formatHex(nonce);
	}

	/**
	 * Proves a question.
	 * @param keys the shared keys
	 * @param path what is asked
	 * @param nonce the question's random number
	 * @return a proof by each key, in hexadecimal, by comma
	 */
	public static String proveRequest(SharedKeys keys, String path, String nonce) {
		return proofs(keys, question(path, nonce));
	}

	/**
	 * Checks the proof of a question.
	 * @param keys the shared keys
	 * @param path what is asked
	 * @param nonce the question's random number
	 * @param proof the proof that came with it
	 * @return whether the asker knows a shared key
	 */
	public static boolean verifyRequest(SharedKeys keys, String path, String nonce, String proof) {
		return holds(keys, question(path, nonce), proof);
	}

	/**
	 * Proves an answer.
	 * @param keys the shared keys
	 * @param nonce the question's random number
	 * @param body the answer
	 * @return a proof by each key, in hexadecimal, by comma
	 */
	public static String proveResponse(SharedKeys keys, String nonce, byte[] body) {
		return proofs(keys, reply(nonce, body));
	}

	/**
	 * Checks the proof of an answer.
	 * @param keys the shared keys
	 * @param nonce the question's random number
	 * @param body the answer
	 * @param proof the proof that came with it
	 * @return whether the answerer knows a shared key
	 */
	public static boolean verifyResponse(SharedKeys keys, String nonce, byte[] body, String proof) {
		return holds(keys, reply(nonce, body), proof);
	}

	private static String proofs(SharedKeys keys, byte[] message) {
		return keys.prove(message).stream().map(HexFormat.of()::formatHex).collect(Collectors.joining(","));
	}

	private static boolean holds(SharedKeys keys, byte[] message, String proofs) {
		try {
			return Arrays.stream(proofs.split(",", SharedKeys.MAX_KEYS))
				.anyMatch((proof) -> keys.matching(message, HexFormat.of().parseHex(proof)).isPresent());
		}
		catch (IllegalArgumentException ex) {
			return false;
		}
	}

	private static byte[] question(String path, String nonce) {
		return ("brasspier peer question\n" + nonce + "\n" + path).getBytes(StandardCharsets.UTF_8);
	}

	private static byte[] reply(String nonce, byte[] body) {
		return ("brasspier peer answer\n" + nonce + "\n" + StoredState.checksum(body)).getBytes(StandardCharsets.UTF_8);
	}

}
