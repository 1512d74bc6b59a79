package org.brasspier.daemon.internal.document;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;

import io.activej.promise.Promise;
import org.brasspier.core.InstanceId;
import org.brasspier.daemon.internal.event.EventLog;
import org.brasspier.daemon.internal.platform.ObjectStore;
import org.brasspier.daemon.internal.platform.TableService;

/**
 * Submits configuration documents, follows the version in force and reads the history of
 * versions. Confined to the operators thread.
 */
public final class DocumentService {

	private final DocumentStore store;

	private final Submitter submitter;

	private final DocumentFollower follower;

	/**
	 * Creates the service.
	 * @param table the platform's table
	 * @param objects the platform's object store
	 * @param holder the holder of the version in force in this process
	 * @param peers fetches documents from other daemons
	 * @param events the event log
	 * @param isLeaseManager tells whether this daemon currently is a lease manager
	 */
	public DocumentService(TableService table, ObjectStore objects, DocumentHolder holder, PeerDocuments peers,
			EventLog events, BooleanSupplier isLeaseManager) {
		this.store = new DocumentStore(table, objects);
		this.submitter = new Submitter(this.store, holder, events, System::currentTimeMillis);
		this.follower = new DocumentFollower(this.store, holder, peers, events, isLeaseManager, System::nanoTime);
	}

	/**
	 * Puts a submitted document into force, or reports why it is not accepted.
	 * @param submission the submission
	 * @return the outcome; the promise never completes with an exception
	 */
	public Promise<SubmitOutcome> submit(Submission submission) {
		return this.submitter.submit(submission);
	}

	/**
	 * Reads the latest versions from the store.
	 * @param count the maximum number of versions
	 * @return the versions, newest first, or a
	 * {@link org.brasspier.daemon.internal.platform.StoreException}
	 */
	public Promise<List<DocumentHolder.DocumentVersion>> history(int count) {
		return this.store.readPointer()
			.then((row) -> readBackwards(row.map((current) -> current.pointer().hash()).orElse(""), count,
					new ArrayList<>()));
	}

	private Promise<List<DocumentHolder.DocumentVersion>> readBackwards(String hash, int count,
			List<DocumentHolder.DocumentVersion> versions) {
		if (hash.isEmpty() || versions.size() == count) {
			return Promise.of(versions);
		}
		return this.store.readBody(hash).then((body) -> {
			versions.add(new DocumentHolder.DocumentVersion(hash, body.bytes(), body.stored()));
			return readBackwards(body.stored().previousHash(), count, versions);
		});
	}

	/**
	 * Runs the periodic tasks that are due; called a few times a second.
	 */
	public void tick() {
		this.follower.tick();
	}

	/**
	 * Handles a heartbeat that carries the version a peer has in force.
	 * @param peer the peer
	 * @param version the version in force on the peer
	 */
	public void onPeerVersion(InstanceId peer, long version) {
		this.follower.onPeerVersion(peer, version);
	}

}
