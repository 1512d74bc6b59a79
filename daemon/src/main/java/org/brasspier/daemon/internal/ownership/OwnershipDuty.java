package org.brasspier.daemon.internal.ownership;

import org.brasspier.core.routing.OwnershipSnapshot;
import org.brasspier.core.routing.PeerAddresses;
import org.brasspier.core.routing.RouteTable;
import org.brasspier.daemon.internal.DaemonContext;
import org.brasspier.daemon.internal.loop.Duty;

/**
 * The duty that keeps this instance's lease and, where the cell's row says so, manages
 * the leases of others. Thread-safe.
 */
public final class OwnershipDuty {

	private final Duty duty = new Duty("ownership");

	private volatile OwnershipSnapshot snapshot;

	/**
	 * Creates the duty; it does nothing until it is started.
	 * @param context what every duty needs
	 */
	public OwnershipDuty(DaemonContext context) {
		this.snapshot = new OwnershipSnapshot(context.settings().instance(), RouteTable.EMPTY, RouteTable.EMPTY,
				System.nanoTime(), new PeerAddresses(java.util.Map.of()));
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
