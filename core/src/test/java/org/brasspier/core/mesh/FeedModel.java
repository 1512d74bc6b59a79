package org.brasspier.core.mesh;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * Simulates daemons that follow one row of a store by feeds and tell each other what they
 * know, in virtual time. The store can go silent: calls that begin or end meanwhile are
 * never answered. Connections can also go silent permanently while new ones work.
 */
final class FeedModel {

	/** What a feed adds to its wait before a call times out. */
	private static final long MARGIN_MILLIS = 1000;

	/** The time until a change that one daemon knows has reached all others. */
	private static final long PROPAGATION_MILLIS = 900;

	private static final long BATCH_MILLIS = 200;

	private static final long ANSWER_MILLIS = 5;

	private final List<Feed> feeds = new ArrayList<>();

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::at).thenComparingLong(Event::order));

	private final SplittableRandom random;

	private long now;

	private long order;

	private long version;

	private long silentFrom = Long.MAX_VALUE;

	private long silentUntil = Long.MAX_VALUE;

	private long calls;

	FeedModel(int instances, long seed) {
		this.random = new SplittableRandom(seed);
		for (int i = 0; i < instances; i++) {
			Feed feed = new Feed(i);
			this.feeds.add(feed);
			at(this.random.nextLong(300), feed::ask);
		}
	}

	void silent(long from, long until) {
		this.silentFrom = from;
		this.silentUntil = until;
	}

	// Answers to calls in progress at that time are lost.
	void connectionsSilentAt(long when) {
		at(when, () -> this.feeds.forEach((feed) -> feed.answerLost = true));
	}

	void changeAt(long when) {
		at(when, () -> {
			this.version++;
			this.feeds.forEach(Feed::changed);
		});
	}

	void runUntil(long end) {
		while (!this.events.isEmpty() && this.events.peek().at <= end) {
			Event next = this.events.poll();
			this.now = next.at;
			next.action.run();
		}
		this.now = end;
	}

	long calls() {
		return this.calls;
	}

	long daemonsBehind() {
		return this.feeds.stream().filter((feed) -> feed.known < this.version).count();
	}

	// The first time in the interval at which no daemon is behind; empty if there is
	// none.
	Optional<Long> firstTimeAllCurrent(long from, long end) {
		for (long time = from; time <= end; time += 10) {
			runUntil(time);
			if (daemonsBehind() == 0) {
				return Optional.of(time);
			}
		}
		return Optional.empty();
	}

	private void at(long when, Runnable action) {
		this.events.add(new Event(when, this.order++, action));
	}

	private boolean silentNow() {
		return this.now >= this.silentFrom && this.now < this.silentUntil;
	}

	private record Event(long at, long order, Runnable action) {
	}

	private final class Feed {

		private final int position;

		private final FeedTiming timing = new FeedTiming();

		private long known;

		private long call;

		private long askedAt;

		private boolean waiting;

		private boolean answerLost;

		Feed(int position) {
			this.position = position;
		}

		void ask() {
			FeedModel model = FeedModel.this;
			model.calls++;
			this.call++;
			this.askedAt = model.now;
			this.waiting = true;
			this.answerLost = model.silentNow();
			long wait = this.timing.nextWait(this.position, model.feeds.size()).toMillis();
			long number = this.call;
			boolean changed = this.known < model.version;
			model.at(model.now + (changed ? ANSWER_MILLIS : wait + ANSWER_MILLIS), () -> answer(number));
			model.at(model.now + wait + MARGIN_MILLIS, () -> timeOut(number));
		}

		void changed() {
			if (this.waiting && this.known < FeedModel.this.version) {
				long number = this.call;
				FeedModel.this.at(FeedModel.this.now + ANSWER_MILLIS, () -> answer(number));
			}
		}

		private void answer(long number) {
			FeedModel model = FeedModel.this;
			if (number != this.call || !this.waiting || this.answerLost) {
				return;
			}
			if (model.silentNow()) {
				this.answerLost = true;
				return;
			}
			this.waiting = false;
			boolean changed = this.known < model.version;
			learn(model.version);
			this.timing.onAnswer(changed);
			model.at(model.now + (changed ? BATCH_MILLIS : 0), this::ask);
		}

		private void timeOut(long number) {
			if (number == this.call && this.waiting) {
				this.waiting = false;
				Duration retryDelay = this.timing.onFailure(Duration.ofMillis(FeedModel.this.now - this.askedAt));
				FeedModel.this.at(FeedModel.this.now + retryDelay.toMillis(), this::ask);
			}
		}

		private void learn(long learned) {
			if (learned > this.known) {
				this.known = learned;
				FeedModel.this.at(FeedModel.this.now + PROPAGATION_MILLIS,
						() -> FeedModel.this.feeds.forEach((other) -> other.known = Math.max(other.known, learned)));
			}
		}

	}

}
