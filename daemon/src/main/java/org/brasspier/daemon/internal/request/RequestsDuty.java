package org.brasspier.daemon.internal.request;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;

import org.brasspier.core.document.ServiceCatalog;
import org.brasspier.core.routing.OwnershipSnapshot;
import org.brasspier.daemon.internal.DaemonContext;
import org.brasspier.daemon.internal.loop.Duty;
import org.brasspier.daemon.internal.loop.Ring;
import org.brasspier.daemon.internal.ownership.CellView;
import org.brasspier.daemon.internal.ownership.RequestsOrder;
import org.brasspier.daemon.internal.ownership.RequestsReport;
import org.jspecify.annotations.Nullable;

/**
 * The duty that serves callers, other daemons' requests and the backend server. Starting
 * and stopping is thread-safe.
 */
public final class RequestsDuty {

	/**
	 * More than the ranges of a cell, each drained twice; the thread of ownership asks
	 * again for what did not fit.
	 */
	private static final int ORDERS = 1024;

	/** An operator looks at most once a second; more often would cost the requests. */
	private static final Duration VIEW_EVERY = Duration.ofMillis(200);

	private final Duty duty = new Duty("requests");

	private final Ring<RequestsOrder> orders = new Ring<>(ORDERS, this.duty, this::order);

	private final DaemonContext context;

	private final SharedState known;

	private volatile OwnershipReportSink reports = (report) -> true;

	private @Nullable RequestPath path;

	private volatile GateView gate = GateView.IDLE;

	/**
	 * Creates the duty; it does nothing until it is started.
	 * @param context what every duty needs
	 * @param known what the other duties know
	 */
	public RequestsDuty(DaemonContext context, SharedState known) {
		this.context = context;
		this.known = known;
	}

	/**
	 * The ring for orders of the thread of ownership.
	 * @return the ring
	 */
	public Ring<RequestsOrder> orders() {
		return this.orders;
	}

	/**
	 * Joins the thread of ownership; called before {@link #start()}.
	 * @param ring the ring for reports; where it's full a report is offered again later
	 */
	public void connectOwnership(Ring<RequestsReport> ring) {
		this.reports = ring::offer;
	}

	/**
	 * Opens the ports for callers, other daemons and the backend server.
	 * @throws IOException if a port can't be opened
	 */
	public void start() throws IOException {
		this.duty.start(this::listen);
	}

	private void listen() throws IOException {
		RequestPath built = new RequestPath(this.duty.reactor(), this.context, this.known, this.reports);
		this.path = built;
		built.listen();
		publish(built);
	}

	private void publish(RequestPath built) {
		this.gate = built.gate();
		this.duty.reactor().delayBackground(VIEW_EVERY, () -> publish(built));
	}

	/**
	 * What runs and waits at the gate to the backend server, at most 200 ms ago.
	 * @return the running and waiting requests of each class
	 */
	public GateView gate() {
		return this.gate;
	}

	private void order(RequestsOrder order) {
		if (this.path != null) {
			this.path.order(order);
		}
	}

	/**
	 * Sends callers elsewhere from now on; what they still ask is served.
	 */
	public void startDraining() {
		this.duty.execute(() -> {
			if (this.path != null) {
				this.path.startDraining();
			}
		});
	}

	/**
	 * Ends the duty once nothing is in flight, or when the time is over.
	 * @param maxMillis how long that may take, in milliseconds
	 * @throws InterruptedException if the calling thread is interrupted
	 */
	public void stop(long maxMillis) throws InterruptedException {
		CompletableFuture<Void> idle = new CompletableFuture<>();
		this.duty.execute(() -> {
			if (this.path != null) {
				this.path.close(() -> idle.complete(null));
			}
			else {
				idle.complete(null);
			}
		});
		try {
			idle.get(maxMillis, TimeUnit.MILLISECONDS);
		}
		catch (ExecutionException | TimeoutException ex) {
			// The time is over; what is still in flight is cut off, as docs/OPERATING.md
			// says of --max-leave-millis.
		}
		this.duty.stop();
	}

	/**
	 * What the other duties know. Its parts are thread-safe.
	 *
	 * @param ownership what this instance holds and knows now
	 * @param cell the members of the cell
	 * @param catalog the services as the document in force describes them
	 */
	public record SharedState(Supplier<OwnershipSnapshot> ownership, Supplier<CellView> cell,
			Supplier<ServiceCatalog> catalog) {

	}

}
