package org.brasspier.daemon.internal.mesh;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

import io.activej.reactor.nio.NioReactor;
import org.brasspier.core.mesh.FollowedReaders;
import org.brasspier.core.mesh.KnownRows;

/**
 * The daemons that follow this one. A follower receives the rows that it lacks when it
 * sends a request, and each later change at once. A follower that also reads the store
 * receives only rows that the store has not delivered to it for some time. Not
 * thread-safe; confined to the request thread.
 */
final class RowFollowers {

	/** A daemon that has sent no request for this time is no longer a follower. */
	private static final long FOLLOWER_TIMEOUT_NANOS = FollowedReaders.POLL_INTERVAL.multipliedBy(4).toNanos();

	/**
	 * A follower that still lacks rows this long after they were sent has not applied
	 * them, for example because it is reading the whole table again.
	 */
	private static final long APPLY_TIMEOUT_NANOS = Duration.ofSeconds(1).toNanos();

	/**
	 * Time that a follower that reads the store may lag behind before rows are sent to
	 * it. The store answers two daemons some hundred milliseconds apart, since changes
	 * are batched.
	 */
	private static final long MAX_LAG_NANOS = Duration.ofMillis(350).toNanos();

	private final NioReactor reactor;

	private final Function<KnownRows, HopMessage.RowChanges> missingRows;

	private final Map<Object, Follower> followers = new HashMap<>();

	private boolean posted;

	/**
	 * Creates an instance without followers.
	 * @param reactor the reactor of the request thread
	 * @param missingRows returns the rows that a follower with the given versions lacks
	 */
	RowFollowers(NioReactor reactor, Function<KnownRows, HopMessage.RowChanges> missingRows) {
		this.reactor = reactor;
		this.missingRows = missingRows;
	}

	/**
	 * Handles a request of a follower and answers it.
	 * @param connection the connection of the follower
	 * @param request the request, with the versions that the follower has
	 * @param sink sends messages to the follower
	 */
	void follow(Object connection, HopMessage.FollowRequest request, Sink sink) {
		this.followers.computeIfAbsent(connection, (key) -> new Follower(sink, request.known()))
			.onRequest(request, System.nanoTime());
	}

	void remove(Object connection) {
		this.followers.remove(connection);
	}

	// Returns whether any daemon follows this one.
	boolean hasFollowers() {
		long now = System.nanoTime();
		return this.followers.values().stream().anyMatch((follower) -> follower.isActive(now));
	}

	/**
	 * Sends new rows to all followers, once for all changes of one iteration of the event
	 * loop.
	 */
	void notifyFollowers() {
		if (!this.posted && !this.followers.isEmpty()) {
			this.posted = true;
			this.reactor.post(() -> {
				this.posted = false;
				long now = System.nanoTime();
				// Most followers lack the same rows, so each message is built once.
				Map<KnownRows, HopMessage.RowChanges> changes = new HashMap<>();
				// A follower whose connection breaks while it is written to is removed.
				List.copyOf(this.followers.values())
					.stream()
					.filter((follower) -> follower.isActive(now))
					.forEach((follower) -> follower.onChange(now, changes));
			});
		}
	}

	/**
	 * Sends messages to a follower.
	 */
	interface Sink {

		void send(HopMessage message);

		// Returns whether some of the data sent has not left this process yet.
		default boolean hasUnsentData() {
			return false;
		}

	}

	private final class Follower {

		private final Sink sink;

		private KnownRows sentVersions;

		private long lastRequestNanos;

		private boolean readsStore;

		private boolean lagging;

		private long laggingSinceNanos;

		private long sentNanos = System.nanoTime();

		Follower(Sink sink, KnownRows known) {
			this.sink = sink;
			this.sentVersions = known;
		}

		boolean isActive(long now) {
			return now - this.lastRequestNanos < FOLLOWER_TIMEOUT_NANOS;
		}

		void onRequest(HopMessage.FollowRequest request, long now) {
			this.lastRequestNanos = now;
			this.readsStore = request.readsStore();
			if (this.sink.hasUnsentData()) {
				this.sentNanos = now;
			}
			if (this.readsStore || now - this.sentNanos >= APPLY_TIMEOUT_NANOS) {
				this.sentVersions = request.known();
			}
			if (!this.readsStore) {
				sendRows(missingRows(), now);
				return;
			}
			boolean lacks = !missingRows().rows().isEmpty();
			if (lacks && this.lagging && now - this.laggingSinceNanos >= MAX_LAG_NANOS) {
				this.lagging = false;
				sendRows(missingRows(), now);
				return;
			}
			if (lacks != this.lagging) {
				this.lagging = lacks;
				this.laggingSinceNanos = now;
			}
			sendStatusOnly();
		}

		void onChange(long now, Map<KnownRows, HopMessage.RowChanges> changes) {
			if (this.readsStore) {
				sendStatusOnly();
			}
			else {
				sendRows(changes.computeIfAbsent(this.sentVersions, RowFollowers.this.missingRows), now);
			}
		}

		private HopMessage.RowChanges missingRows() {
			return RowFollowers.this.missingRows.apply(this.sentVersions);
		}

		private void sendRows(HopMessage.RowChanges changes, long now) {
			if (!changes.rows().isEmpty()) {
				this.sentNanos = now;
			}
			this.sentVersions = changes.upTo();
			this.sink.send(changes);
		}

		private void sendStatusOnly() {
			this.sink.send(missingRows().withoutRows());
		}

	}

}
