package org.brasspier.daemon.internal;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import org.brasspier.core.event.EventKind;
import org.brasspier.daemon.internal.event.EventLog;
import org.brasspier.daemon.internal.operator.OperatorsDuty;
import org.brasspier.daemon.internal.ownership.OwnershipDuty;
import org.brasspier.daemon.internal.request.RequestsDuty;
import org.brasspier.daemon.internal.settings.Settings;

/**
 * A daemon: creates its duties and connects them. Starting and leaving is thread-safe.
 */
public final class Daemon {

	private static final int MAX_KEPT_EVENTS = 4096;

	private final DaemonContext context;

	private final OwnershipDuty ownership;

	private final RequestsDuty requests;

	private final OperatorsDuty operators;

	/**
	 * Creates a daemon that does not listen yet.
	 * @param settings the validated settings
	 */
	public Daemon(Settings settings) {
		this.context = new DaemonContext(settings, new EventLog(MAX_KEPT_EVENTS), new MetricRegistry());
		this.ownership = new OwnershipDuty(this.context);
		this.requests = new RequestsDuty(this.context, new RequestsDuty.SharedState(this.ownership::snapshot,
				this.ownership::view, this.context.documents()::catalog));
		this.requests.connectOwnership(this.ownership.connectRequests(this.requests.orders()));
		this.operators = new OperatorsDuty(this.context, this.ownership::snapshot, this.ownership::view,
				this.requests::gate, this.ownership.orders());
		this.ownership.setDocumentVersions(this.operators);
	}

	/**
	 * Opens all ports and starts the duties.
	 * @throws IOException if a port can't be opened
	 */
	public void start() throws IOException {
		this.context.events().start();
		this.operators.start();
		this.requests.start();
		this.ownership.start();
		this.context.events()
			.record(EventKind.DAEMON_STARTED, this.context.settings().instance(),
					this.context.settings().listen().callers().toString());
	}

	/**
	 * Shuts down: hands over the ranges that this instance owns, waits until no request
	 * is in flight or the time limit of the settings has passed, then stops all duties.
	 */
	public void leave() {
		this.context.events().record(EventKind.DAEMON_STOPPING, this.context.settings().instance(), "");
		CountDownLatch relinquished = new CountDownLatch(1);
		long maxMillis = this.context.settings().limits().maxLeaveMillis();
		long startedNanos = System.nanoTime();
		this.requests.startDraining();
		this.ownership.relinquish(relinquished::countDown);
		try {
			boolean completed = relinquished.await(maxMillis, TimeUnit.MILLISECONDS);
			long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos);
			this.requests.stop(Math.max(1, maxMillis - elapsedMillis));
			this.ownership.stop();
			this.operators.stop();
			this.context.events()
				.record(EventKind.DAEMON_STOPPED, this.context.settings().instance(),
						(completed) ? "nothing in flight" : "the time limit for leaving has passed");
			this.context.events().stop();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
