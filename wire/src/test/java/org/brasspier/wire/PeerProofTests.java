package org.brasspier.wire;

import java.util.List;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Daemons prove the shared key to each other over HTTP as well.
 */
class PeerProofTests {

	private final SharedKeys keys = new SharedKeys(List.of("an-old-shared-key-1", "a-new-shared-key-2"));

	private final SharedKeys others = new SharedKeys(List.of("some-other-key-333"));

	private final byte[] body = { 1, 2, 3 };

	@Test
	void aQuestionIsProvedForItsPathAndRandomNumberOnly() {
		String nonce = PeerProof.nonce();
		String proof = PeerProof.ask(this.keys, "/peer/document", nonce);
		assertThat(PeerProof.asked(this.keys, "/peer/document", nonce, proof)).isTrue();
		assertThat(PeerProof.asked(this.keys, "/peer/measures", nonce, proof)).isFalse();
		assertThat(PeerProof.asked(this.keys, "/peer/document", PeerProof.nonce(), proof)).isFalse();
		assertThat(PeerProof.asked(this.others, "/peer/document", nonce, proof)).isFalse();
		assertThat(PeerProof.asked(this.keys, "/peer/document", nonce, "no hexadecimal")).isFalse();
	}

	@Test
	void anAnswerIsProvedForItsQuestionAndBodyOnly() {
		String nonce = PeerProof.nonce();
		String proof = PeerProof.answer(this.keys, nonce, this.body);
		assertThat(PeerProof.answered(this.keys, nonce, this.body, proof)).isTrue();
		assertThat(PeerProof.answered(this.keys, nonce, new byte[] { 1 }, proof)).isFalse();
		assertThat(PeerProof.answered(this.keys, PeerProof.nonce(), this.body, proof)).isFalse();
	}

	@Test
	void duringARotationEachKeyIsAccepted() {
		SharedKeys turned = new SharedKeys(List.of("a-new-shared-key-2", "an-old-shared-key-1"));
		String nonce = PeerProof.nonce();
		assertThat(PeerProof.asked(this.keys, "/", nonce, PeerProof.ask(turned, "/", nonce))).isTrue();
	}

}
