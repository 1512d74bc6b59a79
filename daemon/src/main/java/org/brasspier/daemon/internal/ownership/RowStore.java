package org.brasspier.daemon.internal.ownership;

import java.util.Optional;
import java.util.function.Consumer;

import io.activej.promise.Promise;
import io.vavr.control.Either;
import org.brasspier.core.Failure;
import org.brasspier.core.event.EventKind;
import org.brasspier.core.ownership.CellRow;
import org.brasspier.core.ownership.VersionedRow;
import org.brasspier.daemon.internal.event.EventLog;
import org.brasspier.daemon.internal.platform.TableService;
import org.brasspier.wire.CellRowCodec;

/**
 * Reads and writes the cell's row. A row that can't be trusted is reported as not read,
 * and so never overwritten, since each write names a version that was read whole. Belongs
 * to the thread of ownership.
 */
final class RowStore {

	private final TableService table;

	private final String key;

	private final EventLog events;

	private boolean reachable = true;

	/**
	 * Creates the way to a row.
	 * @param table the table
	 * @param key the row's key
	 * @param events the time line
	 */
	RowStore(TableService table, String key, EventLog events) {
		this.table = table;
		this.key = key;
		this.events = events;
	}

	/**
	 * Reads the row. Most reads only show that the table is reached and has the row that
	 * is known: some 10 KB of a full cell, which then stay where they are.
	 * @param known the row that is known
	 * @param done told the row, or empty if it can't be read or trusted
	 */
	void read(VersionedRow known, Consumer<Optional<VersionedRow>> done) {
		Promise<Optional<VersionedRow>> row = (known.version() == 0) ? this.table.read(this.key).map(this::found)
				: this.table.readUnless(this.key, known.version()).map((result) -> switch (result) {
					case TableService.ReadResult.Unchanged unchanged -> Optional.of(known);
					case TableService.ReadResult.Found(Optional<TableService.Row> now) -> found(now);
				});
		row.whenResult(done::accept).whenResult(() -> reached(true, "")).whenException((ex) -> {
			reached(false, String.valueOf(ex.getMessage()));
			done.accept(Optional.empty());
		});
	}

	private Optional<VersionedRow> found(Optional<TableService.Row> row) {
		return row.map(this::decode).orElse(Optional.of(VersionedRow.NONE));
	}

	private Optional<VersionedRow> decode(TableService.Row row) {
		Either<Failure, CellRow> decoded = CellRowCodec.decode(row.value());
		if (decoded.isLeft()) {
			this.events.record(EventKind.ROW_REFUSED, this.key, decoded.getLeft().detail());
			return Optional.empty();
		}
		return Optional.of(new VersionedRow(row.version(), decoded.get()));
	}

	void write(long expectedVersion, CellRow row, Consumer<Outcome> done) {
		this.table.write(this.key, expectedVersion, CellRowCodec.encode(row)).whenResult((result) -> {
			reached(!(result instanceof TableService.WriteResult.Unknown), String.valueOf(result));
			done.accept(outcome(result));
		}).whenException((ex) -> {
			reached(false, String.valueOf(ex.getMessage()));
			done.accept(new Outcome.Failed());
		});
	}

	private static Outcome outcome(TableService.WriteResult result) {
		return switch (result) {
			case TableService.WriteResult.Written(long version) -> new Outcome.Written(version);
			case TableService.WriteResult.Conflict conflict -> new Outcome.Conflict();
			case TableService.WriteResult.Unknown unknown -> new Outcome.Unknown();
		};
	}

	private void reached(boolean now, String detail) {
		if (now != this.reachable) {
			this.reachable = now;
			this.events.record((now) ? EventKind.STORE_REACHED : EventKind.STORE_LOST, this.key, detail);
		}
	}

	/**
	 * What became of a write.
	 */
	sealed interface Outcome {

		/**
		 * It took effect.
		 *
		 * @param version the row's new version
		 */
		record Written(long version) implements Outcome {

		}

		/** The row had another version. */
		record Conflict() implements Outcome {

		}

		/** It may have taken effect, or may yet. */
		record Unknown() implements Outcome {

		}

		/** It certainly had no effect. */
		record Failed() implements Outcome {

		}

	}

}
