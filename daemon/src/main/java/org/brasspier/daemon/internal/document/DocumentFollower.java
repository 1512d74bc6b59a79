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
 * Keeps this process up to date with the document version in force. Heartbeats carry the
 * version that each peer has in force; a daemon with an older version fetches the body
 * from that peer. The pointer row is read every second by lease managers, and by other
 * daemons only while they receive no heartbeats. Confined to the operators thread.
 * <p>
 * Load on the table with 3,500 daemons in 175 cells: two lease managers per cell, each
 * reading once a second, make 350 reads a second. If no heartbeat arrived anywhere, 3,500
 * daemons reading once every 6 s would add 583 reads a second. The platform allows 2,000
 * reads a second.
 */
final class DocumentFollower {

	static final Duration MANAGER_READ_PERIOD = Duration.ofSeconds(1);

	/**
	 * Period of reads while no heartbeat arrives. A change must be in force within 9 s,
	 * which has to cover this period and the fetch of the body.
	 */
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
	 * Reads the pointer row if the next read is due.
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
		// Jitter: daemons that were started together must not keep reading together.
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
		// Recorded once per distinct failure: a damaged row is read again every second.
		if (ex instanceof StoreException storeException
				&& !storeException.failure().detail().equals(this.lastFailureDetail)) {
			this.lastFailureDetail = storeException.failure().detail();
			this.events.record(EventKind.DOCUMENT_UNREADABLE, "document", this.lastFailureDetail);
		}
	}

	/**
	 * Handles a heartbeat that carries the version a peer has in force.
	 * @param peer the peer
	 * @param version the version in force on the peer
	 */
	void onPeerVersion(InstanceId peer, long version) {
		if (!this.isLeaseManager.getAsBoolean() && this.holder.inForce().known()) {
			// Heartbeats carry the version, so the read of the row is postponed.
			this.nextReadNanos = this.nanoTime.getAsLong() + FALLBACK_READ_PERIOD.toNanos();
		}
		if (version <= this.holder.inForce().version() || this.fetching) {
			return;
		}
		this.fetching = true;
		this.peers.fetch(peer).whenComplete((bytes, ex) -> {
			this.fetching = false;
			if (ex != null || !applyFetched(bytes)) {
				// The peer is unreachable or its body is invalid: read the store.
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
