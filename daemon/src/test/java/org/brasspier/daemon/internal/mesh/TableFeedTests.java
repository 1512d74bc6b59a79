package org.brasspier.daemon.internal.mesh;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.codahale.metrics.MetricRegistry;
import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import org.brasspier.core.InstanceId;
import org.brasspier.daemon.mesh.MetadataStore;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Uses no network: calls of the store are recorded in lists, and the test answers them.
 */
class TableFeedTests {

	private static final MetadataStore.Rows ROWS_AT_VERSION_5 = new MetadataStore.Rows(List.of(), 5);

	private final Eventloop loop = Eventloop.builder().withCurrentThread().build();

	private final RecordedCalls store = new RecordedCalls();

	private final MeshLog log = new MeshLog(new InstanceId("self"), new MetricRegistry());

	private final StoreHealth health = new StoreHealth(this.log, new MetricRegistry());

	private final List<Long> received = new ArrayList<>();

	private final TableFeed feed = new TableFeed(this.loop, this.store, "table", Duration.ofMillis(200),
			(timing) -> timing.nextWait(0, 1), this.health, this.log,
			(rows, wholeTable) -> this.received.add(rows.version()));

	private void startAndRead() {
		this.feed.start();
		this.store.reads.get(0).set(ROWS_AT_VERSION_5);
	}

	@Test
	void aFeedWaitsForChangesAfterReadingTheTable() {
		startAndRead();
		assertThat(this.store.waits).containsExactly(Duration.ofSeconds(1));
		assertThat(this.received).containsExactly(5L);
	}

	/**
	 * Guards against a feed that ends for good because a change that it delivered could
	 * not be handled.
	 */
	@Test
	void aFeedGoesOnIfAChangeCannotBeHandled() {
		TableFeed failing = new TableFeed(this.loop, this.store, "table", Duration.ZERO,
				(timing) -> timing.nextWait(0, 1), this.health, this.log, (rows, wholeTable) -> {
					throw new IllegalStateException("can't be handled");
				});
		failing.start();
		try {
			this.store.reads.get(0).set(ROWS_AT_VERSION_5);
		}
		catch (IllegalStateException ex) {
			// The event loop reports it.
		}
		assertThat(this.store.afters).containsExactly(5L);
	}

	/**
	 * Guards against a feed that waits on a silent connection after another call has
	 * shown that the store is unavailable.
	 */
	@Test
	void aFeedPollsAgainAfterAnotherCallOfTheStoreFailed() {
		startAndRead();
		this.health.recordCall("leases", new MetadataStore.StoreFailedException("no answer"));
		assertThat(this.store.waits).containsExactly(Duration.ofSeconds(1), Duration.ZERO).inOrder();
	}

	/**
	 * Guards against a daemon that receives one change after another from other daemons
	 * only, while its own feed stays silent.
	 */
	@Test
	void aFeedPollsAgainAfterAnotherDaemonSentNewerRows() {
		startAndRead();
		this.feed.markSuspect("another daemon told newer rows");
		this.feed.markSuspect("another daemon told newer rows");
		assertThat(this.store.waits).containsExactly(Duration.ofSeconds(1), Duration.ZERO).inOrder();
		this.store.changes.get(1).set(Optional.of(new MetadataStore.Rows(List.of(), 9)));
		assertThat(this.store.waits).containsExactly(Duration.ofSeconds(1), Duration.ZERO, Duration.ofSeconds(1))
			.inOrder();
	}

	/**
	 * Guards against two concurrent calls of one feed after the first was abandoned.
	 */
	@Test
	void theAnswerToAnAbandonedCallIsIgnored() {
		startAndRead();
		this.feed.markSuspect("another daemon told newer rows");
		this.store.changes.get(0).set(Optional.of(new MetadataStore.Rows(List.of(), 7)));
		assertThat(this.store.waits).hasSize(2);
		this.store.changes.get(1).set(Optional.of(new MetadataStore.Rows(List.of(), 9)));
		assertThat(this.received).containsExactly(5L, 9L).inOrder();
	}

	@Test
	void aTableIsReadAgainWhenTheStoreHasDiscardedItsHistory() {
		startAndRead();
		this.store.changes.get(0).set(Optional.empty());
		assertThat(this.store.reads).hasSize(2);
	}

	/**
	 * Guards against a number of store calls that grows with the number of daemons.
	 */
	@Test
	void aPausedFeedMakesNoCalls() {
		startAndRead();
		this.feed.pause();
		this.store.changes.get(0).set(Optional.of(new MetadataStore.Rows(List.of(), 7)));
		this.health.recordCall("leases", new MetadataStore.StoreFailedException("no answer"));
		assertThat(this.store.waits).hasSize(1);
		assertThat(this.feed.isCurrent()).isFalse();
	}

	/**
	 * Guards against changes that are missed or read twice between pausing and resuming.
	 */
	@Test
	void aResumedFeedContinuesAfterTheChangesSentByOtherDaemons() {
		startAndRead();
		this.feed.pause();
		this.feed.advance(5, 8);
		this.feed.advance(9, 12);
		assertThat(this.feed.version()).isEqualTo(8);
		this.feed.resume();
		assertThat(this.store.afters).containsExactly(5L, 8L).inOrder();
		assertThat(this.store.waits).containsExactly(Duration.ofSeconds(1), Duration.ZERO).inOrder();
		this.store.changes.get(1).set(Optional.of(new MetadataStore.Rows(List.of(), 9)));
		assertThat(this.feed.isCurrent()).isTrue();
	}

	/**
	 * Guards against daemons that rely on a reader whose own calls to the store are not
	 * answered.
	 */
	@Test
	void aFeedWhoseCallFailedIsNotCurrentAndNotifiesItsListener() {
		List<Boolean> current = new ArrayList<>();
		this.feed.addSuspicionListener(() -> current.add(this.feed.isCurrent()));
		startAndRead();
		this.store.changes.get(0).setException(new MetadataStore.StoreFailedException("no answer"));
		assertThat(current).containsExactly(false);
	}

	/**
	 * Guards against a reader that is considered unanswered while it pauses to batch
	 * changes, so that all its followers read the store themselves.
	 */
	@Test
	void aFeedThatBecomesSuspectWhileBatchingChangesPollsAtOnce() {
		startAndRead();
		MetadataStore.Row row = new MetadataStore.Row("key", Optional.empty(), 7);
		this.store.changes.get(0).set(Optional.of(new MetadataStore.Rows(List.of(row), 7)));
		assertThat(this.store.waits).hasSize(1);
		this.feed.markSuspect("the store no longer answers another daemon");
		assertThat(this.store.waits).containsExactly(Duration.ofSeconds(1), Duration.ZERO).inOrder();
		this.store.changes.get(1).set(Optional.of(new MetadataStore.Rows(List.of(), 7)));
		assertThat(this.feed.isCurrent()).isTrue();
	}

	/**
	 * Guards against the same failure if another daemon sent a change first and the store
	 * has delivered it since.
	 */
	@Test
	void aFeedThatWasAnsweredInTheMeantimeIsNotSuspect() {
		Eventloop virtual = Eventloop.builder().withCurrentThread().build();
		TableFeed answered = new TableFeed(virtual, this.store, "table", Duration.ofSeconds(2),
				(timing) -> timing.nextWait(0, 1), this.health, this.log, (rows, wholeTable) -> {
				});
		answered.start();
		this.store.reads.get(0).set(ROWS_AT_VERSION_5);
		answered.expectChange("another daemon told newer rows");
		MetadataStore.Row row = new MetadataStore.Row("key", Optional.empty(), 7);
		this.store.changes.get(0).set(Optional.of(new MetadataStore.Rows(List.of(row), 7)));
		virtual.delay(800, () -> answered.pause());
		boolean[] current = new boolean[1];
		virtual.delay(700, () -> current[0] = answered.isCurrent());
		virtual.run();
		assertThat(current[0]).isTrue();
	}

	private static final class RecordedCalls implements MetadataStore {

		private final List<SettablePromise<Rows>> reads = new ArrayList<>();

		private final List<SettablePromise<Optional<Rows>>> changes = new ArrayList<>();

		private final List<Duration> waits = new ArrayList<>();

		private final List<Long> afters = new ArrayList<>();

		@Override
		public Promise<Rows> read(String table) {
			this.reads.add(new SettablePromise<>());
			return this.reads.get(this.reads.size() - 1);
		}

		@Override
		public Promise<Optional<Rows>> changes(String table, long after, Duration wait) {
			this.waits.add(wait);
			this.afters.add(after);
			this.changes.add(new SettablePromise<>());
			return this.changes.get(this.changes.size() - 1);
		}

		@Override
		public Promise<CommitResult> commit(Commit commit) {
			return Promise.of(new CommitResult.Refused("not part of this test"));
		}

	}

}
