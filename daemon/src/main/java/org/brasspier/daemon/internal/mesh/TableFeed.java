package org.brasspier.daemon.internal.mesh;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Function;

import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import org.brasspier.core.mesh.FeedTiming;
import org.brasspier.daemon.mesh.MetadataStore;
import org.jspecify.annotations.Nullable;

/**
 * Follows the changes of one table of the store. Belongs to the thread of requests.
 */
final class TableFeed {

	/**
	 * How long after another daemon has told a change the store may take to tell it too:
	 * changes gather, and a slow store takes some hundred milliseconds.
	 */
	private static final Duration TOLD_LATER = Duration.ofMillis(600);

	private final NioReactor reactor;

	private final MetadataStore store;

	private final String table;

	private final Duration gather;

	private final Function<FeedTiming, Duration> nextWait;

	private final Receiver receiver;

	private final StoreHealth health;

	private final MeshLog log;

	private final FeedTiming pace = new FeedTiming();

	// Changes up to this version are known; nothing is while it is negative.
	private long version = -1;

	// Of the newest call; an answer to an earlier one is ignored.
	private long call;

	private boolean asking;

	// Between an answer that told a change and the next call.
	private boolean gathering;

	private Runnable doubtChanged = () -> {
	};

	// While others read the table for this daemon.
	private boolean resting;

	private long askedNanos;

	/**
	 * Creates a feed that has not asked yet.
	 * @param reactor the reactor of the thread of requests
	 * @param store the store
	 * @param table the table
	 * @param gather how long changes are left to gather in the store after one was told
	 * @param nextWait how long the store may hold back the next answer
	 * @param health is told of each answer
	 * @param log the log
	 * @param receiver takes what the store tells
	 */
	TableFeed(NioReactor reactor, MetadataStore store, String table, Duration gather,
			Function<FeedTiming, Duration> nextWait, StoreHealth health, MeshLog log, Receiver receiver) {
		this.reactor = reactor;
		this.store = store;
		this.table = table;
		this.gather = gather;
		this.nextWait = nextWait;
		this.health = health;
		this.log = log;
		this.receiver = receiver;
		health.addLossListener(() -> markSuspect("a call of the store failed"));
	}

	// Called when the store may have fallen silent, and when it answers again.
	void addSuspicionListener(Runnable listener) {
		this.doubtChanged = listener;
	}

	void start() {
		ask();
	}

	/**
	 * Asks the store anew unless that is being done: it may have answered the call that
	 * waits long ago, on a connection that has gone silent.
	 * @param reason why, for the log
	 */
	void markSuspect(String reason) {
		boolean news = this.pace.markSuspect();
		if (!news || !(this.asking || this.gathering)) {
			return;
		}
		this.log.record(MeshEvent.FEED_DOUBTED, "table", this.table, "version", this.version, "reason", reason,
				"asked_ms_ago", sinceAsked().toMillis());
		this.doubtChanged.run();
		ask();
	}

	/**
	 * Leaves the store alone, since other daemons tell what it says.
	 */
	void pause() {
		if (!this.resting) {
			this.resting = true;
			this.asking = false;
			this.gathering = false;
			this.call++;
		}
	}

	/**
	 * Follows the store again, and asks for an answer at once.
	 */
	void resume() {
		if (this.resting) {
			this.resting = false;
			this.pace.markSuspect();
			ask();
		}
	}

	// All changes up to this version are known; negative if nothing is.
	long version() {
		return this.version;
	}

	// Whether this feed follows the store, and the store answers.
	boolean isCurrent() {
		return !this.resting && this.version >= 0 && !this.pace.isSuspect();
	}

	/**
	 * Takes that another daemon has told all changes of a stretch.
	 * @param after the version from which on it told them
	 * @param upTo the version up to which it did
	 */
	void advance(long after, long upTo) {
		if (after <= Math.max(0, this.version)) {
			this.version = Math.max(this.version, upTo);
		}
	}

	/**
	 * Takes that another daemon has told a change that the store has not. The call that
	 * waits is to be answered soon, or its connection is silent.
	 * @param reason why, for the log
	 */
	void expectChange(String reason) {
		long number = this.call;
		if (this.asking) {
			this.reactor.delay(TOLD_LATER, () -> {
				if (number == this.call && this.asking) {
					markSuspect(reason);
				}
			});
		}
	}

	private void ask() {
		long number = ++this.call;
		this.gathering = false;
		boolean whole = this.version < 0;
		this.asking = true;
		this.askedNanos = System.nanoTime();
		Promise<Optional<MetadataStore.Rows>> answer = whole ? this.store.read(this.table).map(Optional::of)
				: this.store.changes(this.table, this.version, this.nextWait.apply(this.pace));
		answer.whenComplete((rows, ex) -> {
			if (number == this.call) {
				this.asking = false;
				answered(rows, whole, ex);
			}
		});
	}

	private void answered(Optional<MetadataStore.Rows> rows, boolean whole, @Nullable Exception failure) {
		boolean doubted = this.pace.isSuspect();
		if (failure != null) {
			Duration pause = this.pace.onFailure(sinceAsked());
			noteDoubt(doubted);
			later(pause);
		}
		else {
			boolean changed = whole || rows.filter((each) -> !each.rows().isEmpty()).isPresent();
			this.pace.onAnswer(changed);
			take(rows, whole);
			noteDoubt(doubted);
			this.gathering = changed && !whole;
			later(this.gathering ? this.gather : Duration.ZERO);
		}
		this.health.recordCall(this.table, failure);
	}

	private void noteDoubt(boolean before) {
		if (this.pace.isSuspect() != before) {
			this.doubtChanged.run();
		}
	}

	private void take(Optional<MetadataStore.Rows> rows, boolean whole) {
		if (rows.isEmpty()) {
			// The store has forgotten what lies between: everything is read anew.
			this.version = -1;
			return;
		}
		// An answer may lag behind an earlier one; versions only ever go up.
		if (rows.get().version() >= this.version) {
			this.version = rows.get().version();
			this.receiver.accept(rows.get(), whole);
		}
	}

	private void later(Duration pause) {
		if (pause.isZero()) {
			ask();
			return;
		}
		long number = this.call;
		this.reactor.delay(pause, () -> {
			if (number == this.call) {
				ask();
			}
		});
	}

	private Duration sinceAsked() {
		return Duration.ofNanos(System.nanoTime() - this.askedNanos);
	}

	/**
	 * Takes what the store told.
	 */
	interface Receiver {

		/**
		 * Takes rows.
		 * @param rows the rows
		 * @param whole whether these are all rows of the table
		 */
		void accept(MetadataStore.Rows rows, boolean whole);

	}

}
