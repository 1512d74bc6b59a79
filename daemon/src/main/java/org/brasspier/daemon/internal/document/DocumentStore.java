package org.brasspier.daemon.internal.document;

import java.util.Optional;

import io.activej.promise.Promise;
import io.vavr.control.Either;
import org.brasspier.core.ErrorKind;
import org.brasspier.core.Failure;
import org.brasspier.daemon.internal.platform.ObjectStore;
import org.brasspier.daemon.internal.platform.StoreException;
import org.brasspier.daemon.internal.platform.TableService;
import org.brasspier.wire.document.DocumentCodec;
import org.brasspier.wire.document.DocumentPointer;
import org.brasspier.wire.document.StoredDocument;

/**
 * The document in the platform's store: bodies that never change, named by their hash,
 * and one row that points to the one in force. Belongs to the thread of operators.
 */
final class DocumentStore {

	static final String POINTER_KEY = "document/pointer";

	private static final String BODY_PREFIX = "document/";

	private final TableService table;

	private final ObjectStore objects;

	/** Managers read the row each second, and it changes some times an hour. */
	private Optional<PointerRow> cachedRow = Optional.empty();

	DocumentStore(TableService table, ObjectStore objects) {
		this.table = table;
		this.objects = objects;
	}

	/**
	 * Reads the row.
	 * @return the row, empty if there is none, or a {@link StoreException}
	 */
	Promise<Optional<PointerRow>> readPointer() {
		if (this.cachedRow.isEmpty()) {
			return this.table.read(POINTER_KEY).then((row) -> decodeAndCache(row));
		}
		return this.table.readUnless(POINTER_KEY, this.cachedRow.get().rowVersion()).then((result) -> switch (result) {
			case TableService.ReadResult.Unchanged unchanged -> Promise.of(this.cachedRow);
			case TableService.ReadResult.Found(Optional<TableService.Row> row) -> decodeAndCache(row);
		});
	}

	private Promise<Optional<PointerRow>> decodeAndCache(Optional<TableService.Row> row) {
		this.cachedRow = Optional.empty();
		return (row.isEmpty()) ? Promise.of(Optional.empty())
				: toPromise(DocumentCodec.decodePointer(row.get().value())).map((pointer) -> {
					this.cachedRow = Optional.of(new PointerRow(row.get().version(), pointer));
					return this.cachedRow;
				});
	}

	/**
	 * Replaces the row if it still has the expected version.
	 * @param rowVersion the version the row must have; 0 if it must not exist
	 * @param pointer the new contents
	 * @return what became of it
	 */
	Promise<TableService.WriteResult> replacePointer(long rowVersion, DocumentPointer pointer) {
		return this.table.write(POINTER_KEY, rowVersion, DocumentCodec.encodePointer(pointer));
	}

	Promise<Void> putBody(byte[] bytes) {
		return this.objects.put(BODY_PREFIX + DocumentCodec.hash(bytes), bytes);
	}

	/**
	 * Fetches a body.
	 * @param hash the hash that names it
	 * @return the body, or a {@link StoreException}
	 */
	Promise<Body> readBody(String hash) {
		return this.objects.get(BODY_PREFIX + hash).then((bytes) -> {
			if (bytes.isEmpty() || !DocumentCodec.hash(bytes.get()).equals(hash)) {
				return Promise.ofException(new StoreException(Failure.of(ErrorKind.STATE_UNREADABLE,
						"the object store has no undamaged %s%s (TROUBLESHOOTING.md#stored-state)"
							.formatted(BODY_PREFIX, hash))));
			}
			return toPromise(DocumentCodec.decode(bytes.get())).map((stored) -> new Body(bytes.get(), stored));
		});
	}

	private static <T> Promise<T> toPromise(Either<Failure, T> decoded) {
		return decoded.fold((failure) -> Promise.ofException(new StoreException(failure)), Promise::of);
	}

	/**
	 * The row as read.
	 *
	 * @param rowVersion the row's version in the table
	 * @param pointer its contents
	 */
	record PointerRow(long rowVersion, DocumentPointer pointer) {

	}

	/**
	 * A body as read.
	 *
	 * @param bytes as it's kept
	 * @param stored the same, decoded
	 */
	record Body(byte[] bytes, StoredDocument stored) {

	}

}
