package org.brasspier.wire;

import java.nio.charset.StandardCharsets;
import java.util.List;

import org.brasspier.core.InstanceId;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

class HandshakeTests {

	private static final InstanceId A = new InstanceId("a");

	private static final InstanceId B = new InstanceId("b");

	private static final String OLD = "old-shared-key-0001";

	private static final String NEW = "new-shared-key-0002";

	@Test
	void bothSidesAuthenticateTheOther() throws WireException {
		Handshake connector = new Handshake(A, new SharedKeys(List.of(OLD)), Handshake.MAX_VERSION);
		Handshake acceptor = new Handshake(B, new SharedKeys(List.of(OLD)), Handshake.MAX_VERSION);
		Handshake.Accepted accepted = acceptor.accept(frame(connector.answer(frame(acceptor.challenge()))));
		assertThat(accepted.peer().instance()).isEqualTo(A);
		assertThat(connector.confirm(frame(accepted.reply())).instance()).isEqualTo(B);
	}

	@Test
	void aConnectorWithAnotherKeyIsRejected() throws WireException {
		Handshake connector = new Handshake(A, new SharedKeys(List.of(NEW)), Handshake.MAX_VERSION);
		Handshake acceptor = new Handshake(B, new SharedKeys(List.of(OLD)), Handshake.MAX_VERSION);
		byte[] answer = connector.answer(frame(acceptor.challenge()));
		assertThrows(WireException.class, () -> acceptor.accept(frame(answer)));
	}

	@Test
	void aRecordedProofIsRejectedOnAnotherConnection() throws WireException {
		SharedKeys keys = new SharedKeys(List.of(OLD));
		byte[] recorded = new Handshake(A, keys, Handshake.MAX_VERSION)
			.answer(frame(new Handshake(B, keys, Handshake.MAX_VERSION).challenge()));
		Handshake second = new Handshake(B, keys, Handshake.MAX_VERSION);
		second.challenge();
		assertThrows(WireException.class, () -> second.accept(frame(recorded)));
	}

	@Test
	void duringARotationTheOldAndTheNewKeyAreBothAccepted() throws WireException {
		Handshake connector = new Handshake(A, new SharedKeys(List.of(OLD, NEW)), Handshake.MAX_VERSION);
		Handshake acceptor = new Handshake(B, new SharedKeys(List.of(NEW, OLD)), Handshake.MAX_VERSION);
		Handshake.Accepted accepted = acceptor.accept(frame(connector.answer(frame(acceptor.challenge()))));
		assertThat(connector.confirm(frame(accepted.reply())).instance()).isEqualTo(B);
	}

	// Guards against daemons that reject each other during a key rotation: one has the
	// old and the new key, the other only one of them. One common key must be enough at
	// any position, and no key may be sent.
	@Test
	void oneCommonKeyIsEnoughAtAnyPosition() throws WireException {
		SharedKeys both = new SharedKeys(List.of(OLD, NEW));
		for (SharedKeys one : List.of(new SharedKeys(List.of(OLD)), new SharedKeys(List.of(NEW)))) {
			Handshake.Accepted accepted = open(new Handshake(A, both, Handshake.MAX_VERSION),
					new Handshake(B, one, Handshake.MAX_VERSION));
			assertThat(accepted.peer().instance()).isEqualTo(A);
			assertThat(open(new Handshake(A, one, Handshake.MAX_VERSION), new Handshake(B, both, Handshake.MAX_VERSION))
				.peer()
				.instance()).isEqualTo(A);
		}
	}

	private static Handshake.Accepted open(Handshake connector, Handshake acceptor) throws WireException {
		byte[] answer = connector.answer(frame(acceptor.challenge()));
		assertThat(new String(answer, StandardCharsets.ISO_8859_1)).doesNotContain("shared-key");
		Handshake.Accepted accepted = acceptor.accept(frame(answer));
		assertThat(connector.confirm(frame(accepted.reply())).instance()).isEqualTo(B);
		return accepted;
	}

	@Test
	void peersOfTwoVersionsUseTheEarlierOne() throws WireException {
		SharedKeys keys = new SharedKeys(List.of(OLD));
		Handshake earlier = new Handshake(A, keys, Handshake.MIN_VERSION);
		Handshake later = new Handshake(B, keys, Handshake.MAX_VERSION);
		assertThat(open(earlier, later).peer().version()).isEqualTo(Handshake.MIN_VERSION);
		assertThat(open(new Handshake(A, keys, Handshake.MAX_VERSION), new Handshake(B, keys, Handshake.MIN_VERSION))
			.peer()
			.version()).isEqualTo(Handshake.MIN_VERSION);
	}

	@Test
	void aPeerWithoutACommonVersionIsRejected() {
		byte[] challenge = new FrameWriter().number(7).number(9).bytes(new byte[16]).frame();
		Handshake connector = new Handshake(A, new SharedKeys(List.of(OLD)), Handshake.MAX_VERSION);
		assertThrows(WireException.class, () -> connector.answer(frame(challenge)));
	}

	private static FrameReader frame(byte[] bytes) throws WireException {
		return new FrameDecoder(1024).decode(bytes).getFirst();
	}

}
