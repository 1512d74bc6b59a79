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
 * The request thread: serves callers, other daemons and the backend server. Starting and
 * stopping is thread-safe.
 */
public final class RequestsDuty {

	/**
	 * Capacity of the ring of orders: more than two orders for each range of a cell. The
	 * ownership thread repeats orders that do not fit.
	 */
	private static final int ORDER_CAPACITY = 1024;

	/**
	 * Operators read the view at most once a second; publishing it more often would take
	 * time from requests.
	 */
	private static final Duration VIEW_INTERVAL = Duration.ofMillis(200);

	private final Duty duty = new Duty("requests");

	private final Ring<RequestsOrder> orders = new Ring<>(ORDER_CAPACITY, this.duty, this::order);

	private final DaemonContext context;

	private final SharedState known;

	private volatile OwnershipReportSink reports = (report) -> true;

	private @Nullable RequestPath path;

	private volatile GateView gate = GateView.IDLE;

	/**
	 * Creates the duty without starting it.
	 * @param context the context shared by all duties
	 * @param known the state published by the other duties
	 */
	public RequestsDuty(DaemonContext context, SharedState known) {
		this.context = context;
		this.known = known;
	}

	/**
	 * Returns the ring for orders from the ownership thread.
	 * @return the ring
	 */
	public Ring<RequestsOrder> orders() {
		return this.orders;
	}

	/**
	 * Sets where reports for the ownership thread go. Must be called before
	 * {@link #start()}.
	 * @param ring the ring for reports; if it is full, a report is offered again later
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
		this.duty.reactor().delayBackground(VIEW_INTERVAL, () -> publish(built));
	}

	/**
	 * Returns the load of the gate to the backend server, at most 200 ms old.
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
	 * Directs callers to other daemons from now on. Requests that still arrive are
	 * served.
	 */
	public void startDraining() {
		this.duty.execute(() -> {
			if (this.path != null) {
				this.path.startDraining();
			}
		});
	}

	/**
	 * Stops the duty once no request is in flight, or when the time is over.
	 * @param maxMillis the longest wait, in milliseconds
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
			// The time is over; requests still in flight are aborted, as
			// docs/OPERATING.md says of --max-leave-millis.
		}
		this.duty.stop();
	}

	/**
	 * The state published by the other duties. All suppliers are thread-safe.
	 *
	 * @param ownership the current ownership snapshot
	 * @param cell the current view of the cell
	 * @param catalog the services of the configuration document in force
	 */
	public record SharedState(Supplier<OwnershipSnapshot> ownership, Supplier<CellView> cell,
			Supplier<ServiceCatalog> catalog) {

	}

}
