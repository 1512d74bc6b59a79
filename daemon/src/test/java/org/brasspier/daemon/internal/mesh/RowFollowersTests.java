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
 * No network: what is sent to a follower is kept in a list.
 */
class RowFollowersTests {

	private final Eventloop loop = Eventloop.builder().withCurrentThread().build();

	private final List<HopMessage.RowChanges> sent = new ArrayList<>();

	private long version = 5;

	private final RowFollowers followers = new RowFollowers(this.loop, this::lacking);

	private HopMessage.RowChanges lacking(KnownRows known) {
		MetadataStore.Row row = new MetadataStore.Row("key", Optional.empty(), this.version);
		List<MetadataStore.Row> rows = (known.mesh() < this.version) ? List.of(row) : List.of();
		return new HopMessage.RowChanges(known, new KnownRows(0, this.version), true,
				new HopMessage.RowsResponse(List.of(), rows));
	}

	private void followed(long known) {
		followed(known, false);
	}

	private void followed(long known, boolean reads) {
		this.followers.follow("connection", new HopMessage.FollowRequest(new KnownRows(0, known), reads),
				(message) -> this.sent.add((HopMessage.RowChanges) message));
	}

	@Test
	void whoAsksIsToldWhatItLacks() {
		followed(3);
		assertThat(this.sent.get(0).after().mesh()).isEqualTo(3);
		assertThat(this.sent.get(0).rows().mesh()).hasSize(1);
		assertThat(this.followers.hasFollowers()).isTrue();
	}

	/**
	 * Guards against followers that learn of a change only when they ask the next time.
	 */
	@Test
	void aChangeIsToldAtOnceAndOnlyOnce() {
		followed(5);
		this.version = 6;
		this.followers.notifyFollowers();
		this.followers.notifyFollowers();
		this.loop.run();
		followed(5);
		assertThat(this.sent.stream().map((passed) -> passed.rows().mesh().size()).toList()).containsExactly(0, 1, 0)
			.inOrder();
	}

	/**
	 * Guards against each change going from every reader to every other one, which the
	 * store tells them at the same moment.
	 */
	@Test
	void whoReadsTheStoreTooIsToldNoRowsUnlessItStaysBehind() throws InterruptedException {
		followed(5, true);
		this.version = 6;
		this.followers.notifyFollowers();
		this.loop.run();
		followed(5, true);
		assertThat(this.sent.stream().allMatch((passed) -> passed.rows().isEmpty())).isTrue();
		assertThat(this.sent.get(2).upTo()).isEqualTo(this.sent.get(2).after());
		Thread.sleep(400);
		followed(5, true);
		assertThat(this.sent.get(3).rows().mesh()).hasSize(1);
	}

	@Test
	void whoIsGoneIsToldNothing() {
		followed(5);
		this.followers.remove("connection");
		this.version = 6;
		this.followers.notifyFollowers();
		this.loop.run();
		assertThat(this.sent).hasSize(1);
		assertThat(this.followers.hasFollowers()).isFalse();
	}

	/**
	 * Guards against a large row that is sent again while it is still being sent, so that
	 * a follower on a narrow network gets it twice.
	 */
	@Test
	void aFollowerIsNotToldAgainWhileTheFirstTellingIsStillBeingSent() throws InterruptedException {
		RowFollowers.Sink narrow = new RowFollowers.Sink() {

			@Override
			public void send(HopMessage message) {
				RowFollowersTests.this.sent.add((HopMessage.RowChanges) message);
			}

			@Override
			public boolean hasUnsentData() {
				return true;
			}

		};
		HopMessage.FollowRequest asked = new HopMessage.FollowRequest(new KnownRows(0, 3), false);
		this.followers.follow("narrow", asked, narrow);
		Thread.sleep(1100);
		this.followers.follow("narrow", asked, narrow);
		assertThat(this.sent.stream().map((passed) -> passed.rows().mesh().size()).toList()).containsExactly(1, 0)
			.inOrder();
	}

	/**
	 * Guards against rows that are put together and compressed for each follower anew.
	 */
	@Test
	void followersThatLackTheSameAreToldTheSameMessage() {
		followed(5);
		this.followers.follow("other", new HopMessage.FollowRequest(new KnownRows(0, 5), false),
				(message) -> this.sent.add((HopMessage.RowChanges) message));
		this.version = 6;
		this.followers.notifyFollowers();
		this.loop.run();
		assertThat(this.sent).hasSize(4);
		assertThat(this.sent.get(2)).isSameInstanceAs(this.sent.get(3));
	}

}
