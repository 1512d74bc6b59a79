package org.brasspier.daemon.internal.measure;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;

import io.activej.promise.Promise;
import org.brasspier.core.ServiceName;
import org.brasspier.core.event.EventKind;
import org.brasspier.core.measure.ChurnMeter;
import org.brasspier.core.measure.MeasureSums;
import org.brasspier.core.measure.MinuteReport;
import org.brasspier.daemon.internal.event.EventLog;
import org.brasspier.daemon.internal.ownership.CellView;
import org.brasspier.daemon.internal.platform.TableService;
import org.brasspier.daemon.internal.platform.TableService.WriteResult;

/**
 * Stores the measures of the cell in the platform's table: the primary lease manager
 * collects the counts of all daemons and adds them to the row of the day. One write per
 * cell every five minutes makes 0.6 writes a second for 175 cells, of the several hundred
 * that the table allows. Each daemon counts moves as it sees them, so a new primary
 * continues from its own counts. If all daemons are lost at once, the last five minutes
 * are lost; if one daemon is lost, the counts that only it had since the last write are
 * lost. Confined to the operators thread.
 */
public final class MeasureRecorder {

	static final Duration WRITE_PERIOD = Duration.ofMinutes(5);

	private static final long HOURS_PER_DAY = 24;

	private final MeasureStore store;

	private final MemberReports memberReports;

	private final EventLog events;

	private final LongSupplier wallMillis;

	private final ChurnMeter churnMeter = new ChurnMeter();

	private final Map<String, Long> unwrittenMoves = new HashMap<>();

	private long lastViewVersion = -1;

	private long nextWriteMillis;

	private boolean writing;

	/** The id and the moves of the last write whose success was not confirmed. */
	private UnconfirmedWrite unconfirmedWrite = new UnconfirmedWrite("", Map.of());

	/**
	 * Creates a recorder.
	 * @param table the platform's table
	 * @param cell the cell
	 * @param memberReports collects the counts of daemons
	 * @param events the event log
	 * @param wallMillis the wall clock, in milliseconds since 1970
	 */
	public MeasureRecorder(TableService table, String cell, MemberReports memberReports, EventLog events,
			LongSupplier wallMillis) {
		this.store = new MeasureStore(table, cell);
		this.memberReports = memberReports;
		this.events = events;
		this.wallMillis = wallMillis;
		this.nextWriteMillis = wallMillis.getAsLong() + WRITE_PERIOD.toMillis();
	}

	/**
	 * Counts moves, and stores the measures if the next write is due.
	 * @param view the current view of the cell
	 * @param primary whether this daemon is the primary lease manager
	 */
	public void tick(CellView view, boolean primary) {
		countMoves(view);
		if (!primary || this.writing || this.wallMillis.getAsLong() < this.nextWriteMillis) {
			return;
		}
		this.writing = true;
		this.nextWriteMillis = this.wallMillis.getAsLong() + WRITE_PERIOD.toMillis();
		writeMeasures(TimeUnit.MILLISECONDS.toDays(this.wallMillis.getAsLong())).whenComplete((ignored, ex) -> {
			this.writing = false;
			if (ex != null) {
				this.events.record(EventKind.STORE_LOST, "measures", String.valueOf(ex.getMessage()));
			}
		});
	}

	private void countMoves(CellView view) {
		if (view.version() == this.lastViewVersion) {
			return;
		}
		this.lastViewVersion = view.version();
		Map<ServiceName, List<ChurnMeter.OwnedRange>> services = view.ranges()
			.stream()
			.collect(Collectors.groupingBy(CellView.Range::service, TreeMap::new, Collectors
				.mapping((range) -> new ChurnMeter.OwnedRange(range.range(), range.owner()), Collectors.toList())));
		services.forEach((service, ranges) -> this.unwrittenMoves.merge(service.value(),
				this.churnMeter.update(service, ranges), Long::sum));
	}

	private Promise<Void> writeMeasures(long today) {
		// Yesterday's remaining minutes first, so that none is lost at midnight.
		return writeDay(today - 1, false).then(() -> writeDay(today, true));
	}

	private Promise<Void> writeDay(long day, boolean includeMoves) {
		return this.store.read(day).then((row) -> {
			if (includeMoves) {
				resolveUnconfirmedWrite(row.day());
			}
			return this.memberReports.reportsAfter(row.day().collectedUntil())
				.then((reports) -> writeRow(day, row, filterByDay(day, reports), includeMoves));
		});
	}

	private static List<MinuteReport> filterByDay(long day, List<MinuteReport> reports) {
		return reports.stream().filter((report) -> TimeUnit.MINUTES.toDays(report.minute()) == day).toList();
	}

	private void resolveUnconfirmedWrite(MeasuredDay day) {
		if (!day.write().equals(this.unconfirmedWrite.writeId())) {
			this.unconfirmedWrite.moves()
				.forEach((service, points) -> this.unwrittenMoves.merge(service, points, Long::sum));
		}
		this.unconfirmedWrite = new UnconfirmedWrite("", Map.of());
	}

	private Promise<Void> writeRow(long day, MeasureStore.DayRow row, List<MinuteReport> reports,
			boolean includeMoves) {
		Map<String, Long> moves = (includeMoves) ? Map.copyOf(this.unwrittenMoves) : Map.of();
		if (reports.isEmpty() && moves.values().stream().allMatch((points) -> points == 0)) {
			return Promise.complete();
		}
		String writeId = UUID.randomUUID().toString();
		MeasuredDay updatedDay = addReports(row.day(), writeId, reports);
		if (includeMoves) {
			int hour = (int) (TimeUnit.MILLISECONDS.toHours(this.wallMillis.getAsLong()) % HOURS_PER_DAY);
			updatedDay = updatedDay.plus(updatedDay.collectedUntil(), writeId, hour,
					moves.entrySet()
						.stream()
						.collect(Collectors.toMap(Map.Entry::getKey, (entry) -> MeasureSums.moved(entry.getValue()))));
			this.unwrittenMoves.clear();
		}
		return this.store.write(day, new MeasureStore.DayRow(row.version(), updatedDay))
			.then((result, ex) -> onWriteCompleted(new UnconfirmedWrite(writeId, moves), result, ex));
	}

	private Promise<Void> onWriteCompleted(UnconfirmedWrite write, WriteResult result,
			@org.jspecify.annotations.Nullable Exception ex) {
		if (ex == null && result instanceof WriteResult.Written) {
			this.events.record(EventKind.MEASURES_KEPT, "measures", "");
			return Promise.complete();
		}
		// The write failed or its outcome is unknown: the next run reads the row and
		// compares the id of the write.
		if (!write.moves().isEmpty()) {
			this.unconfirmedWrite = write;
		}
		return (ex != null) ? Promise.ofException(ex) : Promise.complete();
	}

	private static MeasuredDay addReports(MeasuredDay day, String writeId, List<MinuteReport> reports) {
		Map<Long, Map<String, List<MinuteReport>>> minutes = reports.stream()
			.collect(Collectors.groupingBy(MinuteReport::minute, TreeMap::new,
					Collectors.groupingBy((report) -> report.service().value())));
		MeasuredDay result = day;
		for (Map.Entry<Long, Map<String, List<MinuteReport>>> minute : minutes.entrySet()) {
			int hour = (int) (TimeUnit.MINUTES.toHours(minute.getKey()) % HOURS_PER_DAY);
			result = result.plus(minute.getKey(), writeId, hour, minute.getValue()
				.entrySet()
				.stream()
				.collect(Collectors.toMap(Map.Entry::getKey, (entry) -> MeasureSums.ofMinute(entry.getValue()))));
		}
		return result;
	}

	/**
	 * Reads the stored measures of a period, in whole hours.
	 * @param fromMillis the start of the period, in milliseconds since 1970
	 * @param toMillis the end of the period, in milliseconds since 1970
	 * @return the sums, or a
	 * {@link org.brasspier.daemon.internal.platform.StoreException}
	 */
	public Promise<StoredMeasures> read(long fromMillis, long toMillis) {
		return readDays(TimeUnit.MILLISECONDS.toDays(fromMillis), fromMillis, toMillis,
				new StoredMeasures(0, Map.of()));
	}

	private Promise<StoredMeasures> readDays(long day, long fromMillis, long toMillis, StoredMeasures previous) {
		if (TimeUnit.DAYS.toMillis(day) >= toMillis) {
			return Promise.of(previous);
		}
		return this.store.read(day)
			.then((row) -> readDays(day + 1, fromMillis, toMillis,
					(row.version() == 0) ? previous : addDay(previous, day, row.day(), fromMillis, toMillis)));
	}

	private static StoredMeasures addDay(StoredMeasures previous, long day, MeasuredDay measured, long fromMillis,
			long toMillis) {
		Map<String, MeasureSums> services = new TreeMap<>(previous.services());
		measured.hours().forEach((hour, sums) -> {
			long hourStartMillis = TimeUnit.DAYS.toMillis(day) + TimeUnit.HOURS.toMillis(hour);
			if (hourStartMillis + TimeUnit.HOURS.toMillis(1) > fromMillis && hourStartMillis < toMillis) {
				sums.forEach((service, added) -> services.merge(service, added, MeasureSums::plus));
			}
		});
		return new StoredMeasures(TimeUnit.MINUTES.toMillis(measured.collectedUntil() + 1), services);
	}

	/**
	 * The stored measures of a period. Immutable and thread-safe.
	 *
	 * @param untilMillis the time until which measures are stored, in milliseconds since
	 * 1970
	 * @param services the sums by service
	 */
	public record StoredMeasures(long untilMillis, Map<String, MeasureSums> services) {

		/**
		 * Copies the map.
		 * @param untilMillis the time until which measures are stored
		 * @param services the sums by service
		 */
		public StoredMeasures {
			services = Map.copyOf(services);
		}

	}

	/**
	 * A write that may or may not have taken effect.
	 *
	 * @param writeId the id of the write
	 * @param moves the moves that the write adds, by service
	 */
	private record UnconfirmedWrite(String writeId, Map<String, Long> moves) {

	}

}
