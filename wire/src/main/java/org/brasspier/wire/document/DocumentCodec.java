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
 * Writes and reads what is kept of the document: JSON inside the envelope of
 * {@link StoredState}. What is damaged or newer is refused. Stateless and thread-safe.
 */
public final class DocumentCodec {

	private static final Gson GSON = new GsonBuilder()
		.setFieldNamingPolicy(FieldNamingPolicy.LOWER_CASE_WITH_UNDERSCORES)
		.disableHtmlEscaping()
		.create();

	private DocumentCodec() {
	}

	/**
	 * Writes a version.
	 * @param stored the version
	 * @return the bytes to keep; {@link #hash(byte[])} of them names the object
	 */
	public static byte[] encode(StoredDocument stored) {
		return wrap(new BodyJson(Document.FORMAT, stored.version(), stored.previousHash(), stored.submission(),
				stored.submittedMillis(), fields(stored.document())));
	}

	/**
	 * The hash that names an object.
	 * @param bytes the object's bytes
	 * @return 64 hexadecimal digits
	 */
	public static String hash(byte[] bytes) {
		return StoredState.checksum(bytes);
	}

	/**
	 * Reads a version.
	 * @param bytes the bytes that were kept
	 * @return the version, or why it can't be trusted
	 */
	public static Either<Failure, StoredDocument> decode(byte[] bytes) {
		return read(bytes, BodyJson.class, BodyJson::stored);
	}

	/**
	 * Writes the row.
	 * @param pointer its contents
	 * @return the bytes to keep
	 */
	public static byte[] encodePointer(DocumentPointer pointer) {
		return wrap(new PointerJson(Document.FORMAT, pointer.version(), pointer.hash(), pointer.recent()));
	}

	/**
	 * Reads the row.
	 * @param bytes the bytes that were kept
	 * @return its contents, or why they can't be trusted
	 */
	public static Either<Failure, DocumentPointer> decodePointer(byte[] bytes) {
		return read(bytes, PointerJson.class, PointerJson::pointer);
	}

	/**
	 * The document's values as JSON carries them.
	 * @param document the document
	 * @return the values by place, sorted
	 */
	public static Map<String, String> fields(Document document) {
		Map<String, String> fields = new TreeMap<>();
		document.values().forEach((path, value) -> fields.put(path.text(), value));
		return fields;
	}

	/**
	 * Reads values as JSON carries them.
	 * @param fields the values by place
	 * @return the document
	 * @throws IllegalArgumentException if a place is malformed
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
	 * The body's JSON.
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
	 * The row's JSON.
	 */
	private record PointerJson(int format, long version, @Nullable String hash,
			@Nullable List<DocumentPointer.Accepted> recent) {

		DocumentPointer pointer() {
			checkFormat(this.format);
			return new DocumentPointer(this.version, present(this.hash, "hash"), present(this.recent, "recent"));
		}

	}

}
