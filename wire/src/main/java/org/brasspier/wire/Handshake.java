package org.brasspier.wire;

import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;

import org.brasspier.core.InstanceId;

/**
 * Mutual authentication and version negotiation of a new connection between two daemons.
 * The acceptor sends a challenge with a nonce. The connector answers with its own nonce
 * and one MAC over both nonces by each of its keys. The acceptor replies with a MAC by
 * the key that matched. No key is sent, and a recorded proof cannot be replayed, since
 * the nonces are new for each connection. The highest version that both sides support is
 * used. One object serves one connection. Not thread-safe.
 */
public final class Handshake {

	/** The lowest version of the peer protocol that this build speaks. */
	public static final int MIN_VERSION = 1;

	/** The highest version of the peer protocol that this build speaks. */
	public static final int MAX_VERSION = 2;

	private static final int NONCE_BYTES = 16;

	private static final SecureRandom RANDOM = new SecureRandom();

	private final InstanceId self;

	private final SharedKeys keys;

	private final int maxVersion;

	private final byte[] nonce = new byte[NONCE_BYTES];

	private byte[] transcript = new byte[0];

	private int version;

	/**
	 * Creates a handshake for one connection.
	 * @param self this instance
	 * @param keys the shared keys
	 * @param maxVersion the highest version to speak, {@link #MIN_VERSION} to
	 * {@link #MAX_VERSION}
	 */
	public Handshake(InstanceId self, SharedKeys keys, int maxVersion) {
		if (maxVersion < MIN_VERSION || maxVersion > MAX_VERSION) {
			throw new IllegalArgumentException("peer version %d must be %d to %d (see TROUBLESHOOTING.md#settings)"
				.formatted(maxVersion, MIN_VERSION, MAX_VERSION));
		}
		this.self = self;
		this.keys = keys;
		this.maxVersion = maxVersion;
		RANDOM.nextBytes(this.nonce);
	}

	/**
	 * Acceptor, step 1: creates the challenge.
	 * @return the frame to send
	 */
	public byte[] challenge() {
		return new FrameWriter().number(MIN_VERSION).number(this.maxVersion).bytes(this.nonce).frame();
	}

	/**
	 * Connector, step 1: answers the challenge.
	 * @param challenge the frame received
	 * @return the frame to send
	 * @throws WireException if the challenge is malformed or there is no common version
	 */
	public byte[] answer(FrameReader challenge) throws WireException {
		int lowest = challenge.integer();
		int highest = challenge.integer();
		byte[] peerNonce = challenge.bytes();
		this.version = Math.min(highest, this.maxVersion);
		if (this.version < Math.max(lowest, MIN_VERSION)) {
			throw new WireException("peer speaks versions %d to %d, this daemon %d to %d".formatted(lowest, highest,
					MIN_VERSION, this.maxVersion));
		}
		this.transcript = transcript(this.version, this.self, peerNonce, this.nonce);
		FrameWriter answer = new FrameWriter().number(this.version).text(this.self.value()).bytes(this.nonce);
		// An acceptor that reads only one proof ignores the others.
		this.keys.prove(this.transcript).forEach(answer::bytes);
		return answer.frame();
	}

	/**
	 * Acceptor, step 2: verifies the connector's proofs.
	 * @param answer the frame received
	 * @return the authenticated peer and the frame to send
	 * @throws WireException if the proof is wrong or the frame is malformed
	 */
	public Accepted accept(FrameReader answer) throws WireException {
		int version = answer.integer();
		InstanceId peer = instance(answer);
		byte[] peerNonce = answer.bytes();
		List<byte[]> proofs = proofs(answer);
		if (version < MIN_VERSION || version > this.maxVersion) {
			throw new WireException("peer chose version %d, which was not offered".formatted(version));
		}
		byte[] message = transcript(version, peer, this.nonce, peerNonce);
		String key = proofs.stream()
			.flatMap((proof) -> this.keys.matching(message, proof).stream())
			.findFirst()
			.orElseThrow(() -> new WireException("peer %s does not know the shared key".formatted(peer)));
		byte[] reply = new FrameWriter().text(this.self.value())
			.bytes(this.keys.proveWith(key, reply(message, this.self)))
			.frame();
		return new Accepted(new Peer(peer, version), reply);
	}

	/**
	 * Connector, step 2: verifies the acceptor's proof.
	 * @param reply the frame received
	 * @return the authenticated peer
	 * @throws WireException if the proof is wrong or the frame is malformed
	 */
	public Peer confirm(FrameReader reply) throws WireException {
		InstanceId peer = instance(reply);
		byte[] proof = reply.bytes();
		if (this.keys.matching(reply(this.transcript, peer), proof).isEmpty()) {
			throw new WireException("peer %s does not know the shared key".formatted(peer));
		}
		return new Peer(peer, this.version);
	}

	private static List<byte[]> proofs(FrameReader answer) throws WireException {
		List<byte[]> proofs = new ArrayList<>(List.of(answer.bytes()));
		while (answer.hasMore()) {
			if (proofs.size() == SharedKeys.MAX_KEYS) {
				throw new WireException("a peer sent more than %d proofs".formatted(SharedKeys.MAX_KEYS));
			}
			proofs.add(answer.bytes());
		}
		return proofs;
	}

	private static InstanceId instance(FrameReader frame) throws WireException {
		try {
			return new InstanceId(frame.text());
		}
		catch (IllegalArgumentException ex) {
			throw new WireException("peer has no valid instance id", ex);
		}
	}

	private static byte[] transcript(int version, InstanceId connector, byte[] acceptorNonce, byte[] connectorNonce) {
		return new FrameWriter().text("brasspier connector")
			.number(version)
			.text(connector.value())
			.bytes(acceptorNonce)
			.bytes(connectorNonce)
			.frame();
	}

	private static byte[] reply(byte[] transcript, InstanceId acceptor) {
		return new FrameWriter().text("brasspier acceptor").text(acceptor.value()).bytes(transcript).frame();
	}

	/**
	 * A peer that has proved knowledge of a shared key.
	 *
	 * @param instance the instance of the peer
	 * @param version the version of the protocol to speak with it
	 */
	public record Peer(InstanceId instance, int version) {

	}

	/**
	 * The result of the handshake on the acceptor's side.
	 *
	 * @param peer the authenticated peer
	 * @param reply the frame to send
	 */
	public record Accepted(Peer peer, byte[] reply) {

	}

}
