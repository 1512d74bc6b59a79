package org.brasspier.bench.demo;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;
import java.util.stream.LongStream;

import org.brasspier.core.event.EventKind;
import org.brasspier.standins.HistoryMetrics;

/**
 * Times of the stages of a recovery, taken from the daemons' event logs, in milliseconds
 * after the loss; -1 for a stage that did not occur. Immutable and thread-safe.
 *
 * @param suspected a lease manager first suspected the lost instance
 * @param epoch first change of the epoch in the log, expected only if the lost instance
 * was a lease manager
 * @param lost the instance was declared lost: its lease has run out and its ranges are
 * promised to new owners
 * @param granted last grant of any range in the log
 */
record RecoveryStages(long suspected, long epoch, long lost, long granted) {

	private static final int TIMESTAMP_LENGTH = 24;

	/**
	 * Extracts the stages from events.
	 * @param events the event lines
	 * @param instance name of the lost instance
	 * @param lossTime time of the loss
	 * @return the stages
	 */
	static RecoveryStages of(List<String> events, String instance, Instant lossTime) {
		long suspected = firstMillis(events, lossTime,
				(line) -> (hasKind(line, EventKind.MEMBER_SUSPECTED) || hasKind(line, EventKind.MANAGER_SUSPECTED))
						&& line.contains(" " + instance + " "));
		long epoch = firstMillis(events, lossTime, (line) -> hasKind(line, EventKind.EPOCH_CHANGED));
		long lost = firstMillis(events, lossTime,
				(line) -> hasKind(line, EventKind.MEMBER_LOST) && line.contains(" " + instance + " "));
		long granted = millisAfterLoss(events, lossTime, (line) -> hasKind(line, EventKind.RANGE_GRANTED)).max()
			.orElse(-1);
		return new RecoveryStages(suspected, epoch, lost, granted);
	}

	private static boolean hasKind(String line, EventKind kind) {
		return line.contains(" " + kind.name() + " ");
	}

	private static long firstMillis(List<String> events, Instant lossTime, Predicate<String> wanted) {
		return millisAfterLoss(events, lossTime, wanted).min().orElse(-1);
	}

	private static LongStream millisAfterLoss(List<String> events, Instant lossTime, Predicate<String> wanted) {
		return events.stream()
			.filter(wanted)
			.mapToLong((line) -> Duration.between(lossTime, Instant.parse(line.substring(0, TIMESTAMP_LENGTH)))
				.toMillis());
	}

	/**
	 * Computes the median of each stage over several losses.
	 * @param all the stages of the losses
	 * @return the medians; losses without a stage are excluded from its median
	 */
	static RecoveryStages medians(List<RecoveryStages> all) {
		return new RecoveryStages(median(all, RecoveryStages::suspected), median(all, RecoveryStages::epoch),
				median(all, RecoveryStages::lost), median(all, RecoveryStages::granted));
	}

	private static long median(List<RecoveryStages> all, ToLongFunction<RecoveryStages> stage) {
		long[] times = all.stream().mapToLong(stage).filter((time) -> time >= 0).toArray();
		return (times.length > 0) ? HistoryMetrics.median(times) : -1;
	}

}
