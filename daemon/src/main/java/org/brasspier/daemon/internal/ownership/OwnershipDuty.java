package org.brasspier.daemon.internal.ownership;

import java.util.Optional;

import org.brasspier.core.routing.OwnershipSnapshot;
import org.brasspier.core.routing.PeerAddresses;
import org.brasspier.core.routing.RouteTable;
import org.brasspier.daemon.internal.DaemonContext;
import org.brasspier.daemon.internal.loop.Duty;
import org.brasspier.daemon.internal.loop.Ring;

/**
 * The duty that keeps this instance's lease and, where the cell's row says so, manages
 * the leases of others. Thread-safe.
 */
public final class OwnershipDuty {

	private static final int REPORTS = 1024;

	private final Duty duty = new Duty("ownership");

	private final Ring<RequestsReport> reports = new Ring<>(REPORTS, this.duty, this::report);

	private volatile OwnershipSnapshot snapshot;

	private volatile CellView view = CellView.UNKNOWN;

	private Optional<Ring<RequestsOrder>> requests = Optional.empty();

	private DocumentVersions documents = DocumentVersions.NONE;

	/**
	 * Creates the duty; it does nothing until it is started.
	 * @param context what every duty needs
	 */
	public OwnershipDuty(DaemonContext context) {
		this.snapshot = new OwnershipSnapshot(context.settings().instance(), RouteTable.EMPTY, RouteTable.EMPTY,
				System.nanoTime(), new PeerAddresses(java.util.Map.of()));
	}

	/**
	 * Joins the thread of requests; called before {@link #start()}.
	 * @param orders the ring into the thread of requests
	 * @return the ring for its reports
	 */
	public Ring<RequestsReport> joinRequests(Ring<RequestsOrder> orders) {
		this.requests = Optional.of(orders);
		return this.reports;
	}

	/**
	 * Joins the holder of the configuration document; called before {@link #start()}.
	 * @param versions told of the versions that peers have in force
	 */
	public void joinDocuments(DocumentVersions versions) {
		this.documents = versions;
	}

	/**
	 * Begins to work.
	 */
	public void start() {
		this.duty.start();
	}

	/**
	 * What this instance holds and knows now.
	 * @return the latest snapshot
	 */
	public OwnershipSnapshot snapshot() {
		return this.snapshot;
	}

	/**
	 * What this daemon knows of its cell.
	 * @return the latest view
	 */
	public CellView view() {
		return this.view;
	}

	private void report(RequestsReport report) {
	}

	/**
	 * Gives up everything this instance owns, gracefully.
	 * @param done called once nothing is owned any more
	 */
	public void leave(Runnable done) {
		this.duty.execute(done);
	}

	/**
	 * Ends the duty.
	 * @throws InterruptedException if the calling thread is interrupted
	 */
	public void stop() throws InterruptedException {
		this.duty.stop();
	}

}
