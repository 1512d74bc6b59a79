package org.brasspier.daemon.internal.document;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import io.activej.promise.Promise;
import org.brasspier.core.ErrorKind;
import org.brasspier.core.Failure;
import org.brasspier.daemon.internal.platform.ObjectStore;
import org.brasspier.daemon.internal.platform.StoreException;
import org.brasspier.daemon.internal.platform.TableService;

/**
 * In-memory table and object store that simulates faults.
 */
public final class FakePlatform implements TableService, ObjectStore {

	private static final Runnable NO_OP = () -> {
	};

	public final Map<String, Row> rows = new HashMap<>();

	public final Map<String, byte[]> objects = new HashMap<>();

	/** The faults of the next writes, in order; writes succeed when it is empty. */
	public final Deque<WriteFault> writeFaults = new ArrayDeque<>();

	/** Run once, before the next write. */
	Runnable beforeWrite = NO_OP;

	/** Run once, after the next write whose answer is lost. */
	Runnable afterLostAnswer = NO_OP;

	public boolean down;

	int reads;

	private Runnable delayedWrite = NO_OP;

	@Override
	public Promise<Optional<Row>> read(String key) {
		this.reads++;
		return (this.down) ? unavailable() : Promise.of(Optional.ofNullable(this.rows.get(key)));
	}

	@Override
	public Promise<ReadResult> readUnless(String key, long knownVersion) {
		return read(key).map((row) -> (row.filter((current) -> current.version() == knownVersion).isPresent())
				? new ReadResult.Unchanged() : new ReadResult.Found(row));
	}

	@Override
	public Promise<WriteResult> write(String key, long expectedVersion, byte[] value) {
		runOnce(this.beforeWrite, () -> this.beforeWrite = NO_OP);
		if (this.down) {
			return unavailable();
		}
		WriteFault fault = (this.writeFaults.isEmpty()) ? WriteFault.NONE : this.writeFaults.removeFirst();
		switch (fault) {
			case NONE -> {
				return Promise.of(apply(key, expectedVersion, value));
			}
			case ANSWER_LOST -> {
				apply(key, expectedVersion, value);
				runOnce(this.afterLostAnswer, () -> this.afterLostAnswer = NO_OP);
			}
			case WRITE_LOST -> {
			}
			case WRITE_LATE -> this.delayedWrite = () -> apply(key, expectedVersion, value);
		}
		return Promise.of(new WriteResult.Unknown(fault.name()));
	}

	private static void runOnce(Runnable hook, Runnable clear) {
		clear.run();
		hook.run();
	}

	void deliverDelayedWrite() {
		this.delayedWrite.run();
	}

	private WriteResult apply(String key, long expectedVersion, byte[] value) {
		long actual = (this.rows.containsKey(key)) ? this.rows.get(key).version() : 0;
		if (actual != expectedVersion) {
			return new WriteResult.Conflict(actual);
		}
		this.rows.put(key, new Row(actual + 1, value));
		return new WriteResult.Written(actual + 1);
	}

	@Override
	public Promise<Void> put(String name, byte[] body) {
		if (this.down) {
			return unavailable();
		}
		this.objects.put(name, body);
		return Promise.complete();
	}

	@Override
	public Promise<Optional<byte[]>> get(String name) {
		return (this.down) ? unavailable() : Promise.of(Optional.ofNullable(this.objects.get(name)));
	}

	private static <T> Promise<T> unavailable() {
		return Promise.ofException(new StoreException(Failure.of(ErrorKind.STORE_UNAVAILABLE, "down")));
	}

	/**
	 * Fault of a write.
	 */
	public enum WriteFault {

		/** The write succeeds and is answered. */
		NONE,

		/** The write takes effect, but its answer is lost. */
		ANSWER_LOST,

		/** The write is lost, and the outcome is reported as unknown. */
		WRITE_LOST,

		/**
		 * The write is delayed until the test delivers it, and the outcome is reported as
		 * unknown.
		 */
		WRITE_LATE

	}

}
