package org.brasspier.wire.document;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

import org.brasspier.core.ErrorKind;
import org.brasspier.core.document.Document;
import org.brasspier.core.document.FieldPath;
import org.brasspier.wire.StoredState;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Stored versions and pointers decode to what was encoded; damaged, newer or incomplete
 * data is rejected.
 */
class DocumentCodecTests {

	private final StoredDocument stored = new StoredDocument(3, "ab", "s-1", 1000,
			Document.of(Map.of(new FieldPath("weights/churn"), "2")));

	@Test
	void aVersionDecodesToWhatWasEncoded() {
		assertThat(DocumentCodec.decode(DocumentCodec.encode(this.stored)).get()).isEqualTo(this.stored);
	}

	@Test
	void thePointerDecodesToWhatWasEncoded() {
		DocumentPointer pointer = new DocumentPointer(3, "cd", List.of(new DocumentPointer.Accepted("s-1", 3, "cd")));
		assertThat(DocumentCodec.decodePointer(DocumentCodec.encodePointer(pointer)).get()).isEqualTo(pointer);
	}

	@Test
	void aDamagedVersionIsRejected() {
		byte[] bytes = DocumentCodec.encode(this.stored);
		bytes[bytes.length - 3] ^= 1;
		assertThat(DocumentCodec.decode(bytes).getLeft().kind()).isEqualTo(ErrorKind.STATE_UNREADABLE);
	}

	@Test
	void newerFormatsAndMissingFieldsAreRejected() {
		assertThat(rejection("{\"format\":2,\"version\":1,\"hash\":\"ab\",\"recent\":[]}")).contains("format 2");
		assertThat(rejection("{\"format\":1,\"version\":1,\"recent\":[]}")).contains("lacks hash");
		assertThat(rejection("{\"format\":1,\"version\":0,\"hash\":\"ab\",\"recent\":[]}")).contains("version 0");
		assertThat(rejection("")).contains("empty");
	}

	private static String rejection(String json) {
		return DocumentCodec.decodePointer(StoredState.wrap(json.getBytes(StandardCharsets.UTF_8))).getLeft().detail();
	}

}
