package org.brasspier.daemon.internal.platform;

import java.util.Optional;

import io.activej.promise.Promise;

/**
 * The platform's transactional table. Each implementation belongs to one thread.
 */
public interface TableService {

	/**
	 * Reads a row.
	 * @param key the row's key
	 * @return the row, empty if there is none, or a {@link StoreException}
	 */
	Promise<Optional<Row>> read(String key);

	/**
	 * Reads a row if it has another version than the one that is known, which spares the
	 * bytes of one that rarely changes.
	 * @param key the row's key
	 * @param knownVersion the version that is known, at least 1
	 * @return the row as it is now, which may have the known version all the same; a
	 * {@link ReadResult.Unchanged} if it still has the known version; or a
	 * {@link StoreException}
	 */
	Promise<ReadResult> readUnless(String key, long knownVersion);

	/**
	 * Writes a row if it still has the expected version.
	 * @param key the row's key
	 * @param expectedVersion the version that the row must have; 0 if it must not exist
	 * @param value the new value
	 * @return what became of it; a {@link StoreException} only if the write certainly had
	 * no effect
	 */
	Promise<WriteResult> write(String key, long expectedVersion, byte[] value);

	/**
	 * A row as read. Immutable as long as nobody writes to the value.
	 *
	 * @param version the version, at least 1, one higher with each write
	 * @param value the value
	 */
	record Row(long version, byte[] value) {

	}

	/**
	 * What a conditional read found.
	 */
	sealed interface ReadResult {

		/** The row still has the known version. */
		record Unchanged() implements ReadResult {

		}

		/**
		 * The row as it is now.
		 *
		 * @param row empty if there is none
		 */
		record Found(Optional<Row> row) implements ReadResult {

		}

	}

	/**
	 * What became of a conditional write.
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
		 * The answer was lost: the write may have taken effect, or may yet. It is settled
		 * by reading the row back.
		 *
		 * @param cause what went wrong
		 */
		record Unknown(String cause) implements WriteResult {

		}

	}

}
