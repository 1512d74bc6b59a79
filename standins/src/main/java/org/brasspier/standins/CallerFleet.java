package org.brasspier.standins;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;

import io.activej.promise.Promise;

/**
 * Callers that send a bounded number of requests and record each. Thread-safe.
 */
public final class CallerFleet implements AutoCloseable {

	private static final int TICK_MILLIS = 5;

	private static final int MAX_IN_FLIGHT = 600;

	/** A busy machine's late tick is made up for; a paused one's is not sent at once. */
	private static final double MAX_TICK_SECONDS = 0.1;

	private static final double NANOS_PER_SECOND = 1e9;

	private final StandInLoop loop = new StandInLoop("callers");

	private final PersistentCaller caller;

	private final List<CallerRecord> records = new ArrayList<>();

	private final AtomicLong numbers = new AtomicLong();

	private final AtomicLong inFlight = new AtomicLong();

	private final String run = UUID.randomUUID().toString().substring(0, 8);

	private volatile List<TrafficMix> traffic = List.of();

	/**
	 * Creates callers that send nothing yet.
	 * @param daemons the addresses of the daemons' caller ports
	 */
	public CallerFleet(List<InetSocketAddress> daemons) {
		this(daemons, 0);
	}

	/**
	 * Creates callers at a distance that send nothing yet.
	 * @param daemons the addresses of the daemons' caller ports
	 * @param delayMillis one way between callers and daemons, in milliseconds
	 */
	public CallerFleet(List<InetSocketAddress> daemons, double delayMillis) {
		this(daemons, delayMillis, CallerPatience.USUAL);
	}

	/**
	 * Creates callers that send nothing yet.
	 * @param daemons the addresses of the daemons' caller ports
	 * @param delayMillis one way between callers and daemons, in milliseconds
	 * @param patience how they wait and send again
	 */
	public CallerFleet(List<InetSocketAddress> daemons, double delayMillis, CallerPatience patience) {
		this.caller = this.loop.call(() -> new PersistentCaller(
				new CallerClient(this.loop.reactor(), Math.round(delayMillis), patience.sendingMillis()), daemons,
				patience));
	}

	/**
	 * Begins to send steady traffic, in place of what was sent before.
	 * @param mixes the streams
	 */
	public void send(List<TrafficMix> mixes) {
		boolean idle = this.traffic.isEmpty();
		this.traffic = List.copyOf(mixes);
		if (idle && !mixes.isEmpty()) {
			this.loop.execute(() -> tick(new double[mixes.size()], mixes, System.nanoTime()));
		}
	}

	// Counts the time that has passed and not ticks: on a busy machine ticks come late,
	// and the callers would send less than they say.
	private void tick(double[] owed, List<TrafficMix> mixes, long lastNanos) {
		long now = System.nanoTime();
		if (this.traffic != mixes && !this.traffic.equals(mixes)) {
			List<TrafficMix> next = this.traffic;
			if (!next.isEmpty()) {
				tick(new double[next.size()], next, now);
			}
			return;
		}
		double seconds = Math.min(MAX_TICK_SECONDS, (now - lastNanos) / NANOS_PER_SECOND);
		for (int i = 0; i < owed.length; i++) {
			owed[i] += mixes.get(i).perSecond() * seconds;
			for (; owed[i] >= 1; owed[i]--) {
				if (this.inFlight.get() < MAX_IN_FLIGHT) {
					start(mixes.get(i).next(newId()));
				}
			}
		}
		this.loop.reactor().delay(TICK_MILLIS, () -> tick(owed, mixes, now));
	}

	/**
	 * An id that no other request has.
	 * @return the id
	 */
	public String newId() {
		return this.run + "-" + this.numbers.incrementAndGet();
	}

	private Promise<CallerRecord> start(StandInRequest request) {
		this.inFlight.incrementAndGet();
		return this.caller.ask(request).whenResult((done) -> {
			this.inFlight.decrementAndGet();
			synchronized (this.records) {
				this.records.add(done);
			}
		});
	}

	/**
	 * Sends one request, and resends it until it is answered or its time is over.
	 * @param request the request
	 * @return all that became of it
	 */
	public CompletableFuture<CallerRecord> ask(StandInRequest request) {
		CompletableFuture<CallerRecord> result = new CompletableFuture<>();
		this.loop.execute(() -> start(request).whenResult(result::complete));
		return result;
	}

	/**
	 * Begins no more steady traffic and waits until all requests have ended, which they
	 * do by their own time limits.
	 */
	public void finish() {
		this.traffic = List.of();
		Await.until("all callers have ended", () -> this.inFlight.get() == 0);
	}

	/**
	 * What became of each request that has ended.
	 * @return the records, in the order of their ends
	 */
	public List<CallerRecord> records() {
		synchronized (this.records) {
			return List.copyOf(this.records);
		}
	}

	@Override
	public void close() {
		this.traffic = List.of();
		this.loop.close();
	}

}
