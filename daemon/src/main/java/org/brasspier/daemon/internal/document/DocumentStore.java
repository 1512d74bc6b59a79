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
 * Stores document versions in the platform's services: immutable bodies in the object
 * store, named by their hash, and one table row that points to the body in force.
 * Confined to the operators thread.
 */
final class DocumentStore {

	static final String POINTER_KEY = "document/pointer";

	private static final String BODY_PREFIX = "document/";

	private final TableService table;

	private final ObjectStore objects;

	/**
	 * Last row read, so that a read transfers the row only if it has changed: lease
	 * managers read it every second, and it changes a few times an hour.
	 */
	private Optional<PointerRow> cachedRow = Optional.empty();

	DocumentStore(TableService table, ObjectStore objects) {
		this.table = table;
		this.objects = objects;
	}

	/**
	 * Reads the pointer row.
	 * @return the row, empty if there is none, or a {@link StoreException}
	 */
	Promise<Optional<PointerRow>> readPointer() {
		if (this.cachedRow.isEmpty()) {
			return this.table.read(POINTER_KEY).then((row) -> decodeAndCache(row));
		}
		return this.table.readUnless(POINTER_KEY, this.cachedRow.get().rowVersion()).then((result) -> switch (result) {
			case TableService.ReadResult.Unchanged ignored -> Promise.of(this.cachedRow);
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
	 * Replaces the pointer row if it still has the expected version.
	 * @param rowVersion the version that the row must have; 0 if it must not exist
	 * @param pointer the new contents
	 * @return the result of the write
	 */
	Promise<TableService.WriteResult> replacePointer(long rowVersion, DocumentPointer pointer) {
		return this.table.write(POINTER_KEY, rowVersion, DocumentCodec.encodePointer(pointer));
	}

	Promise<Void> putBody(byte[] bytes) {
		return this.objects.put(BODY_PREFIX + DocumentCodec.hash(bytes), bytes);
	}

	/**
	 * Fetches a body.
	 * @param hash the hash of the body, which is its name
	 * @return the body, or a {@link StoreException}
	 */
	Promise<Body> readBody(String hash) {
		return this.objects.get(BODY_PREFIX + hash).then((bytes) -> {
			if (bytes.isEmpty() || !DocumentCodec.hash(bytes.get()).equals(hash)) {
				return Promise.ofException(new StoreException(Failure.of(ErrorKind.STATE_UNREADABLE,
						"the object store holds no intact copy of %s%s (TROUBLESHOOTING.md#stored-state)"
							.formatted(BODY_PREFIX, hash))));
			}
			return toPromise(DocumentCodec.decode(bytes.get())).map((stored) -> new Body(bytes.get(), stored));
		});
	}

	private static <T> Promise<T> toPromise(Either<Failure, T> decoded) {
		return decoded.fold((failure) -> Promise.ofException(new StoreException(failure)), Promise::of);
	}

	/**
	 * The pointer row as read from the table.
	 *
	 * @param rowVersion the version of the row in the table
	 * @param pointer the contents of the row
	 */
	record PointerRow(long rowVersion, DocumentPointer pointer) {

	}

	/**
	 * A document body as read from the object store.
	 *
	 * @param bytes the encoded body
	 * @param stored the decoded body
	 */
	record Body(byte[] bytes, StoredDocument stored) {

	}

}
