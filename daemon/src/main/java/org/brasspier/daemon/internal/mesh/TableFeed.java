package org.brasspier.daemon.internal.mesh;

import java.time.Duration;
import java.util.Optional;
import java.util.function.BiConsumer;

import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import org.brasspier.daemon.mesh.MetadataStore;

/**
 * Follows the changes of one table of the store. Belongs to the thread of requests.
 */
final class TableFeed {

	/**
	 * How long the store may hold an answer back. A feed that went silent is noticed
	 * after this and a second; a shorter wait costs more calls.
	 */
	static final Duration WAIT = Duration.ofSeconds(6);

	/**
	 * How long changes are left to gather in the store. Rows change in groups, as when
	 * instances start or keys move, and a call for each change is one for each instance.
	 * Who must act on a change at once is told by whoever made it.
	 */
	private static final Duration GATHER = Duration.ofMillis(200);

	private static final Duration FIRST_PAUSE = Duration.ofMillis(100);

	private static final Duration LONGEST_PAUSE = Duration.ofMillis(800);

	private final NioReactor reactor;

	private final MetadataStore store;

	private final String table;

	private final BiConsumer<MetadataStore.Rows, Boolean> receiver;

	private final StoreHealth health;

	private Duration pause = FIRST_PAUSE;

	// Changes up to this version are known; nothing is while it is negative.
	private long version = -1;

	TableFeed(NioReactor reactor, MetadataStore store, String table, StoreHealth health,
			BiConsumer<MetadataStore.Rows, Boolean> receiver) {
		this.reactor = reactor;
		this.store = store;
		this.table = table;
		this.health = health;
		this.receiver = receiver;
	}

	void start() {
		next();
	}

	boolean known() {
		return this.version >= 0;
	}

	private void next() {
		Promise<Optional<MetadataStore.Rows>> answer = known() ? this.store.changes(this.table, this.version, WAIT)
				: this.store.read(this.table).map(Optional::of);
		boolean whole = !known();
		answer.whenComplete((rows, ex) -> {
			this.health.answered(this.table, ex);
			if (ex != null) {
				later();
				return;
			}
			this.pause = FIRST_PAUSE;
			take(rows, whole);
			boolean changed = !whole && rows.filter((each) -> !each.rows().isEmpty()).isPresent();
			if (changed) {
				this.reactor.delay(GATHER, this::next);
			}
			else {
				next();
			}
		});
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

	private void later() {
		this.reactor.delay(this.pause, this::next);
		Duration doubled = this.pause.multipliedBy(2);
		this.pause = (doubled.compareTo(LONGEST_PAUSE) > 0) ? LONGEST_PAUSE : doubled;
	}

}
