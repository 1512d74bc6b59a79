package org.brasspier.daemon.internal.mesh;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
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
	private static final long FOLLOWS_NANOS = FollowedReaders.ASK_EVERY.multipliedBy(4).toNanos();

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

	private final Function<KnownRows, HopMessage.RowsPassed> lacking;

	private final Map<Object, Follower> followers = new HashMap<>();

	private boolean posted;

	/**
	 * Creates a list without followers.
	 * @param reactor the reactor of the thread of requests
	 * @param lacking what a follower lacks that knows so much
	 */
	RowFollowers(NioReactor reactor, Function<KnownRows, HopMessage.RowsPassed> lacking) {
		this.reactor = reactor;
		this.lacking = lacking;
	}

	/**
	 * Takes that a daemon asks, and answers it.
	 * @param connection the connection it asks on
	 * @param asked what it knows
	 * @param sender sends to it
	 */
	void followed(Object connection, HopMessage.RowsFollowed asked, Consumer<HopMessage> sender) {
		this.followers.computeIfAbsent(connection, (key) -> new Follower(sender, asked.known()))
			.asked(asked, System.nanoTime());
	}

	void gone(Object connection) {
		this.followers.remove(connection);
	}

	// Whether anyone relies on this daemon.
	boolean any() {
		long now = System.nanoTime();
		return this.followers.values().stream().anyMatch((follower) -> follower.follows(now));
	}

	/** Tells all followers what is new, once for all changes of one turn of the loop. */
	void changed() {
		if (!this.posted && !this.followers.isEmpty()) {
			this.posted = true;
			this.reactor.post(() -> {
				this.posted = false;
				long now = System.nanoTime();
				this.followers.values()
					.stream()
					.filter((follower) -> follower.follows(now))
					.forEach((follower) -> follower.changed(now));
			});
		}
	}

	private final class Follower {

		private final Consumer<HopMessage> sender;

		private KnownRows told;

		private long askedNanos;

		private boolean reads;

		private boolean behind;

		private long behindSinceNanos;

		private long toldNanos = System.nanoTime();

		Follower(Consumer<HopMessage> sender, KnownRows known) {
			this.sender = sender;
			this.told = known;
		}

		boolean follows(long now) {
			return now - this.askedNanos < FOLLOWS_NANOS;
		}

		void asked(HopMessage.RowsFollowed asked, long now) {
			this.askedNanos = now;
			this.reads = asked.reads();
			if (this.reads || now - this.toldNanos >= TAKEN_NANOS) {
				this.told = asked.known();
			}
			if (!this.reads) {
				tell(now);
				return;
			}
			boolean lacks = !lacking().rows().isEmpty();
			if (lacks && this.behind && now - this.behindSinceNanos >= BEHIND_NANOS) {
				this.behind = false;
				tell(now);
				return;
			}
			if (lacks != this.behind) {
				this.behind = lacks;
				this.behindSinceNanos = now;
			}
			sayOnlyWhetherCurrent();
		}

		void changed(long now) {
			if (this.reads) {
				sayOnlyWhetherCurrent();
			}
			else {
				tell(now);
			}
		}

		private HopMessage.RowsPassed lacking() {
			return RowFollowers.this.lacking.apply(this.told);
		}

		private void tell(long now) {
			HopMessage.RowsPassed passed = lacking();
			if (!passed.rows().isEmpty()) {
				this.toldNanos = now;
			}
			this.told = passed.upTo();
			this.sender.accept(passed);
		}

		private void sayOnlyWhetherCurrent() {
			this.sender.accept(lacking().withoutRows());
		}

	}

}
