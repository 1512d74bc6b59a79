package org.brasspier.core.link;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.brasspier.core.ErrorKind;
import org.brasspier.core.Failure;
import org.brasspier.core.returns.RefusalCause;

/**
 * Admission of requests whose answers are large, by what the network link carries. Sizes
 * of answers and times until they are ready are learned for each route. Requests with
 * small answers are always admitted. Not thread-safe; times are nanoseconds of a steady
 * clock.
 */
public final class LinkAdmission {

	private static final int MAX_ROUTES = 256;

	/** Share of the target latency that an answer may wait for the link. */
	private static final double MAX_WAIT_SHARE = 0.6;

	/** Requests for a full memory are refused for this long. */
	private static final Duration MEMORY_RETRY = Duration.ofMillis(200);

	private static final double NANOS_PER_SECOND = 1_000_000_000;

	private final Map<String, Route> routes = new LinkedHashMap<>(16, 0.75F, true);

	private double expectedBytes;

	/**
	 * Decides whether a request is refused.
	 * @param route name of its route
	 * @param remaining its remaining time
	 * @param target target latency of its route
	 * @param link state of the link
	 * @return the refusal; empty if the request is admitted
	 */
	public Optional<Failure> refusal(String route, Duration remaining, Duration target, Link link) {
		Route known = this.routes.get(route);
		if (known == null || !known.isLarge()) {
			return Optional.empty();
		}
		if (link.memoryFull()) {
			return Optional.of(new Failure(ErrorKind.OVERLOADED,
					RefusalCause.LINK_DETAIL + "too many bytes are held for others", MEMORY_RETRY));
		}
		if (link.bytesPerSecond() <= 0) {
			return Optional.empty();
		}
		double ready = known.readyNanos;
		double wait = Math.max(0, link.nanosFor(link.backlogBytes() + this.expectedBytes) - ready);
		double late = ready + wait + link.nanosFor(known.highBytes) - remaining.toNanos();
		double excess = Math.max(late, wait - target.toNanos() * MAX_WAIT_SHARE);
		// A request that would be late even over an idle link is not the link's matter.
		return (wait > 0 && excess > 0) ? Optional.of(new Failure(ErrorKind.OVERLOADED,
				RefusalCause.LINK_DETAIL + "it is full", Duration.ofNanos((long) excess))) : Optional.empty();
	}

	/**
	 * Counts an admitted request until its answer is ready.
	 * @param route name of its route
	 * @param now the time
	 * @return the request, for {@link #end(Admitted, long, long)}
	 */
	public Admitted begin(String route, long now) {
		Route known = this.routes.get(route);
		double bytes = (known != null) ? known.meanBytes : 0;
		this.expectedBytes += bytes;
		return new Admitted(route, bytes, now);
	}

	/**
	 * Handles the end of an admitted request that was not answered.
	 * @param admitted the request
	 */
	public void end(Admitted admitted) {
		this.expectedBytes = Math.max(0, this.expectedBytes - admitted.expectedBytes());
	}

	/**
	 * Handles the answer to an admitted request.
	 * @param admitted the request
	 * @param answerBytes size of the answer
	 * @param now the time
	 */
	public void end(Admitted admitted, long answerBytes, long now) {
		end(admitted);
		this.routes.computeIfAbsent(admitted.route(), (name) -> new Route())
			.add(answerBytes, now - admitted.beganNanos());
		if (this.routes.size() > MAX_ROUTES) {
			this.routes.remove(this.routes.keySet().iterator().next());
		}
	}

	/**
	 * Returns the bytes of the answers that admitted requests will produce.
	 * @return expected bytes, at least 0
	 */
	public long expectedBytes() {
		return (long) this.expectedBytes;
	}

	/**
	 * State of the network link. Immutable and thread-safe.
	 *
	 * @param backlogBytes bytes that wait to be sent
	 * @param bytesPerSecond what the link carries; 0 if unknown
	 * @param memoryFull whether too many bytes are held for others
	 */
	public record Link(long backlogBytes, double bytesPerSecond, boolean memoryFull) {

		double nanosFor(double bytes) {
			return bytes / this.bytesPerSecond * NANOS_PER_SECOND;
		}

	}

	/**
	 * An admitted request. Immutable and thread-safe.
	 *
	 * @param route name of its route
	 * @param expectedBytes expected size of its answer
	 * @param beganNanos when it was admitted
	 */
	public record Admitted(String route, double expectedBytes, long beganNanos) {
	}

	private static final class Route {

		private static final double MEAN_WEIGHT = 0.05;

		/** With these two, about one answer in ten is larger. */
		private static final double RISE_WEIGHT = 0.3;

		private static final double FALL_WEIGHT = 0.03;

		private double meanBytes;

		private double highBytes;

		private double readyNanos;

		private boolean known;

		boolean isLarge() {
			return this.meanBytes > SendWindow.PIECE_BYTES;
		}

		void add(long bytes, long nanos) {
			if (!this.known) {
				this.known = true;
				this.meanBytes = bytes;
				this.highBytes = bytes;
				this.readyNanos = nanos;
				return;
			}
			this.meanBytes += (bytes - this.meanBytes) * MEAN_WEIGHT;
			this.highBytes += (bytes - this.highBytes) * ((bytes > this.highBytes) ? RISE_WEIGHT : FALL_WEIGHT);
			this.readyNanos += (nanos - this.readyNanos) * MEAN_WEIGHT;
		}

	}

}
