package org.brasspier.daemon.internal.link;

import java.time.Duration;
import java.util.Optional;

import io.activej.promise.Promise;
import org.brasspier.core.Failure;
import org.brasspier.core.link.LinkAdmission;
import org.brasspier.core.mesh.SendOutcome;

/**
 * Admits requests of other daemons by what the network link carries and by the memory
 * that this process holds for others. Not thread-safe: confined to the request thread.
 */
public final class AnswerAdmission {

	/** The rest of the heap is needed for reading and for everything else. */
	private static final int HEAP_DIVISOR = 4;

	private final LinkFlow flow;

	private final long maxHeldBytes;

	private final LinkAdmission admission = new LinkAdmission();

	private long refused;

	/**
	 * Creates the admission.
	 * @param flow the flow control of the link
	 */
	public AnswerAdmission(LinkFlow flow) {
		this(flow, Runtime.getRuntime().maxMemory() / HEAP_DIVISOR);
	}

	AnswerAdmission(LinkFlow flow, long maxHeldBytes) {
		this.flow = flow;
		this.maxHeldBytes = maxHeldBytes;
	}

	/**
	 * Decides whether a request is refused before it runs.
	 * @param route name of its route; empty if unknown
	 * @param remaining its remaining time
	 * @param target target latency of its route; empty if unknown
	 * @return the refusal; empty if the request is admitted
	 */
	public Optional<Failure> refusal(String route, Duration remaining, Optional<Duration> target) {
		if (route.isEmpty() || target.isEmpty()) {
			return Optional.empty();
		}
		boolean full = this.flow.heldBytes() + this.admission.expectedBytes() > this.maxHeldBytes;
		Optional<Failure> refusal = this.admission.refusal(route, remaining, target.get(),
				new LinkAdmission.Link(this.flow.backlogBytes(), this.flow.bytesPerSecond(), full));
		if (refusal.isPresent()) {
			this.refused++;
		}
		return refusal;
	}

	/**
	 * Counts an admitted request until its outcome is known, and learns from its answer.
	 * @param route name of its route; empty if unknown
	 * @param outcome its outcome
	 * @return the same outcome
	 */
	public Promise<SendOutcome> track(String route, Promise<SendOutcome> outcome) {
		if (route.isEmpty()) {
			return outcome;
		}
		LinkAdmission.Admitted admitted = this.admission.begin(route, System.nanoTime());
		return outcome.whenResult((end) -> {
			if (end instanceof SendOutcome.Answered(var answer)) {
				this.admission.end(admitted, answer.body().length, System.nanoTime());
			}
			else {
				this.admission.end(admitted);
			}
		});
	}

	/**
	 * Returns how long the network link needs for the large answers that wait for it.
	 * @return zero if none waits or the link's bandwidth is unknown
	 */
	public Duration linkBacklog() {
		return this.flow.linkBacklog();
	}

	/**
	 * Returns how many requests were refused.
	 * @return number since the start
	 */
	public long refusedCount() {
		return this.refused;
	}

}
