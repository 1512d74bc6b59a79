package org.brasspier.core.admission;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;

import org.brasspier.core.CallerId;
import org.brasspier.core.RequestClass;
import org.brasspier.core.admission.AdmissionDecision.Queued;
import org.brasspier.core.admission.AdmissionDecision.Refuse;
import org.brasspier.core.admission.AdmissionDecision.Run;
import org.brasspier.core.returns.RequestOrigin;
import org.brasspier.core.returns.ReturnStatus;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of returning callers and of shares where routes of several ranks compete for the
 * slots of one class.
 */
class RankedReturnsTests {

	private static final long MILLI = 1_000_000;

	private static final long RUN = 50 * MILLI;

	private static final Urgency URGENT = new Urgency(0, 1000 * MILLI);

	private static final Urgency STRICT = new Urgency(0, 40 * MILLI);

	private static final Urgency LESS_URGENT = new Urgency(2, 1000 * MILLI);

	private final AdmissionController admission = new AdmissionController(new AdmissionLimits(1, 10),
			AdmissionSettings.DEFAULT);

	private final AtomicLong ids = new AtomicLong();

	private long now = MILLI;

	RankedReturnsTests() {
		// The controller learns the run time.
		for (int i = 0; i < 200; i++) {
			run(request(URGENT, ReturnStatus.NEW, "", 10_000));
			run(request(LESS_URGENT, ReturnStatus.NEW, "", 10_000));
		}
	}

	private PendingRequest request(Urgency urgency, ReturnStatus status, String instance, long millis) {
		return new PendingRequest(this.ids.incrementAndGet(), RequestClass.LOOKUP, new CallerId("any"),
				this.now + millis * MILLI, false, "r" + urgency.rank(), urgency,
				new RequestOrigin(status, instance, ""));
	}

	private void run(PendingRequest request) {
		assertThat(this.admission.offer(request, this.now)).isInstanceOf(Run.class);
		this.now += RUN;
		this.admission.finished(request.id(), RunOutcome.ANSWERED, this.now);
	}

	private AdmissionDecision offer(PendingRequest request) {
		return this.admission.offer(request, this.now);
	}

	/**
	 * Guards against an on-time return that waits in vain behind more urgent requests: it
	 * was admitted as if only other returns went before it.
	 */
	@Test
	void anOnTimeReturnThatMoreUrgentRequestsLeaveNoTimeForIsRefusedAtOnce() {
		offer(request(URGENT, ReturnStatus.NEW, "a", 10_000));
		for (int i = 0; i < 3; i++) {
			assertThat(offer(request(URGENT, ReturnStatus.NEW, "a", 10_000))).isInstanceOf(Queued.class);
		}
		assertThat(offer(request(LESS_URGENT, ReturnStatus.ON_TIME, "b", 180))).isInstanceOf(Refuse.class);
		assertThat(offer(request(URGENT, ReturnStatus.ON_TIME, "b", 180))).isInstanceOf(Queued.class);
	}

	/**
	 * Guards against more urgent requests that are refused in favor of returns on a less
	 * urgent route, which they would overtake.
	 */
	@Test
	void placesOfALessUrgentRouteDoNotDelayMoreUrgentRequests() {
		offer(request(URGENT, ReturnStatus.NEW, "a", 10_000));
		for (int i = 0; i < 40; i++) {
			offer(request(LESS_URGENT, ReturnStatus.NEW, "b" + i, 60_000));
		}
		this.now += 4 * RUN;
		for (int i = 0; i < 2; i++) {
			assertThat(offer(request(URGENT, ReturnStatus.NEW, "a", 10_000))).isInstanceOf(Queued.class);
		}
		Duration wait = this.admission.expectedQueueWait(request(URGENT, ReturnStatus.NEW, "c", 10_000), this.now)
			.orElseThrow();
		assertThat(wait).isAtMost(Duration.ofNanos(3 * RUN));
	}

	/**
	 * Guards against a flood on a route with a strict target, which was never passed over
	 * since half of the longest wait of its class exceeds its own.
	 */
	@Test
	void requestsOfAStrictTargetFromAFloodingInstanceArePassedOver() {
		for (int i = 0; i < 100; i++) {
			run(request(STRICT, ReturnStatus.NEW, "flood", 10_000));
			if (i % 10 == 0) {
				run(request(STRICT, ReturnStatus.NEW, "few", 10_000));
			}
		}
		PendingRequest running = request(STRICT, ReturnStatus.NEW, "few", 10_000);
		offer(running);
		PendingRequest flooding = request(STRICT, ReturnStatus.NEW, "flood", 10_000);
		assertThat(offer(flooding)).isInstanceOf(Queued.class);
		this.now += MILLI;
		PendingRequest other = request(STRICT, ReturnStatus.NEW, "few", 10_000);
		assertThat(offer(other)).isInstanceOf(Queued.class);
		assertThat(this.admission.finished(running.id(), RunOutcome.ANSWERED, this.now + MILLI).run())
			.containsExactly(other.id());
	}

}
