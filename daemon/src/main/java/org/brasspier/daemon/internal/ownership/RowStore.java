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
 * Reads and writes the cell's row. An invalid row is reported as not read. It is
 * therefore never overwritten, because each write names a version that was read and
 * decoded completely. Not thread-safe; used in the ownership thread only.
 */
final class RowStore {

	private final TableService table;

	private final String key;

	private final EventLog events;

	private boolean reachable = true;

	/**
	 * Creates a store for a row.
	 * @param table the table
	 * @param key the row's key
	 * @param events the event log
	 */
	RowStore(TableService table, String key, EventLog events) {
		this.table = table;
		this.key = key;
		this.events = events;
	}

	/**
	 * Reads the row. Most reads only confirm that the table is reachable and the known
	 * row is current; then the row, about 10 KB for a full cell, is not transferred.
	 * @param known the newest known row
	 * @param done called with the row, or empty if it can't be read or is invalid
	 */
	void read(VersionedRow known, Consumer<Optional<VersionedRow>> done) {
		Promise<Optional<VersionedRow>> row = (known.version() == 0)
				? this.table.read(this.key).map(this::toVersionedRow)
				: this.table.readUnless(this.key, known.version()).map((result) -> switch (result) {
					case TableService.ReadResult.Unchanged unchanged -> Optional.of(known);
					case TableService.ReadResult.Found(Optional<TableService.Row> now) -> toVersionedRow(now);
				});
		row.whenResult(done::accept).whenResult(() -> updateReachable(true, "")).whenException((ex) -> {
			updateReachable(false, String.valueOf(ex.getMessage()));
			done.accept(Optional.empty());
		});
	}

	private Optional<VersionedRow> toVersionedRow(Optional<TableService.Row> row) {
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
			updateReachable(!(result instanceof TableService.WriteResult.Unknown), String.valueOf(result));
			done.accept(outcome(result));
		}).whenException((ex) -> {
			updateReachable(false, String.valueOf(ex.getMessage()));
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

	private void updateReachable(boolean now, String detail) {
		if (now != this.reachable) {
			this.reachable = now;
			this.events.record((now) ? EventKind.STORE_REACHED : EventKind.STORE_LOST, this.key, detail);
		}
	}

	/**
	 * The outcome of a write.
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

		/** It may have taken effect, or may still do so. */
		record Unknown() implements Outcome {

		}

		/** It certainly had no effect. */
		record Failed() implements Outcome {

		}

	}

}
