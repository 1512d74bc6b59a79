package org.brasspier.standins;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;

import io.activej.promise.Promise;

/**
 * Callers that send requests, with a bound on those in flight, and record how each ended.
 * Thread-safe.
 */
public final class CallerFleet implements AutoCloseable {

	private static final int TICK_MILLIS = 5;

	private static final int MAX_IN_FLIGHT = 600;

	/**
	 * Requests due are caught up after a tick that is late on a busy machine, up to this
	 * time; after a long pause of the machine the rest is dropped and not sent in a
	 * burst.
	 */
	private static final double MAX_TICK_SECONDS = 0.1;

	private static final double NANOS_PER_SECOND = 1e9;

	private final StandInLoop loop = new StandInLoop("callers");

	private final RetryingCaller caller;

	private final List<CallerRecord> records = new ArrayList<>();

	private final AtomicLong lastNumber = new AtomicLong();

	private final AtomicLong inFlight = new AtomicLong();

	private final String idPrefix = UUID.randomUUID().toString().substring(0, 8);

	private volatile List<TrafficStream> streams = List.of();

	/**
	 * Creates callers that send nothing yet.
	 * @param daemons the addresses of the daemons' caller ports
	 */
	public CallerFleet(List<InetSocketAddress> daemons) {
		this(daemons, 0);
	}

	/**
	 * Creates callers with a network delay that send nothing yet.
	 * @param daemons the addresses of the daemons' caller ports
	 * @param delayMillis one-way delay between callers and daemons, in milliseconds
	 */
	public CallerFleet(List<InetSocketAddress> daemons, double delayMillis) {
		this(daemons, delayMillis, CallerRetryPolicy.UNLIMITED);
	}

	/**
	 * Creates callers that send nothing yet.
	 * @param daemons the addresses of the daemons' caller ports
	 * @param delayMillis one-way delay between callers and daemons, in milliseconds
	 * @param retryPolicy their time-outs and retries
	 */
	public CallerFleet(List<InetSocketAddress> daemons, double delayMillis, CallerRetryPolicy retryPolicy) {
		this.caller = this.loop.call(() -> new RetryingCaller(
				new CallerClient(this.loop.reactor(), Math.round(delayMillis), retryPolicy.attemptTimeoutMillis()),
				daemons, retryPolicy));
	}

	/**
	 * Sends steady traffic from now on, in place of the previous streams.
	 * @param streams the streams
	 */
	public void setTraffic(List<TrafficStream> streams) {
		boolean idle = this.streams.isEmpty();
		this.streams = List.copyOf(streams);
		if (idle && !streams.isEmpty()) {
			this.loop.execute(() -> sendDue(new double[streams.size()], streams, System.nanoTime()));
		}
	}

	// Computes the requests due from the time elapsed and not from the number of
	// ticks: ticks are late on a busy machine, and the callers would send fewer
	// requests than configured.
	private void sendDue(double[] requestsDue, List<TrafficStream> streams, long lastNanos) {
		long nowNanos = System.nanoTime();
		if (this.streams != streams && !this.streams.equals(streams)) {
			List<TrafficStream> newStreams = this.streams;
			if (!newStreams.isEmpty()) {
				sendDue(new double[newStreams.size()], newStreams, nowNanos);
			}
			return;
		}
		double seconds = Math.min(MAX_TICK_SECONDS, (nowNanos - lastNanos) / NANOS_PER_SECOND);
		for (int i = 0; i < requestsDue.length; i++) {
			requestsDue[i] += streams.get(i).perSecond() * seconds;
			for (; requestsDue[i] >= 1; requestsDue[i]--) {
				if (this.inFlight.get() < MAX_IN_FLIGHT) {
					startRequest(streams.get(i).next(newId()));
				}
			}
		}
		this.loop.reactor().delay(TICK_MILLIS, () -> sendDue(requestsDue, streams, nowNanos));
	}

	/**
	 * Returns a unique request id.
	 * @return the id
	 */
	public String newId() {
		return this.idPrefix + "-" + this.lastNumber.incrementAndGet();
	}

	private Promise<CallerRecord> startRequest(StandInRequest request) {
		this.inFlight.incrementAndGet();
		return this.caller.call(request).whenResult((done) -> {
			this.inFlight.decrementAndGet();
			synchronized (this.records) {
				this.records.add(done);
			}
		});
	}

	/**
	 * Sends one request and resends it until it is answered or its time limit is reached.
	 * @param request the request
	 * @return the record of the request with all its attempts
	 */
	public CompletableFuture<CallerRecord> call(StandInRequest request) {
		CompletableFuture<CallerRecord> result = new CompletableFuture<>();
		this.loop.execute(() -> startRequest(request).whenResult(result::complete));
		return result;
	}

	/**
	 * Stops the steady traffic and waits until all requests have ended; each ends by its
	 * own time limit at the latest.
	 */
	public void finish() {
		this.streams = List.of();
		Await.until("all callers have ended", () -> this.inFlight.get() == 0);
	}

	/**
	 * Returns the records of all requests that have ended.
	 * @return the records, in the order of their ends
	 */
	public List<CallerRecord> records() {
		synchronized (this.records) {
			return List.copyOf(this.records);
		}
	}

	@Override
	public void close() {
		this.streams = List.of();
		this.loop.close();
	}

}
