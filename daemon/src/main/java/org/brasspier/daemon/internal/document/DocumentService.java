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
 * All that a daemon does about the document: submitting, keeping up, reading history.
 * Belongs to the thread of operators.
 */
public final class DocumentService {

	private final DocumentStore store;

	private final Submitter submitter;

	private final DocumentFollower follower;

	/**
	 * Creates the service.
	 * @param table the platform's table
	 * @param objects the platform's object store
	 * @param holder what is in force in this process
	 * @param peers the way to other daemons
	 * @param events the time line
	 * @param managing whether this daemon is a lease manager now
	 */
	public DocumentService(TableService table, ObjectStore objects, DocumentHolder holder, PeerDocuments peers,
			EventLog events, BooleanSupplier managing) {
		this.store = new DocumentStore(table, objects);
		this.submitter = new Submitter(this.store, holder, events, System::currentTimeMillis);
		this.follower = new DocumentFollower(this.store, holder, peers, events, managing, System::nanoTime);
	}

	/**
	 * Brings a submission into force, or says why not.
	 * @param submission the submission
	 * @return what became of it; never an exception
	 */
	public Promise<SubmitOutcome> submit(Submission submission) {
		return this.submitter.submit(submission);
	}

	/**
	 * Reads the latest versions.
	 * @param count how many at most
	 * @return the versions, newest first, or a
	 * {@link org.brasspier.daemon.internal.platform.StoreException}
	 */
	public Promise<List<DocumentHolder.Held>> history(int count) {
		return this.store.pointer()
			.then((row) -> back(row.map((found) -> found.pointer().hash()).orElse(""), count, new ArrayList<>()));
	}

	private Promise<List<DocumentHolder.Held>> back(String hash, int count, List<DocumentHolder.Held> found) {
		if (hash.isEmpty() || found.size() == count) {
			return Promise.of(found);
		}
		return this.store.body(hash).then((body) -> {
			found.add(new DocumentHolder.Held(hash, body.bytes(), body.stored()));
			return back(body.stored().previousHash(), count, found);
		});
	}

	/**
	 * Does what is due; called a few times a second.
	 */
	public void tick() {
		this.follower.tick();
	}

	/**
	 * A heartbeat told which version a peer has in force.
	 * @param peer the peer
	 * @param version the version
	 */
	public void seen(InstanceId peer, long version) {
		this.follower.seen(peer, version);
	}

}
