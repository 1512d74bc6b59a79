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
 * No network: the store is a list of calls that the test answers.
 */
class TableFeedTests {

	private static final MetadataStore.Rows FIVE = new MetadataStore.Rows(List.of(), 5);

	private final Eventloop loop = Eventloop.builder().withCurrentThread().build();

	private final RecordedCalls store = new RecordedCalls();

	private final MeshLog log = new MeshLog(new InstanceId("self"), new MetricRegistry());

	private final StoreHealth health = new StoreHealth(this.log, new MetricRegistry());

	private final List<Long> taken = new ArrayList<>();

	private final TableFeed feed = new TableFeed(this.loop, this.store, "table", Duration.ofMillis(200),
			(pace) -> pace.nextWait(0, 1), this.health, this.log, (rows, whole) -> this.taken.add(rows.version()));

	private void startedAndRead() {
		this.feed.start();
		this.store.reads.get(0).set(FIVE);
	}

	@Test
	void aFeedThatHasReadTheTableWaitsForChanges() {
		startedAndRead();
		assertThat(this.store.waits).containsExactly(Duration.ofSeconds(1));
		assertThat(this.taken).containsExactly(5L);
	}

	/**
	 * Guards against a feed that waits on a silent connection after another call has
	 * shown that the store is away.
	 */
	@Test
	void aFeedAsksAnewOnceAnotherCallOfTheStoreHasFailed() {
		startedAndRead();
		this.health.recordCall("leases", new MetadataStore.StoreFailedException("no answer"));
		assertThat(this.store.waits).containsExactly(Duration.ofSeconds(1), Duration.ZERO).inOrder();
	}

	/**
	 * Guards against a daemon that relies on others, one change after another, while its
	 * own feed stays silent.
	 */
	@Test
	void aFeedAsksAnewOnceAnotherDaemonKnewMore() {
		startedAndRead();
		this.feed.markSuspect("another daemon told newer rows");
		this.feed.markSuspect("another daemon told newer rows");
		assertThat(this.store.waits).containsExactly(Duration.ofSeconds(1), Duration.ZERO).inOrder();
		this.store.changes.get(1).set(Optional.of(new MetadataStore.Rows(List.of(), 9)));
		assertThat(this.store.waits).containsExactly(Duration.ofSeconds(1), Duration.ZERO, Duration.ofSeconds(1))
			.inOrder();
	}

	/**
	 * Guards against two calls of one feed under way at a time after the first was given
	 * up.
	 */
	@Test
	void theAnswerToACallThatWasGivenUpIsIgnored() {
		startedAndRead();
		this.feed.markSuspect("another daemon told newer rows");
		this.store.changes.get(0).set(Optional.of(new MetadataStore.Rows(List.of(), 7)));
		assertThat(this.store.waits).hasSize(2);
		this.store.changes.get(1).set(Optional.of(new MetadataStore.Rows(List.of(), 9)));
		assertThat(this.taken).containsExactly(5L, 9L).inOrder();
	}

	@Test
	void aTableIsReadAnewWhenTheStoreHasForgottenItsHistory() {
		startedAndRead();
		this.store.changes.get(0).set(Optional.empty());
		assertThat(this.store.reads).hasSize(2);
	}

	/**
	 * Guards against calls of the store that grow with the number of daemons.
	 */
	@Test
	void aFeedThatRestsAsksNothing() {
		startedAndRead();
		this.feed.pause();
		this.store.changes.get(0).set(Optional.of(new MetadataStore.Rows(List.of(), 7)));
		this.health.recordCall("leases", new MetadataStore.StoreFailedException("no answer"));
		assertThat(this.store.waits).hasSize(1);
		assertThat(this.feed.isCurrent()).isFalse();
	}

	/**
	 * Guards against changes that are missed, or read twice, between resting and asking.
	 */
	@Test
	void aFeedGoesOnFromWhatOtherDaemonsHaveTold() {
		startedAndRead();
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
	 * Guards against daemons that rely on a reader whose own calls are not answered.
	 */
	@Test
	void aFeedThatIsNotAnsweredIsNotCurrentAndSaysSo() {
		List<Boolean> current = new ArrayList<>();
		this.feed.addSuspicionListener(() -> current.add(this.feed.isCurrent()));
		startedAndRead();
		this.store.changes.get(0).setException(new MetadataStore.StoreFailedException("no answer"));
		assertThat(current).containsExactly(false);
	}

	/**
	 * Guards against a reader that counts as unanswered, so that all that follow it turn
	 * to the store, for as long as it leaves changes to gather.
	 */
	@Test
	void aFeedThatIsDoubtedWhileChangesGatherAsksAtOnce() {
		startedAndRead();
		MetadataStore.Row row = new MetadataStore.Row("key", Optional.empty(), 7);
		this.store.changes.get(0).set(Optional.of(new MetadataStore.Rows(List.of(row), 7)));
		assertThat(this.store.waits).hasSize(1);
		this.feed.markSuspect("the store no longer answers another daemon");
		assertThat(this.store.waits).containsExactly(Duration.ofSeconds(1), Duration.ZERO).inOrder();
		this.store.changes.get(1).set(Optional.of(new MetadataStore.Rows(List.of(), 7)));
		assertThat(this.feed.isCurrent()).isTrue();
	}

	/**
	 * Guards against the same where another daemon told the change first and the store
	 * has told it since.
	 */
	@Test
	void aFeedThatWasAnsweredInTheMeantimeIsNotDoubted() {
		Eventloop virtual = Eventloop.builder().withCurrentThread().build();
		TableFeed answered = new TableFeed(virtual, this.store, "table", Duration.ofSeconds(2),
				(pace) -> pace.nextWait(0, 1), this.health, this.log, (rows, whole) -> {
				});
		answered.start();
		this.store.reads.get(0).set(FIVE);
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
