package org.brasspier.daemon.internal.mesh;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Function;

import io.activej.reactor.nio.NioReactor;
import org.brasspier.core.mesh.FollowedReaders;
import org.brasspier.core.mesh.KnownRows;

/**
 * The daemons that follow this one. Each is told what it lacks when it asks, and every
 * change as it comes. One that follows the store as well is told only what the store has
 * not told it for a while. Belongs to the thread of requests.
 */
final class RowFollowers {

	/** Who has not asked for so long follows no more. */
	private static final long FOLLOWS_NANOS = FollowedReaders.POLL_INTERVAL.multipliedBy(4).toNanos();

	/**
	 * A follower that still lacks what it was told so long ago did not take it, as one
	 * that reads a table anew does not.
	 */
	private static final long TAKEN_NANOS = Duration.ofSeconds(1).toNanos();

	/**
	 * Calls of two daemons that follow the store are answered some hundred milliseconds
	 * apart, since changes gather.
	 */
	private static final long BEHIND_NANOS = Duration.ofMillis(350).toNanos();

	private final NioReactor reactor;

	private final Function<KnownRows, HopMessage.RowChanges> lacking;

	private final Map<Object, Follower> followers = new HashMap<>();

	private boolean posted;

	/**
	 * Creates a list without followers.
	 * @param reactor the reactor of the thread of requests
	 * @param lacking what a follower lacks that knows so much
	 */
	RowFollowers(NioReactor reactor, Function<KnownRows, HopMessage.RowChanges> lacking) {
		this.reactor = reactor;
		this.lacking = lacking;
	}

	/**
	 * Takes that a daemon asks, and answers it.
	 * @param connection the connection it asks on
	 * @param asked what it knows
	 * @param sink sends to it
	 */
	void follow(Object connection, HopMessage.FollowRequest asked, Sink sink) {
		this.followers.computeIfAbsent(connection, (key) -> new Follower(sink, asked.known()))
			.asked(asked, System.nanoTime());
	}

	void remove(Object connection) {
		this.followers.remove(connection);
	}

	// Whether anyone relies on this daemon.
	boolean hasFollowers() {
		long now = System.nanoTime();
		return this.followers.values().stream().anyMatch((follower) -> follower.follows(now));
	}

	/** Tells all followers what is new, once for all changes of one turn of the loop. */
	void notifyFollowers() {
		if (!this.posted && !this.followers.isEmpty()) {
			this.posted = true;
			this.reactor.post(() -> {
				this.posted = false;
				long now = System.nanoTime();
				// Most followers lack the same, which is put together once.
				Map<KnownRows, HopMessage.RowChanges> passed = new HashMap<>();
				this.followers.values()
					.stream()
					.filter((follower) -> follower.follows(now))
					.forEach((follower) -> follower.changed(now, passed));
			});
		}
	}

	/**
	 * The way to a follower.
	 */
	interface Sink {

		void send(HopMessage message);

		// Whether something that was sent has not left this process yet.
		default boolean hasUnsentData() {
			return false;
		}

	}

	private final class Follower {

		private final Sink sink;

		private KnownRows told;

		private long askedNanos;

		private boolean reads;

		private boolean behind;

		private long behindSinceNanos;

		private long toldNanos = System.nanoTime();

		Follower(Sink sink, KnownRows known) {
			this.sink = sink;
			this.told = known;
		}

		boolean follows(long now) {
			return now - this.askedNanos < FOLLOWS_NANOS;
		}

		void asked(HopMessage.FollowRequest asked, long now) {
			this.askedNanos = now;
			this.reads = asked.readsStore();
			if (this.sink.hasUnsentData()) {
				this.toldNanos = now;
			}
			if (this.reads || now - this.toldNanos >= TAKEN_NANOS) {
				this.told = asked.known();
			}
			if (!this.reads) {
				tell(lacking(), now);
				return;
			}
			boolean lacks = !lacking().rows().isEmpty();
			if (lacks && this.behind && now - this.behindSinceNanos >= BEHIND_NANOS) {
				this.behind = false;
				tell(lacking(), now);
				return;
			}
			if (lacks != this.behind) {
				this.behind = lacks;
				this.behindSinceNanos = now;
			}
			sayOnlyWhetherCurrent();
		}

		void changed(long now, Map<KnownRows, HopMessage.RowChanges> passed) {
			if (this.reads) {
				sayOnlyWhetherCurrent();
			}
			else {
				tell(passed.computeIfAbsent(this.told, RowFollowers.this.lacking), now);
			}
		}

		private HopMessage.RowChanges lacking() {
			return RowFollowers.this.lacking.apply(this.told);
		}

		private void tell(HopMessage.RowChanges passed, long now) {
			if (!passed.rows().isEmpty()) {
				this.toldNanos = now;
			}
			this.told = passed.upTo();
			this.sink.send(passed);
		}

		private void sayOnlyWhetherCurrent() {
			this.sink.send(lacking().withoutRows());
		}

	}

}
