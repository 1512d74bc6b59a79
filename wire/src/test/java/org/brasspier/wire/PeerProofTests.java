package org.brasspier.wire;

import java.util.List;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * HTTP calls between daemons are authenticated by the shared keys.
 */
class PeerProofTests {

	private final SharedKeys keys = new SharedKeys(List.of("an-old-shared-key-1", "a-new-shared-key-2"));

	private final SharedKeys others = new SharedKeys(List.of("some-other-key-333"));

	private final byte[] body = { 1, 2, 3 };

	@Test
	void aRequestProofIsValidForItsPathAndNonceOnly() {
		String nonce = PeerProof.nonce();
		String proof = PeerProof.proveRequest(this.keys, "/peer/document", nonce);
		assertThat(PeerProof.verifyRequest(this.keys, "/peer/document", nonce, proof)).isTrue();
		assertThat(PeerProof.verifyRequest(this.keys, "/peer/measures", nonce, proof)).isFalse();
		assertThat(PeerProof.verifyRequest(this.keys, "/peer/document", PeerProof.nonce(), proof)).isFalse();
		assertThat(PeerProof.verifyRequest(this.others, "/peer/document", nonce, proof)).isFalse();
		assertThat(PeerProof.verifyRequest(this.keys, "/peer/document", nonce, "no hexadecimal")).isFalse();
	}

	@Test
	void aResponseProofIsValidForItsNonceAndBodyOnly() {
		String nonce = PeerProof.nonce();
		String proof = PeerProof.proveResponse(this.keys, nonce, this.body);
		assertThat(PeerProof.verifyResponse(this.keys, nonce, this.body, proof)).isTrue();
		assertThat(PeerProof.verifyResponse(this.keys, nonce, new byte[] { 1 }, proof)).isFalse();
		assertThat(PeerProof.verifyResponse(this.keys, PeerProof.nonce(), this.body, proof)).isFalse();
	}

	@Test
	void everyKeyIsAcceptedDuringARotation() {
		SharedKeys reordered = new SharedKeys(List.of("a-new-shared-key-2", "an-old-shared-key-1"));
		String nonce = PeerProof.nonce();
		assertThat(PeerProof.verifyRequest(this.keys, "/", nonce, PeerProof.proveRequest(reordered, "/", nonce)))
			.isTrue();
	}

}
