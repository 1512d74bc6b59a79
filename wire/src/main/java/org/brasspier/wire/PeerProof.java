package org.brasspier.wire;

import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.stream.Collectors;

/**
 * Authenticates the HTTP calls between daemons by MACs with the shared keys. The client
 * signs the path and a nonce, the server signs this nonce and the response body, so that
 * no third party can forge a response. A recorded request can be replayed, which is
 * harmless: the responses hold no secrets. Stateless and thread-safe.
 */
public final class PeerProof {

	private static final SecureRandom RANDOM = new SecureRandom();

	private static final int NONCE_BYTES = 16;

	private PeerProof() {
	}

	/**
	 * Returns a random nonce for a request.
	 * @return 32 hexadecimal digits
	 */
	public static String nonce() {
		byte[] nonce = new byte[NONCE_BYTES];
		RANDOM.nextBytes(nonce);
		return HexFormat.of().formatHex(nonce);
	}

	/**
	 * Creates the proof of a request.
	 * @param keys the shared keys
	 * @param path the path of the request
	 * @param nonce the nonce of the request
	 * @return one proof by each key, in hexadecimal, separated by commas
	 */
	public static String proveRequest(SharedKeys keys, String path, String nonce) {
		return proofs(keys, requestMessage(path, nonce));
	}

	/**
	 * Verifies the proof of a request.
	 * @param keys the shared keys
	 * @param path the path of the request
	 * @param nonce the nonce of the request
	 * @param proof the proof received with it
	 * @return whether the client knows a shared key
	 */
	public static boolean verifyRequest(SharedKeys keys, String path, String nonce, String proof) {
		return verify(keys, requestMessage(path, nonce), proof);
	}

	/**
	 * Creates the proof of a response.
	 * @param keys the shared keys
	 * @param nonce the nonce of the request
	 * @param body the body of the response
	 * @return one proof by each key, in hexadecimal, separated by commas
	 */
	public static String proveResponse(SharedKeys keys, String nonce, byte[] body) {
		return proofs(keys, responseMessage(nonce, body));
	}

	/**
	 * Verifies the proof of a response.
	 * @param keys the shared keys
	 * @param nonce the nonce of the request
	 * @param body the body of the response
	 * @param proof the proof received with it
	 * @return whether the server knows a shared key
	 */
	public static boolean verifyResponse(SharedKeys keys, String nonce, byte[] body, String proof) {
		return verify(keys, responseMessage(nonce, body), proof);
	}

	private static String proofs(SharedKeys keys, byte[] message) {
		return keys.prove(message).stream().map(HexFormat.of()::formatHex).collect(Collectors.joining(","));
	}

	private static boolean verify(SharedKeys keys, byte[] message, String proofs) {
		try {
			return Arrays.stream(proofs.split(",", SharedKeys.MAX_KEYS))
				.anyMatch((proof) -> keys.matching(message, HexFormat.of().parseHex(proof)).isPresent());
		}
		catch (IllegalArgumentException ex) {
			return false;
		}
	}

	private static byte[] requestMessage(String path, String nonce) {
		return ("brasspier peer question\n" + nonce + "\n" + path).getBytes(StandardCharsets.UTF_8);
	}

	private static byte[] responseMessage(String nonce, byte[] body) {
		return ("brasspier peer answer\n" + nonce + "\n" + StoredState.checksum(body)).getBytes(StandardCharsets.UTF_8);
	}

}
