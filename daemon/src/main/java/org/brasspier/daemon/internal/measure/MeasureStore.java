package org.brasspier.daemon.internal.measure;

import java.time.LocalDate;

import io.activej.promise.Promise;
import org.brasspier.daemon.internal.platform.StoreException;
import org.brasspier.daemon.internal.platform.TableService;

/**
 * Reads and writes the rows {@code measures/DAY/CELL} of the table. Confined to the
 * operators thread.
 */
final class MeasureStore {

	private final TableService table;

	private final String cell;

	MeasureStore(TableService table, String cell) {
		this.table = table;
		this.cell = cell;
	}

	/**
	 * Reads the measures of a day.
	 * @param day the day, counted since 1970
	 * @return the day with the version of its row, 0 if there is no row; or a
	 * {@link StoreException}
	 */
	Promise<DayRow> read(long day) {
		return this.table.read(rowKey(day)).then((row) -> {
			if (row.isEmpty()) {
				return Promise.of(new DayRow(0, MeasuredDay.emptyDay(day)));
			}
			return MeasuredDay.decode(row.get().value())
				.fold((failure) -> Promise.ofException(new StoreException(failure)),
						(measured) -> Promise.of(new DayRow(row.get().version(), measured)));
		});
	}

	Promise<TableService.WriteResult> write(long day, DayRow row) {
		return this.table.write(rowKey(day), row.version(), row.day().encode());
	}

	private String rowKey(long day) {
		return "measures/" + LocalDate.ofEpochDay(day) + "/" + this.cell;
	}

	/**
	 * A day as read from the table.
	 *
	 * @param version the version of the row; 0 if there is none
	 * @param day the measures of the day
	 */
	record DayRow(long version, MeasuredDay day) {

	}

}
