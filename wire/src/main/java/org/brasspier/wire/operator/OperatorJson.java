package org.brasspier.wire.operator;

import com.google.gson.FieldNamingPolicy;
import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import com.google.gson.JsonParseException;
import io.vavr.control.Either;
import org.brasspier.core.ErrorKind;
import org.brasspier.core.Failure;

/**
 * Reads and writes the JSON of the operator port; field names are in lower case with
 * underscores. Stateless and thread-safe.
 */
public final class OperatorJson {

	private static final Gson GSON = new GsonBuilder()
		.setFieldNamingPolicy(FieldNamingPolicy.LOWER_CASE_WITH_UNDERSCORES)
		.disableHtmlEscaping()
		.create();

	private static final Gson PRETTY = GSON.newBuilder().setPrettyPrinting().create();

	private OperatorJson() {
	}

	/**
	 * Writes a message.
	 * @param message one of this package's records
	 * @return one line of JSON
	 */
	public static String write(Object message) {
		return GSON.toJson(message);
	}

	/**
	 * Writes a message as indented JSON for display.
	 * @param message one of this package's records
	 * @return indented JSON
	 */
	public static String pretty(Object message) {
		return PRETTY.toJson(message);
	}

	/**
	 * Reads a message.
	 * @param <T> the type of the message
	 * @param json the JSON text
	 * @param type the type of the message
	 * @return the message, or why it is rejected
	 */
	public static <T> Either<Failure, T> read(String json, Class<T> type) {
		try {
			T message = GSON.fromJson(json, type);
			return (message != null) ? Either.right(message) : refused("it is empty");
		}
		catch (JsonParseException ex) {
			return refused(String.valueOf(ex.getMessage()));
		}
		catch (RuntimeException ex) {
			// Gson wraps an exception of a record's constructor in a plain
			// RuntimeException.
			Throwable cause = (ex.getCause() != null) ? ex.getCause() : ex;
			return refused(String.valueOf(cause.getMessage()));
		}
	}

	private static <T> Either<Failure, T> refused(String why) {
		return Either.left(Failure.of(ErrorKind.BAD_REQUEST,
				"malformed JSON: " + why + " (see TROUBLESHOOTING.md#bad-operator-request)"));
	}

	static <T> T present(@org.jspecify.annotations.Nullable T value, String name) {
		if (value == null) {
			throw new IllegalArgumentException(name + " is missing");
		}
		return value;
	}

}
