package org.brasspier.wire.document;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;

import com.google.gson.FieldNamingPolicy;
import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import com.google.gson.JsonParseException;
import io.vavr.control.Either;
import org.brasspier.core.ErrorKind;
import org.brasspier.core.Failure;
import org.brasspier.core.document.Document;
import org.brasspier.core.document.FieldPath;
import org.brasspier.wire.StoredState;
import org.jspecify.annotations.Nullable;

/**
 * Encodes and decodes the stored versions of the configuration document and the pointer
 * row: JSON inside the envelope of {@link StoredState}. Damaged data and newer formats
 * are rejected. Stateless and thread-safe.
 */
public final class DocumentCodec {

	private static final Gson GSON = new GsonBuilder()
		.setFieldNamingPolicy(FieldNamingPolicy.LOWER_CASE_WITH_UNDERSCORES)
		.disableHtmlEscaping()
		.create();

	private DocumentCodec() {
	}

	/**
	 * Encodes a version of the document.
	 * @param stored the version
	 * @return the bytes to store, in the object named by their {@link #hash(byte[])}
	 */
	public static byte[] encode(StoredDocument stored) {
		return wrap(new BodyJson(Document.FORMAT, stored.version(), stored.previousHash(), stored.submission(),
				stored.submittedMillis(), fields(stored.document())));
	}

	/**
	 * Returns the hash under which an object is stored.
	 * @param bytes the object's bytes
	 * @return 64 hexadecimal digits
	 */
	public static String hash(byte[] bytes) {
		return StoredState.checksum(bytes);
	}

	/**
	 * Decodes a version of the document.
	 * @param bytes the stored bytes
	 * @return the version, or why it is rejected
	 */
	public static Either<Failure, StoredDocument> decode(byte[] bytes) {
		return read(bytes, BodyJson.class, BodyJson::stored);
	}

	/**
	 * Encodes the pointer row.
	 * @param pointer the pointer
	 * @return the bytes to store
	 */
	public static byte[] encodePointer(DocumentPointer pointer) {
		return wrap(new PointerJson(Document.FORMAT, pointer.version(), pointer.hash(), pointer.recent()));
	}

	/**
	 * Decodes the pointer row.
	 * @param bytes the stored bytes
	 * @return the pointer, or why it is rejected
	 */
	public static Either<Failure, DocumentPointer> decodePointer(byte[] bytes) {
		return read(bytes, PointerJson.class, PointerJson::pointer);
	}

	/**
	 * Returns the document's values as they appear in JSON.
	 * @param document the document
	 * @return the values by field path, sorted
	 */
	public static Map<String, String> fields(Document document) {
		Map<String, String> fields = new TreeMap<>();
		document.values().forEach((path, value) -> fields.put(path.text(), value));
		return fields;
	}

	/**
	 * Creates a document from values as they appear in JSON.
	 * @param fields the values by field path
	 * @return the document
	 * @throws IllegalArgumentException if a field path is malformed
	 */
	public static Document document(Map<String, String> fields) {
		return Document.of(fields.entrySet()
			.stream()
			.collect(Collectors.toMap((entry) -> new FieldPath(entry.getKey()), Map.Entry::getValue)));
	}

	private static byte[] wrap(Object json) {
		return StoredState.wrap(GSON.toJson(json).getBytes(StandardCharsets.UTF_8));
	}

	private static <J, T> Either<Failure, T> read(byte[] bytes, Class<J> type, Function<J, T> checked) {
		return StoredState.unwrap(bytes).flatMap((contents) -> {
			try {
				J json = GSON.fromJson(new String(contents, StandardCharsets.UTF_8), type);
				return (json != null) ? Either.right(checked.apply(json)) : unreadable("it is empty");
			}
			catch (JsonParseException | IllegalArgumentException ex) {
				return unreadable(String.valueOf(ex.getMessage()));
			}
		});
	}

	private static <T> Either<Failure, T> unreadable(String why) {
		return Either.left(Failure.of(ErrorKind.STATE_UNREADABLE,
				"stored document refused: " + why + " (TROUBLESHOOTING.md#stored-state)"));
	}

	private static void checkFormat(int format) {
		if (format < 1 || format > Document.FORMAT) {
			throw new IllegalArgumentException(
					"its format %d is not one of 1 to %d".formatted(format, Document.FORMAT));
		}
	}

	private static <T> T present(@Nullable T value, String name) {
		if (value == null) {
			throw new IllegalArgumentException("it lacks " + name);
		}
		return value;
	}

	/**
	 * A version of the document as JSON.
	 */
	private record BodyJson(int format, long version, @Nullable String previousHash, @Nullable String submission,
			long submittedMillis, @Nullable Map<String, String> fields) {

		StoredDocument stored() {
			checkFormat(this.format);
			return new StoredDocument(this.version, present(this.previousHash, "previous_hash"),
					present(this.submission, "submission"), this.submittedMillis,
					document(present(this.fields, "fields")));
		}

	}

	/**
	 * The pointer row as JSON.
	 */
	private record PointerJson(int format, long version, @Nullable String hash,
			@Nullable List<DocumentPointer.Accepted> recent) {

		DocumentPointer pointer() {
			checkFormat(this.format);
			return new DocumentPointer(this.version, present(this.hash, "hash"), present(this.recent, "recent"));
		}

	}

}
