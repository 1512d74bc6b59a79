package org.brasspier.core.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;

import org.brasspier.core.CallerId;
import org.brasspier.core.RequestClass;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Tests of a gate whose queue is full while callers leave in masses.
 */
class LeavingCallersTests {

	private static final long MILLI = 1_000_000;

	private static final long RUN = 50 * MILLI;

	private static final int SLOTS = 10;

	private static final CallerId CALLER = new CallerId("any");

	private final AdmissionController admission = new AdmissionController(new AdmissionLimits(SLOTS, 100),
			AdmissionSettings.DEFAULT);

	private final PriorityQueue<Event> events = new PriorityQueue<>();

	private final Map<Long, Boolean> leaving = new TreeMap<>();

	// The same callers stay, whoever leaves.
	private final SplittableRandom stayingArrivals = new SplittableRandom(1);

	private final SplittableRandom leavingArrivals = new SplittableRandom(2);

	private int useful;

	private long now;

	private PendingRequest request(long id) {
		return new PendingRequest(id, RequestClass.LOOKUP, CALLER, this.now + 1000 * MILLI);
	}

	private void apply(NextRequests next) {
		next.run().forEach(this::started);
	}

	private void started(long id) {
		this.events.add(new Event(this.now + RUN, id, true));
	}

	private void offer(long id, boolean leaves) {
		this.leaving.put(id, leaves);
		if (this.admission.offer(request(id), this.now) instanceof AdmissionDecision.Run) {
			started(id);
		}
		if (leaves) {
			this.events.add(new Event(this.now + this.leavingArrivals.nextLong(RUN), id, false));
		}
	}

	// Ends the request of a caller that leaves, or that is answered.
	private void end(Event event) {
		if (!this.leaving.containsKey(event.id)) {
			return;
		}
		if (event.answered) {
			this.useful += this.leaving.get(event.id) ? 0 : 1;
			apply(this.admission.finished(event.id, RunOutcome.ANSWERED, this.now));
		}
		else if (!this.admission.cancelWaiting(event.id)) {
			apply(this.admission.finished(event.id, RunOutcome.NOT_STARTED, this.now));
		}
		this.leaving.remove(event.id);
	}

	// Plays 20 s: callers who stay, at a multiple of the capacity, and others that leave.
	private int usefulRuns(double staying, double leavingToo) {
		double perMilli = SLOTS / (double) (RUN / MILLI);
		long id = 0;
		for (long millis = 0; millis < 20_000; millis++) {
			this.now = millis * MILLI;
			while (!this.events.isEmpty() && this.events.peek().atNanos <= this.now) {
				end(this.events.remove());
			}
			apply(this.admission.advance(this.now));
			if (this.stayingArrivals.nextDouble() < staying * perMilli) {
				offer(++id, false);
			}
			if (this.leavingArrivals.nextDouble() < leavingToo * perMilli) {
				offer(++id, true);
			}
		}
		return this.useful;
	}

	/**
	 * Guards against room that callers leave at the crest and nobody uses: those who wait
	 * must get it at once.
	 */
	@Test
	void allWhoWaitStartWhenAsManyRunningRequestsLoseTheirCallers() {
		for (int i = 0; i < 100; i++) {
			this.admission.offer(request(1000 + i), this.now);
			this.now += RUN;
			this.admission.finished(1000 + i, RunOutcome.ANSWERED, this.now);
		}
		for (int i = 0; i < SLOTS; i++) {
			assertThat(this.admission.offer(request(i), this.now)).isInstanceOf(AdmissionDecision.Run.class);
		}
		List<Long> waiting = new ArrayList<>();
		for (long i = SLOTS; this.admission.offer(request(i), this.now) instanceof AdmissionDecision.Queued; i++) {
			waiting.add(i);
		}
		assertThat(waiting).isNotEmpty();
		List<Long> started = new ArrayList<>();
		for (int i = 0; i < SLOTS; i++) {
			started.addAll(this.admission.finished(i, RunOutcome.NOT_STARTED, this.now).run());
		}
		assertThat(started).containsExactlyElementsIn(waiting.subList(0, Math.min(SLOTS, waiting.size())));
	}

	/**
	 * Guards against callers that leave in masses and take the room of those who stay:
	 * the slot time that they use until they leave is all that they cost.
	 */
	@Test
	void callersThatLeaveCostOnlyTheSlotTimeThatTheyUsed() {
		int alone = new LeavingCallersTests().usefulRuns(1.5, 0);
		int together = new LeavingCallersTests().usefulRuns(1.5, 1.5);
		int below = new LeavingCallersTests().usefulRuns(0.5, 0);
		int belowTogether = new LeavingCallersTests().usefulRuns(0.5, 0.5);
		String runs = "%d alone, %d with those who leave; %d and %d below the capacity".formatted(alone, together,
				below, belowTogether);
		assertWithMessage(runs).that(belowTogether).isAtLeast((int) (0.98 * below));
		// Half of the requests leave, after half a run on average: two thirds of the slot
		// time is left.
		assertWithMessage(runs).that(together).isAtLeast((int) (alone * 2 / 3 * 0.95));
	}

	/**
	 * Guards against a gate that keeps slots or waiting requests of callers that left.
	 */
	@Test
	void nothingIsLeftOfCallersThatLeave() {
		usefulRuns(0, 3);
		for (Event event : List.copyOf(this.events)) {
			this.now = Math.max(this.now, event.atNanos);
			end(event);
		}
		assertThat(this.admission.running()).isEqualTo(0);
		assertThat(this.admission.waiting()).isEqualTo(0);
	}

	private record Event(long atNanos, long id, boolean answered) implements Comparable<Event> {

		@Override
		public int compareTo(Event other) {
			return Long.compare(this.atNanos, other.atNanos);
		}

	}

}
