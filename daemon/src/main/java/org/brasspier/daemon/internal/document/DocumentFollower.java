package org.brasspier.daemon.internal.document;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

import io.activej.promise.Promise;
import org.brasspier.core.InstanceId;
import org.brasspier.core.event.EventKind;
import org.brasspier.daemon.internal.event.EventLog;
import org.brasspier.daemon.internal.platform.StoreException;
import org.brasspier.wire.document.DocumentCodec;

/**
 * Keeps this process up with the version in force. Heartbeats tell which version a peer
 * has; a daemon that is behind fetches the body from that peer. The row itself is read by
 * lease managers each second, and by others only as long as no heartbeat tells them
 * anything. Belongs to the thread of operators.
 * <p>
 * Reads of the table at 3,500 daemons in 175 cells: two managers a cell once a second are
 * 350 a second; if in some disaster no heartbeat arrived anywhere, 3,500 daemons once in
 * 6 s are 583 more, of the 2,000 a second that the platform gives.
 */
final class DocumentFollower {

	static final Duration MANAGER_READ_PERIOD = Duration.ofSeconds(1);

	/** Below the 9 s within which a change must be in force, with the fetch. */
	static final Duration FALLBACK_READ_PERIOD = Duration.ofSeconds(6);

	private final DocumentStore store;

	private final DocumentHolder holder;

	private final PeerDocuments peers;

	private final EventLog events;

	private final BooleanSupplier isLeaseManager;

	private final LongSupplier nanoTime;

	private long nextReadNanos;

	private boolean reading;

	private boolean fetching;

	private String lastFailureDetail = "";

	DocumentFollower(DocumentStore store, DocumentHolder holder, PeerDocuments peers, EventLog events,
			BooleanSupplier isLeaseManager, LongSupplier nanoTime) {
		this.store = store;
		this.holder = holder;
		this.peers = peers;
		this.events = events;
		this.isLeaseManager = isLeaseManager;
		this.nanoTime = nanoTime;
		this.nextReadNanos = nanoTime.getAsLong();
	}

	/**
	 * Reads the row if it's time to.
	 */
	void tick() {
		if (this.reading || this.nanoTime.getAsLong() - this.nextReadNanos < 0) {
			return;
		}
		this.reading = true;
		this.store.readPointer().then((row) -> applyRow(row)).whenComplete((ignored, ex) -> {
			this.reading = false;
			this.nextReadNanos = this.nanoTime.getAsLong() + nextReadPeriod().toNanos();
			if (ex != null) {
				recordUnreadable(ex);
			}
		});
	}

	private Duration nextReadPeriod() {
		boolean frequent = this.isLeaseManager.getAsBoolean() || !this.holder.inForce().known();
		Duration period = (frequent) ? MANAGER_READ_PERIOD : FALLBACK_READ_PERIOD;
		// Daemons that were started together must not read together for ever after.
		return period.multipliedBy(ThreadLocalRandom.current().nextLong(75, 100)).dividedBy(100);
	}

	private Promise<Void> applyRow(Optional<DocumentStore.PointerRow> row) {
		if (row.isEmpty()) {
			this.holder.onStoreEmpty();
			return Promise.complete();
		}
		if (row.get().pointer().version() <= this.holder.inForce().version()) {
			return Promise.complete();
		}
		return this.store.readBody(row.get().pointer().hash())
			.whenResult((body) -> this.holder.applyIfNewer(body.bytes(), body.stored()))
			.toVoid();
	}

	private void recordUnreadable(Exception ex) {
		// Said once for each new reason: a damaged row is read again each second.
		if (ex instanceof StoreException storeException
				&& !storeException.failure().detail().equals(this.lastFailureDetail)) {
			this.lastFailureDetail = storeException.failure().detail();
			this.events.record(EventKind.DOCUMENT_UNREADABLE, "document", this.lastFailureDetail);
		}
	}

	/**
	 * A heartbeat told which version a peer has in force.
	 * @param peer the peer
	 * @param version the version
	 */
	void onPeerVersion(InstanceId peer, long version) {
		if (!this.isLeaseManager.getAsBoolean() && this.holder.inForce().known()) {
			// Heartbeats carry versions, so the row need not be read.
			this.nextReadNanos = this.nanoTime.getAsLong() + FALLBACK_READ_PERIOD.toNanos();
		}
		if (version <= this.holder.inForce().version() || this.fetching) {
			return;
		}
		this.fetching = true;
		this.peers.fetch(peer).whenComplete((bytes, ex) -> {
			this.fetching = false;
			if (ex != null || !applyFetched(bytes)) {
				// The peer is gone or told nonsense: the store knows as well.
				this.nextReadNanos = this.nanoTime.getAsLong();
				tick();
			}
		});
	}

	private boolean applyFetched(byte[] bytes) {
		return DocumentCodec.decode(bytes)
			.peek((stored) -> this.holder.applyIfNewer(bytes, stored))
			.peekLeft((failure) -> this.events.record(EventKind.DOCUMENT_UNREADABLE, "peer", failure.detail()))
			.isRight();
	}

}
