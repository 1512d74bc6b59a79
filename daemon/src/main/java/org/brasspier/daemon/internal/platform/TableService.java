package org.brasspier.daemon.internal.platform;

import java.util.Optional;

import io.activej.promise.Promise;

/**
 * The platform's transactional table. Implementations are not thread-safe; each is
 * confined to one thread.
 */
public interface TableService {

	/**
	 * Reads a row.
	 * @param key the row's key
	 * @return the row, empty if there is none; fails with a {@link StoreException}
	 */
	Promise<Optional<Row>> read(String key);

	/**
	 * Reads a row unless it still has the known version, which saves the transfer of rows
	 * that rarely change.
	 * @param key the row's key
	 * @param knownVersion the known version, at least 1
	 * @return {@link ReadResult.Unchanged} if the row still has the known version;
	 * otherwise the current row. An implementation may return the current row in either
	 * case. Fails with a {@link StoreException}
	 */
	Promise<ReadResult> readUnless(String key, long knownVersion);

	/**
	 * Writes a row if it still has the expected version.
	 * @param key the row's key
	 * @param expectedVersion the version that the row must have; 0 if it must not exist
	 * @param value the new value
	 * @return the outcome; fails with a {@link StoreException} only if the write
	 * certainly had no effect
	 */
	Promise<WriteResult> write(String key, long expectedVersion, byte[] value);

	/**
	 * A row as read. Immutable as long as the array of the value is not modified.
	 *
	 * @param version the version, at least 1, incremented by each write
	 * @param value the value
	 */
	record Row(long version, byte[] value) {

	}

	/**
	 * The result of a conditional read.
	 */
	sealed interface ReadResult {

		/** The row still has the known version. */
		record Unchanged() implements ReadResult {

		}

		/**
		 * The current row.
		 *
		 * @param row the row, empty if there is none
		 */
		record Found(Optional<Row> row) implements ReadResult {

		}

	}

	/**
	 * The outcome of a conditional write.
	 */
	sealed interface WriteResult {

		/**
		 * The write took effect.
		 *
		 * @param version the row's new version
		 */
		record Written(long version) implements WriteResult {

		}

		/**
		 * The row had another version; nothing was written.
		 *
		 * @param actualVersion the version it had
		 */
		record Conflict(long actualVersion) implements WriteResult {

		}

		/**
		 * No valid response was received, so the write may have taken effect or may still
		 * take effect. Reading the row again resolves this.
		 *
		 * @param cause the cause, as text
		 */
		record Unknown(String cause) implements WriteResult {

		}

	}

}
