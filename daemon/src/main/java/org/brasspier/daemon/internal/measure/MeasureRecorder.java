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
 * Keeps the measures of the cell in the platform's table: the primary lease manager
 * collects what each daemon counted and adds it to the row of the day, one write each
 * five minutes, which at 175 cells makes 0.6 writes a second of several hundred. Each
 * daemon counts moves as it sees them, so whoever becomes primary goes on from there. A
 * loss of all daemons at once loses the last five minutes; the loss of one loses what it
 * alone had counted since. Belongs to the thread of operators.
 */
public final class MeasureRecorder {

	static final Duration PERIOD = Duration.ofMinutes(5);

	private static final long HOURS_A_DAY = 24;

	private final MeasureStore store;

	private final MemberReports members;

	private final EventLog events;

	private final LongSupplier wallMillis;

	private final ChurnMeter churn = new ChurnMeter();

	private final Map<String, Long> moved = new HashMap<>();

	private long viewVersion = -1;

	private long nextMillis;

	private boolean keeping;

	/** The moves of a write whose answer was lost, by the id of the write. */
	private Unsettled unsettled = new Unsettled("", Map.of());

	/**
	 * Creates a keeper.
	 * @param table the platform's table
	 * @param cell the cell
	 * @param members collects what daemons counted
	 * @param events the time line
	 * @param wallMillis the wall clock, in milliseconds since 1970
	 */
	public MeasureRecorder(TableService table, String cell, MemberReports members, EventLog events,
			LongSupplier wallMillis) {
		this.store = new MeasureStore(table, cell);
		this.members = members;
		this.events = events;
		this.wallMillis = wallMillis;
		this.nextMillis = wallMillis.getAsLong() + PERIOD.toMillis();
	}

	/**
	 * Counts moves, and keeps the measures if it's time to.
	 * @param view what is known of the cell
	 * @param primary whether this daemon is the primary lease manager
	 */
	public void tick(CellView view, boolean primary) {
		count(view);
		if (!primary || this.keeping || this.wallMillis.getAsLong() < this.nextMillis) {
			return;
		}
		this.keeping = true;
		this.nextMillis = this.wallMillis.getAsLong() + PERIOD.toMillis();
		keep(TimeUnit.MILLISECONDS.toDays(this.wallMillis.getAsLong())).whenComplete((nothing, ex) -> {
			this.keeping = false;
			if (ex != null) {
				this.events.record(EventKind.STORE_LOST, "measures", String.valueOf(ex.getMessage()));
			}
		});
	}

	private void count(CellView view) {
		if (view.version() == this.viewVersion) {
			return;
		}
		this.viewVersion = view.version();
		Map<ServiceName, List<ChurnMeter.OwnedRange>> services = view.ranges()
			.stream()
			.collect(Collectors.groupingBy(CellView.Range::service, TreeMap::new, Collectors
				.mapping((range) -> new ChurnMeter.OwnedRange(range.range(), range.owner()), Collectors.toList())));
		services.forEach(
				(service, ranges) -> this.moved.merge(service.value(), this.churn.update(service, ranges), Long::sum));
	}

	private Promise<Void> keep(long today) {
		// The rest of yesterday first, so that no minute is left out at midnight.
		return keepDay(today - 1, false).then(() -> keepDay(today, true));
	}

	private Promise<Void> keepDay(long day, boolean withMoves) {
		return this.store.read(day).then((row) -> {
			if (withMoves) {
				settle(row.day());
			}
			return this.members.after(row.day().collectedUntil())
				.then((reports) -> write(day, row, ofDay(day, reports), withMoves));
		});
	}

	private static List<MinuteReport> ofDay(long day, List<MinuteReport> reports) {
		return reports.stream().filter((report) -> TimeUnit.MINUTES.toDays(report.minute()) == day).toList();
	}

	private void settle(MeasuredDay day) {
		if (!day.write().equals(this.unsettled.write())) {
			this.unsettled.moved().forEach((service, points) -> this.moved.merge(service, points, Long::sum));
		}
		this.unsettled = new Unsettled("", Map.of());
	}

	private Promise<Void> write(long day, MeasureStore.DayRow row, List<MinuteReport> reports, boolean withMoves) {
		Map<String, Long> moves = (withMoves) ? Map.copyOf(this.moved) : Map.of();
		if (reports.isEmpty() && moves.values().stream().allMatch((points) -> points == 0)) {
			return Promise.complete();
		}
		String id = UUID.randomUUID().toString();
		MeasuredDay next = sum(row.day(), id, reports);
		if (withMoves) {
			int hour = (int) (TimeUnit.MILLISECONDS.toHours(this.wallMillis.getAsLong()) % HOURS_A_DAY);
			next = next.plus(next.collectedUntil(), id, hour,
					moves.entrySet()
						.stream()
						.collect(Collectors.toMap(Map.Entry::getKey, (entry) -> MeasureSums.moved(entry.getValue()))));
			this.moved.clear();
		}
		return this.store.write(day, new MeasureStore.DayRow(row.version(), next))
			.then((result, ex) -> written(new Unsettled(id, moves), result, ex));
	}

	private Promise<Void> written(Unsettled write, WriteResult result,
			@org.jspecify.annotations.Nullable Exception ex) {
		if (ex == null && result instanceof WriteResult.Written) {
			this.events.record(EventKind.MEASURES_KEPT, "measures", "");
			return Promise.complete();
		}
		// Not known, or not done: the next run reads the row and finds out by the id.
		if (!write.moved().isEmpty()) {
			this.unsettled = write;
		}
		return (ex != null) ? Promise.ofException(ex) : Promise.complete();
	}

	private static MeasuredDay sum(MeasuredDay day, String id, List<MinuteReport> reports) {
		Map<Long, Map<String, List<MinuteReport>>> minutes = reports.stream()
			.collect(Collectors.groupingBy(MinuteReport::minute, TreeMap::new,
					Collectors.groupingBy((report) -> report.service().value())));
		MeasuredDay sum = day;
		for (Map.Entry<Long, Map<String, List<MinuteReport>>> minute : minutes.entrySet()) {
			int hour = (int) (TimeUnit.MINUTES.toHours(minute.getKey()) % HOURS_A_DAY);
			sum = sum.plus(minute.getKey(), id, hour, minute.getValue()
				.entrySet()
				.stream()
				.collect(Collectors.toMap(Map.Entry::getKey, (entry) -> MeasureSums.ofMinute(entry.getValue()))));
		}
		return sum;
	}

	/**
	 * Reads what is kept of some time, in whole hours.
	 * @param fromMillis the beginning, in milliseconds since 1970
	 * @param toMillis the end, in milliseconds since 1970
	 * @return the sums, or a
	 * {@link org.brasspier.daemon.internal.platform.StoreException}
	 */
	public Promise<KeptMeasures> read(long fromMillis, long toMillis) {
		return readDays(TimeUnit.MILLISECONDS.toDays(fromMillis), fromMillis, toMillis, new KeptMeasures(0, Map.of()));
	}

	private Promise<KeptMeasures> readDays(long day, long fromMillis, long toMillis, KeptMeasures before) {
		if (TimeUnit.DAYS.toMillis(day) >= toMillis) {
			return Promise.of(before);
		}
		return this.store.read(day)
			.then((row) -> readDays(day + 1, fromMillis, toMillis,
					(row.version() == 0) ? before : add(before, day, row.day(), fromMillis, toMillis)));
	}

	private static KeptMeasures add(KeptMeasures before, long day, MeasuredDay measured, long from, long to) {
		Map<String, MeasureSums> services = new TreeMap<>(before.services());
		measured.hours().forEach((hour, sums) -> {
			long begin = TimeUnit.DAYS.toMillis(day) + TimeUnit.HOURS.toMillis(hour);
			if (begin + TimeUnit.HOURS.toMillis(1) > from && begin < to) {
				sums.forEach((service, more) -> services.merge(service, more, MeasureSums::plus));
			}
		});
		return new KeptMeasures(TimeUnit.MINUTES.toMillis(measured.collectedUntil() + 1), services);
	}

	/**
	 * What is kept of some time. Immutable and thread-safe.
	 *
	 * @param untilMillis until when measures are kept, in milliseconds since 1970
	 * @param services the sums of each service
	 */
	public record KeptMeasures(long untilMillis, Map<String, MeasureSums> services) {

		/**
		 * Copies the map.
		 * @param untilMillis until when measures are kept
		 * @param services the sums of each service
		 */
		public KeptMeasures {
			services = Map.copyOf(services);
		}

	}

	/**
	 * A write of which nobody knows yet whether it took effect.
	 *
	 * @param write its id
	 * @param moved the moves in it
	 */
	private record Unsettled(String write, Map<String, Long> moved) {

	}

}
