package org.brasspier.daemon.mesh;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import io.activej.promise.Promise;

/**
 * The platform's transactional store: rows in tables, each with a version from one
 * counter that grows with each transaction. What is acknowledged is kept. Belongs to the
 * thread of its event loop.
 */
public interface MetadataStore {

	/**
	 * Reads a table.
	 * @param table the table
	 * @return all its rows as of one moment; fails with a {@link StoreFailedException} if
	 * the store did not answer
	 */
	Promise<Rows> read(String table);

	/**
	 * Waits for changes of a table.
	 * @param table the table
	 * @param after the version up to which changes are known
	 * @param wait the longest time to wait; zero asks at once, on a connection of its own
	 * @return what changed, as soon as something did; no rows if nothing did; empty if
	 * the store no longer knows that far back; fails with a {@link StoreFailedException}
	 * if the store did not answer
	 */
	Promise<Optional<Rows>> changes(String table, long after, Duration wait);

	/**
	 * Writes rows if others are as expected, all or nothing.
	 * @param commit what to write, and under which conditions
	 * @return what came of it; never fails
	 */
	Promise<CommitResult> commit(Commit commit);

	/**
	 * A row.
	 *
	 * @param key its key
	 * @param value its value; empty if it is gone
	 * @param version the version that it has had since its last change
	 */
	record Row(String key, Optional<byte[]> value, long version) {
	}

	/**
	 * Rows as of one moment.
	 *
	 * @param rows the rows
	 * @param version the store's newest version at that moment
	 */
	record Rows(List<Row> rows, long version) {

	}

	/**
	 * A transaction.
	 *
	 * @param preconditions the versions that rows must have; 0 if a row must not exist
	 * @param puts the rows to write
	 */
	record Commit(List<Precondition> preconditions, List<Put> puts) {

	}

	/**
	 * A condition.
	 *
	 * @param table the row's table
	 * @param key the row's key
	 * @param version the version it must have; 0 if it must not exist
	 */
	record Precondition(String table, String key, long version) {
	}

	/**
	 * A row to write.
	 *
	 * @param table its table
	 * @param key its key
	 * @param value its value
	 */
	record Put(String table, String key, byte[] value) {
	}

	/**
	 * What came of a transaction.
	 */
	sealed interface CommitResult {

		/**
		 * It is done and kept.
		 *
		 * @param version the version that the written rows have now
		 */
		record Done(long version) implements CommitResult {
		}

		/** A condition did not hold; nothing was written, and never will be. */
		record Conflict() implements CommitResult {
		}

		/**
		 * The store turned it away; nothing was written, and never will be.
		 *
		 * @param reason why
		 */
		record Refused(String reason) implements CommitResult {
		}

		/**
		 * Nobody knows. It may be done, or be done seconds later if its conditions still
		 * hold then.
		 *
		 * @param reason why
		 */
		record Unknown(String reason) implements CommitResult {
		}

	}

	/**
	 * The store did not answer, or turned a read away.
	 */
	final class StoreFailedException extends Exception {

		private static final long serialVersionUID = 1;

		/**
		 * Creates the exception.
		 * @param reason why
		 */
		public StoreFailedException(String reason) {
			super(reason);
		}

	}

}
