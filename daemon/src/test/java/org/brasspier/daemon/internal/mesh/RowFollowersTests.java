package org.brasspier.daemon.internal.mesh;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.activej.eventloop.Eventloop;
import org.brasspier.core.mesh.KnownRows;
import org.brasspier.daemon.mesh.MetadataStore;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Uses no network: messages to followers are recorded in a list.
 */
class RowFollowersTests {

	private final Eventloop loop = Eventloop.builder().withCurrentThread().build();

	private final List<HopMessage.RowChanges> sent = new ArrayList<>();

	private long version = 5;

	private final RowFollowers followers = new RowFollowers(this.loop, this::missingRows);

	private HopMessage.RowChanges missingRows(KnownRows known) {
		MetadataStore.Row row = new MetadataStore.Row("key", Optional.empty(), this.version);
		List<MetadataStore.Row> rows = (known.mesh() < this.version) ? List.of(row) : List.of();
		return new HopMessage.RowChanges(known, new KnownRows(0, this.version), true,
				new HopMessage.RowsResponse(List.of(), rows));
	}

	private void follow(long known) {
		follow(known, false);
	}

	private void follow(long known, boolean readsStore) {
		this.followers.follow("connection", new HopMessage.FollowRequest(new KnownRows(0, known), readsStore),
				(message) -> this.sent.add((HopMessage.RowChanges) message));
	}

	@Test
	void aFollowerReceivesTheRowsThatItLacks() {
		follow(3);
		assertThat(this.sent.get(0).after().mesh()).isEqualTo(3);
		assertThat(this.sent.get(0).rows().mesh()).hasSize(1);
		assertThat(this.followers.hasFollowers()).isTrue();
	}

	/**
	 * Guards against followers that receive a change only with the answer to their next
	 * request.
	 */
	@Test
	void aChangeIsSentAtOnceAndOnlyOnce() {
		follow(5);
		this.version = 6;
		this.followers.notifyFollowers();
		this.followers.notifyFollowers();
		this.loop.run();
		follow(5);
		assertThat(this.sent.stream().map((changes) -> changes.rows().mesh().size()).toList()).containsExactly(0, 1, 0)
			.inOrder();
	}

	/**
	 * Guards against each change being sent from every reader to every other reader,
	 * although the store delivers it to all of them at the same time.
	 */
	@Test
	void aFollowerThatReadsTheStoreReceivesRowsOnlyIfItStaysBehind() throws InterruptedException {
		follow(5, true);
		this.version = 6;
		this.followers.notifyFollowers();
		this.loop.run();
		follow(5, true);
		assertThat(this.sent.stream().allMatch((changes) -> changes.rows().isEmpty())).isTrue();
		assertThat(this.sent.get(2).upTo()).isEqualTo(this.sent.get(2).after());
		Thread.sleep(400);
		follow(5, true);
		assertThat(this.sent.get(3).rows().mesh()).hasSize(1);
	}

	@Test
	void aRemovedFollowerReceivesNothing() {
		follow(5);
		this.followers.remove("connection");
		this.version = 6;
		this.followers.notifyFollowers();
		this.loop.run();
		assertThat(this.sent).hasSize(1);
		assertThat(this.followers.hasFollowers()).isFalse();
	}

	/**
	 * Guards against a large row that is sent again while the first copy is still being
	 * transmitted, so that a follower with little bandwidth receives it twice.
	 */
	@Test
	void rowsAreNotSentAgainWhileTheyAreStillBeingSent() throws InterruptedException {
		RowFollowers.Sink slow = new RowFollowers.Sink() {

			@Override
			public void send(HopMessage message) {
				RowFollowersTests.this.sent.add((HopMessage.RowChanges) message);
			}

			@Override
			public boolean hasUnsentData() {
				return true;
			}

		};
		HopMessage.FollowRequest request = new HopMessage.FollowRequest(new KnownRows(0, 3), false);
		this.followers.follow("narrow", request, slow);
		Thread.sleep(1100);
		this.followers.follow("narrow", request, slow);
		assertThat(this.sent.stream().map((changes) -> changes.rows().mesh().size()).toList()).containsExactly(1, 0)
			.inOrder();
	}

	/**
	 * Guards against rows that are encoded and compressed separately for each follower.
	 */
	@Test
	void followersThatLackTheSameRowsReceiveTheSameMessage() {
		follow(5);
		this.followers.follow("other", new HopMessage.FollowRequest(new KnownRows(0, 5), false),
				(message) -> this.sent.add((HopMessage.RowChanges) message));
		this.version = 6;
		this.followers.notifyFollowers();
		this.loop.run();
		assertThat(this.sent).hasSize(4);
		assertThat(this.sent.get(2)).isSameInstanceAs(this.sent.get(3));
	}

}
