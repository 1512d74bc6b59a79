package org.brasspier.wire;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

class FramePiecesTests {

	private static final byte[] LARGE = new byte[100_000];

	static {
		new Random(3).nextBytes(LARGE);
	}

	private static byte[] large() {
		return new FrameWriter().number(7).bytes(LARGE).frame();
	}

	private static byte[] small(long number) {
		return new FrameWriter().number(number).frame();
	}

	private static List<byte[]> pieces(byte[] frame, int pieceBytes) {
		List<byte[]> pieces = new ArrayList<>();
		new FramePieces(frame, pieceBytes).forEachRemaining(pieces::add);
		return pieces;
	}

	@Test
	void aFrameInPiecesIsReassembledWithOthersInBetween() throws WireException {
		FrameDecoder decoder = new FrameDecoder(200_000);
		List<FrameReader> decoded = new ArrayList<>();
		for (byte[] piece : pieces(large(), 16_384)) {
			decoded.addAll(decoder.decode(small(1)));
			decoded.addAll(decoder.decode(piece));
		}
		assertThat(decoded).hasSize(8);
		assertThat(decoder.pendingBytes()).isEqualTo(0);
		FrameReader last = decoded.get(7);
		assertThat(last.isInPieces()).isTrue();
		assertThat(last.number()).isEqualTo(7);
		assertThat(last.bytes()).isEqualTo(LARGE);
		assertThat(decoded.get(6).isInPieces()).isFalse();
		assertThat(decoded.get(6).number()).isEqualTo(1);
	}

	/** Guards against a peer that exhausts memory by a frame without a last piece. */
	@Test
	void aFrameInPiecesIsSubjectToTheFrameLimit() {
		FrameDecoder decoder = new FrameDecoder(50_000);
		assertThrows(WireException.class, () -> {
			for (byte[] piece : pieces(large(), 16_384)) {
				decoder.decode(piece);
			}
		});
	}

	@Test
	void aPieceWithoutItsHeaderIsRejected() {
		assertThrows(WireException.class,
				() -> new FrameDecoder(50_000).decode(new byte[] { 0, 0, 0, 1, FramePieces.MARKER }));
	}

	@Test
	void aFrameWithoutReturnedPiecesIsAvailableWhole() {
		FramePieces pieces = new FramePieces(large(), 1000);
		assertThat(pieces.whole()).isEqualTo(large());
		assertThat(pieces.hasNext()).isFalse();
	}

	@Test
	void compressedFieldsDecodeToWhatWasEncoded() throws WireException {
		byte[] text = new byte[60_000];
		Arrays.fill(text, (byte) 'x');
		byte[] frame = new FrameWriter().compressed(new FrameWriter().bytes(text).frame()).frame();
		assertThat(frame.length).isLessThan(1_000);
		FrameReader reader = new FrameDecoder(100_000).decode(frame).get(0);
		assertThat(reader.compressed(100_000).bytes()).isEqualTo(text);
	}

	/** Guards against a few compressed bytes that exhaust memory when decompressed. */
	@Test
	void compressedFieldsAreSubjectToALimit() throws WireException {
		byte[] frame = new FrameWriter().compressed(new FrameWriter().bytes(new byte[60_000]).frame()).frame();
		FrameReader reader = new FrameDecoder(100_000).decode(frame).get(0);
		assertThrows(WireException.class, () -> reader.compressed(10_000));
	}

	@Test
	void damagedCompressedFieldsAreRejected() throws WireException {
		byte[] frame = new FrameWriter().bytes(new byte[] { 1, 2, 3 }).frame();
		FrameReader reader = new FrameDecoder(100_000).decode(frame).get(0);
		assertThrows(WireException.class, () -> reader.compressed(10_000));
	}

}
