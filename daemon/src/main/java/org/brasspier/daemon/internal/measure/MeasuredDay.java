package org.brasspier.daemon.internal.measure;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

import com.google.gson.Gson;
import com.google.gson.JsonParseException;
import io.vavr.control.Either;
import org.brasspier.core.ErrorKind;
import org.brasspier.core.Failure;
import org.brasspier.core.measure.MeasureSums;
import org.brasspier.wire.StoredState;
import org.jspecify.annotations.Nullable;

/**
 * Measures of one cell on one day, by hour, as stored. Immutable and thread-safe.
 *
 * @param collectedUntil the last minute whose reports are included, counted since 1970
 * @param write the id of the write that stored this value, so that a write whose answer
 * was lost can be recognized
 * @param hours the measures by hour of the day and service
 */
record MeasuredDay(long collectedUntil, String write, Map<Integer, Map<String, MeasureSums>> hours) {

	private static final Gson GSON = new Gson();

	/**
	 * Creates a day without measures.
	 * @param day the day, counted since 1970
	 * @return the day
	 */
	static MeasuredDay emptyDay(long day) {
		return new MeasuredDay(day * 24 * 60 - 1, "", Map.of());
	}

	/**
	 * Returns this day with measures added.
	 * @param untilMinute the last minute whose reports are now included
	 * @param writeId the id of the write that will store the day
	 * @param hour the hour of the added measures
	 * @param added the measures to add, by service
	 * @return the day with the sums
	 */
	MeasuredDay plus(long untilMinute, String writeId, int hour, Map<String, MeasureSums> added) {
		Map<Integer, Map<String, MeasureSums>> newHours = new TreeMap<>(this.hours);
		Map<String, MeasureSums> services = new TreeMap<>(newHours.getOrDefault(hour, Map.of()));
		added.forEach((service, sums) -> services.merge(service, sums, MeasureSums::plus));
		newHours.put(hour, services);
		return new MeasuredDay(Math.max(untilMinute, this.collectedUntil), writeId, newHours);
	}

	byte[] encode() {
		return StoredState.wrap(GSON.toJson(this).getBytes(StandardCharsets.UTF_8));
	}

	static Either<Failure, MeasuredDay> decode(byte[] bytes) {
		return StoredState.unwrap(bytes).flatMap((contents) -> {
			try {
				@Nullable MeasuredDay day = GSON.fromJson(new String(contents, StandardCharsets.UTF_8), MeasuredDay.class);
				return (day != null && day.hours() != null) ? Either.right(day) : unreadable("the row is empty");
			}
			catch (JsonParseException ex) {
				return unreadable(String.valueOf(ex.getMessage()));
			}
		});
	}

	private static Either<Failure, MeasuredDay> unreadable(String reason) {
		return Either.left(Failure.of(ErrorKind.STATE_UNREADABLE,
				"stored measures refused: " + reason + " (TROUBLESHOOTING.md#stored-state)"));
	}

}
