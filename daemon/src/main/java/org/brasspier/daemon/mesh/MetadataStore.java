package org.brasspier.daemon.mesh;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import io.activej.promise.Promise;

/**
 * The platform's transactional store: rows in tables, each with a version from one
 * counter that increases with each transaction. Acknowledged writes are durable. Not
 * thread-safe; confined to the thread of its event loop.
 */
public interface MetadataStore {

	/**
	 * Reads a whole table.
	 * @param table the table name
	 * @return all rows of the table as a consistent snapshot; fails with a
	 * {@link StoreFailedException} if the store did not answer
	 */
	Promise<Rows> read(String table);

	/**
	 * Waits for changes of a table (long polling).
	 * @param table the table
	 * @param after version up to which the caller knows all changes
	 * @param wait longest time to wait; zero requests an immediate answer, on a separate
	 * connection
	 * @return the changed rows, as soon as there are any; no rows if nothing changed in
	 * time; empty if the store no longer has the changes since {@code after}; fails with
	 * a {@link StoreFailedException} if the store did not answer
	 */
	Promise<Optional<Rows>> changes(String table, long after, Duration wait);

	/**
	 * Writes rows atomically if all preconditions hold.
	 * @param commit the rows to write and the preconditions
	 * @return the result; the promise never fails
	 */
	Promise<CommitResult> commit(Commit commit);

	/**
	 * A row.
	 *
	 * @param key the row's key
	 * @param value the row's value; empty if the row was deleted
	 * @param version version of the row's last change
	 */
	record Row(String key, Optional<byte[]> value, long version) {
	}

	/**
	 * A consistent snapshot of rows.
	 *
	 * @param rows the rows
	 * @param version the store's newest version at the time of the snapshot
	 */
	record Rows(List<Row> rows, long version) {

	}

	/**
	 * A transaction.
	 *
	 * @param preconditions versions that rows must have; 0 if a row must not exist
	 * @param puts the rows to write
	 */
	record Commit(List<Precondition> preconditions, List<Put> puts) {

	}

	/**
	 * A precondition on the version of a row.
	 *
	 * @param table the row's table
	 * @param key the row's key
	 * @param version version that the row must have; 0 if the row must not exist
	 */
	record Precondition(String table, String key, long version) {
	}

	/**
	 * A row to write.
	 *
	 * @param table the row's table
	 * @param key the row's key
	 * @param value the value to write
	 */
	record Put(String table, String key, byte[] value) {
	}

	/**
	 * Result of a transaction.
	 */
	sealed interface CommitResult {

		/**
		 * The transaction was applied and is durable.
		 *
		 * @param version version of the written rows
		 */
		record Done(long version) implements CommitResult {
		}

		/** A precondition did not hold. Nothing was written, and nothing will be. */
		record Conflict() implements CommitResult {
		}

		/**
		 * The store rejected the transaction. Nothing was written, and nothing will be.
		 *
		 * @param reason description of the cause
		 */
		record Refused(String reason) implements CommitResult {
		}

		/**
		 * The outcome is unknown. The transaction may have been applied, or may be
		 * applied seconds later if its preconditions still hold then.
		 *
		 * @param reason description of the cause
		 */
		record Unknown(String reason) implements CommitResult {
		}

	}

	/**
	 * Thrown if the store did not answer or rejected a read.
	 */
	final class StoreFailedException extends Exception {

		private static final long serialVersionUID = 1;

		/**
		 * Creates the exception.
		 * @param reason description of the cause
		 */
		public StoreFailedException(String reason) {
			super(reason);
		}

	}

}
