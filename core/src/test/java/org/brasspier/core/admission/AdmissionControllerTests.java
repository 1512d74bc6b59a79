package org.brasspier.core.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

import org.brasspier.core.CallerId;
import org.brasspier.core.ErrorKind;
import org.brasspier.core.Failure;
import org.brasspier.core.Ran;
import org.brasspier.core.RequestClass;
import org.brasspier.core.admission.AdmissionDecision.Queued;
import org.brasspier.core.admission.AdmissionDecision.Refuse;
import org.brasspier.core.admission.AdmissionDecision.Run;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class AdmissionControllerTests {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private static final CallerId CREW = new CallerId("crew");

	private static final CallerId CROWD = new CallerId("crowd");

	private final AdmissionController admission = controller(2, 100);

	private long lastId;

	@Test
	void neverRunsMoreThanTheSlots() {
		assertThat(offer(RequestClass.LOOKUP, CREW, 1000)).isInstanceOf(Run.class);
		assertThat(offer(RequestClass.LOOKUP, CREW, 1000)).isInstanceOf(Run.class);
		assertThat(offer(RequestClass.LOOKUP, CREW, 1000)).isInstanceOf(Queued.class);
		assertThat(this.admission.finished(1, RunOutcome.ANSWERED, 10 * NANOS_PER_MILLI).run()).containsExactly(3L);
		assertThat(this.admission.running()).isEqualTo(2);
	}

	@Test
	void expectedWaitIsKnownOnlyForRequestsThatWouldBeQueued() {
		assertThat(this.admission.expectedQueueWait(request(RequestClass.LOOKUP, CREW, 1000), 0)).isEmpty();
		fill();
		Duration first = this.admission.expectedQueueWait(request(RequestClass.LOOKUP, CREW, 1000), 0).orElseThrow();
		offer(RequestClass.LOOKUP, CREW, 1000);
		assertThat(this.admission.expectedQueueWait(request(RequestClass.LOOKUP, CREW, 1000), 0).orElseThrow())
			.isGreaterThan(first);
		assertThat(this.admission.waiting()).isEqualTo(1);
		assertThat(this.admission.expectedQueueWait(request(RequestClass.LOOKUP, CREW, 1), 0)).isEmpty();
		this.admission.setDraining(true);
		assertThat(this.admission.expectedQueueWait(request(RequestClass.LOOKUP, CREW, 1000), 0)).isEmpty();
	}

	@Test
	void neverRunsMoreThanTheConnections() {
		AdmissionController narrow = controller(17, 1);
		assertThat(narrow.offer(request(RequestClass.LOOKUP, CREW, 1000), 0)).isInstanceOf(Run.class);
		assertThat(narrow.offer(request(RequestClass.LOOKUP, CREW, 1000), 0)).isInstanceOf(Queued.class);
	}

	@Test
	void lookupsRunBeforePostingsAndPostingsBeforeAuditReads() {
		fill();
		offer(RequestClass.AUDIT, CREW, 60_000);
		offer(RequestClass.POSTING, CREW, 60_000);
		offer(RequestClass.LOOKUP, CREW, 60_000);
		List<Long> order = new ArrayList<>(this.admission.finished(1, RunOutcome.ANSWERED, NANOS_PER_MILLI).run());
		order.addAll(this.admission.finished(2, RunOutcome.ANSWERED, NANOS_PER_MILLI).run());
		order.addAll(this.admission.finished(5, RunOutcome.ANSWERED, 2 * NANOS_PER_MILLI).run());
		assertThat(order).containsExactly(5L, 4L, 3L).inOrder();
	}

	@Test
	void lookupsDoNotStarveAuditReads() {
		fill();
		offer(RequestClass.AUDIT, CREW, 600_000);
		long audit = this.lastId;
		List<Long> taken = new ArrayList<>();
		long running = 1;
		for (int i = 0; i < 600 && !taken.contains(audit); i++) {
			offer(RequestClass.LOOKUP, CREW, 60_000);
			List<Long> run = this.admission.finished(running, RunOutcome.ANSWERED, i * 10 * NANOS_PER_MILLI).run();
			taken.addAll(run);
			running = run.getFirst();
		}
		assertThat(taken).contains(audit);
	}

	@Test
	void requestThatCannotMeetItsDeadlineIsRefusedAtOnce() {
		fill();
		IntStream.range(0, 6).forEach((i) -> offer(RequestClass.LOOKUP, CREW, 1000));
		AdmissionDecision decision = offer(RequestClass.LOOKUP, CREW, 20);
		Failure failure = ((Refuse) decision).failure();
		assertThat(failure.kind()).isEqualTo(ErrorKind.OVERLOADED);
		assertThat(failure.kind().ran()).isEqualTo(Ran.NOT_RUN);
		assertThat(failure.retryAfter().toMillis()).isAtLeast(50);
	}

	/**
	 * Guards against lookups that end as "unknown" because a free slot took a last resend
	 * with less time left than the run takes. An idle server must accept even that one,
	 * or a wrong estimate would never be corrected.
	 */
	@Test
	void requestWithTooLittleTimeLeftTakesAFreeSlotOnlyOfAnIdleServer() {
		offer(RequestClass.LOOKUP, CREW, 1000);
		this.admission.finished(1, RunOutcome.ANSWERED, 100 * NANOS_PER_MILLI);
		assertThat(this.admission.offer(request(RequestClass.LOOKUP, CREW, 120), 100 * NANOS_PER_MILLI))
			.isInstanceOf(Run.class);
		assertThat(this.admission.offer(request(RequestClass.LOOKUP, CREW, 120), 100 * NANOS_PER_MILLI))
			.isInstanceOf(Refuse.class);
		assertThat(this.admission.offer(request(RequestClass.LOOKUP, CREW, 300), 100 * NANOS_PER_MILLI))
			.isInstanceOf(Run.class);
	}

	/**
	 * Guards against callers rejected while nine tenths of the slots are free: the first
	 * order after a move met a refused fence, or its caller had disconnected. That was
	 * counted as shedding, so only one slot was used until 50 answers later.
	 */
	@Test
	void requestThatNeverStartedDoesNotLowerTheSlotLimit() {
		offer(RequestClass.LOOKUP, CREW, 1000);
		this.admission.finished(1, RunOutcome.NOT_STARTED, NANOS_PER_MILLI);
		offer(RequestClass.LOOKUP, CREW, 1000);
		assertThat(offer(RequestClass.LOOKUP, CREW, 1000)).isInstanceOf(Run.class);
	}

	@Test
	void waitingRequestIsRefusedAtItsDeadlineWithoutRunning() {
		fill();
		offer(RequestClass.LOOKUP, CREW, 30);
		NextRequests next = this.admission.advance(40 * NANOS_PER_MILLI);
		assertThat(next.run()).isEmpty();
		assertThat(next.refused().stream().map(RefusedRequest::id)).containsExactly(3L);
		assertThat(this.admission.finished(1, RunOutcome.ANSWERED, 41 * NANOS_PER_MILLI)).isEqualTo(NextRequests.NONE);
	}

	@Test
	void refusedCallersGetDifferentRetryTimes() {
		fill();
		long distinct = IntStream.range(0, 100)
			.mapToObj((i) -> offer(RequestClass.LOOKUP, CREW, 1000))
			.filter(Refuse.class::isInstance)
			.map((refuse) -> ((Refuse) refuse).failure().retryAfter())
			.distinct()
			.count();
		assertThat(distinct).isAtLeast(70);
	}

	/**
	 * Guards against a retry time of ten seconds for a lookup that could be served in a
	 * tenth of a second: audit readers were refused before, and all refused callers
	 * shared one sequence of retry times.
	 */
	@Test
	void retryTimesOfLookupsDoNotFollowThoseOfAuditReads() {
		fill();
		IntStream.range(0, 200).forEach((i) -> offer(RequestClass.AUDIT, CREW, 60_000));
		Failure failure = IntStream.range(0, 100)
			.mapToObj((i) -> offer(RequestClass.LOOKUP, CREW, 1000))
			.filter(Refuse.class::isInstance)
			.map((refuse) -> ((Refuse) refuse).failure())
			.findFirst()
			.orElseThrow();
		assertThat(failure.retryAfter().toMillis()).isLessThan(1000);
	}

	/**
	 * Guards against new requests that are answered late because retries take the slots.
	 */
	@Test
	void overdueRequestTakesOnlyIdleSlotsDuringOverload() {
		fill();
		PendingRequest overdue = new PendingRequest(900, RequestClass.LOOKUP, CREW, 1000 * NANOS_PER_MILLI, true);
		assertThat(this.admission.offer(overdue, 0)).isInstanceOf(Queued.class);
		IntStream.range(0, 20).forEach((i) -> offer(RequestClass.LOOKUP, CREW, 1000));
		this.admission.finished(1, RunOutcome.ANSWERED, 10 * NANOS_PER_MILLI);
		PendingRequest another = new PendingRequest(901, RequestClass.LOOKUP, CREW, 1000 * NANOS_PER_MILLI, true);
		assertThat(this.admission.offer(another, 10 * NANOS_PER_MILLI)).isInstanceOf(Refuse.class);
		assertThat(this.admission.offer(request(RequestClass.LOOKUP, CREW, 1000), 10 * NANOS_PER_MILLI))
			.isInstanceOf(Queued.class);
		AdmissionController idle = controller(1, 10);
		assertThat(idle.offer(another, 0)).isInstanceOf(Run.class);
	}

	/** Guards against a queue so long that a saturated server answers everything late. */
	@Test
	void saturatedServerAdmitsOnlyRequestsItCanAnswerInTime() {
		long run = 60 * NANOS_PER_MILLI;
		long target = AdmissionSettings.DEFAULT.of(RequestClass.LOOKUP).maxWait().toNanos();
		AdmissionController wide = controller(10, 100);
		wide.offer(request(RequestClass.LOOKUP, CREW, 10_000), 0);
		wide.finished(this.lastId, RunOutcome.ANSWERED, run);
		IntStream.range(0, 50).forEach((i) -> wide.offer(request(RequestClass.LOOKUP, CREW, 10_000), run));
		assertThat(wide.waiting()).isAtLeast(1);
		assertThat(wide.waiting() * run / 10 + run).isAtMost(target);
	}

	/** Guards against callers that are told to retry during a lasting overload. */
	@Test
	void retryTimesGrowWithTheDurationOfAnOverload() {
		fill();
		IntStream.range(0, 100).forEach((i) -> offer(RequestClass.LOOKUP, CREW, 1000));
		long running = 1;
		for (int i = 1; i <= 100; i++) {
			running = this.admission.finished(running, RunOutcome.ANSWERED, i * 10 * NANOS_PER_MILLI).run().getFirst();
			this.admission.offer(request(RequestClass.LOOKUP, CREW, 10_000), i * 10 * NANOS_PER_MILLI);
			this.admission.offer(request(RequestClass.LOOKUP, CREW, 10_000), i * 10 * NANOS_PER_MILLI);
		}
		AdmissionDecision decision = this.admission.offer(request(RequestClass.LOOKUP, CREW, 10_000),
				1000 * NANOS_PER_MILLI);
		assertThat(((Refuse) decision).failure().retryAfter().toMillis()).isAtLeast(1000);
	}

	/**
	 * Guards against refusing a caller with few requests because another caller's script
	 * filled the queue first. The last request of that other caller must make room.
	 */
	@Test
	void callerThatFillsTheQueueMakesRoomForOthers() {
		fill();
		IntStream.range(0, 100).forEach((i) -> offer(RequestClass.LOOKUP, CROWD, 1000));
		AdmissionDecision decision = offer(RequestClass.LOOKUP, CREW, 1000);
		assertThat(decision).isInstanceOf(Queued.class);
		assertThat(((Queued) decision).displaced()).isPresent();
		assertThat(this.admission.finished(1, RunOutcome.ANSWERED, 10 * NANOS_PER_MILLI).run())
			.containsExactly(this.lastId);
	}

	/**
	 * Guards against a deadlock: bookings fill all slots, each waits for a slip
	 * assignment, and that waits for an internal lookup to the same server. A slot
	 * reserved for internal calls resolves the cycle.
	 */
	@Test
	void internalCallsGetASlotWhenOuterCallsFillTheServer() {
		AdmissionController wide = controller(6, 100);
		wide.offer(request(RequestClass.INTERNAL, CREW, 1000), 0);
		wide.finished(this.lastId, RunOutcome.ANSWERED, NANOS_PER_MILLI);
		IntStream.range(0, 20).forEach((i) -> wide.offer(request(RequestClass.POSTING, CREW, 1000), NANOS_PER_MILLI));
		assertThat(wide.running()).isEqualTo(5);
		assertThat(wide.offer(request(RequestClass.INTERNAL, CREW, 1000), NANOS_PER_MILLI)).isInstanceOf(Run.class);
	}

	/**
	 * Guards against a slot that is idle under load because it is reserved for a handful
	 * of calls.
	 */
	@Test
	void fewInternalCallsReserveNoSlot() {
		AdmissionController wide = controller(6, 100);
		for (int i = 0; i < 500; i++) {
			RequestClass requestClass = (i % 100 == 0) ? RequestClass.INTERNAL : RequestClass.LOOKUP;
			wide.offer(request(requestClass, CREW, 10_000), i * NANOS_PER_MILLI);
			wide.finished(this.lastId, RunOutcome.ANSWERED, i * NANOS_PER_MILLI);
		}
		IntStream.range(0, 20)
			.forEach((i) -> wide.offer(request(RequestClass.LOOKUP, CREW, 10_000), 500 * NANOS_PER_MILLI));
		assertThat(wide.running()).isEqualTo(6);
	}

	@Test
	void cancelledWaitingRequestNeverRuns() {
		fill();
		offer(RequestClass.POSTING, CREW, 1000);
		assertThat(this.admission.cancelWaiting(3)).isTrue();
		assertThat(this.admission.finished(1, RunOutcome.INTERRUPTED, 10 * NANOS_PER_MILLI).run()).isEmpty();
		assertThat(this.admission.cancelWaiting(2)).isFalse();
	}

	@Test
	void drainingServerRefusesNewRequestsAndFinishesWaitingOnes() {
		fill();
		offer(RequestClass.LOOKUP, CREW, 1000);
		this.admission.setDraining(true);
		assertThat(offer(RequestClass.LOOKUP, CREW, 1000)).isInstanceOf(Refuse.class);
		assertThat(this.admission.finished(1, RunOutcome.ANSWERED, 5 * NANOS_PER_MILLI).run()).containsExactly(3L);
	}

	// A caller that operators limited to a third floods a server of three slots. While
	// another caller has requests waiting it holds one slot; when no other caller waits
	// it may use the rest, since an idle slot is of no use.
	@Test
	void callerWithALimitHoldsNoMoreSlotsWhileOthersWait() {
		AdmissionController shared = controller(3, 100);
		shared.updateRules(AdmissionSettings.DEFAULT, Map.of(CROWD, 34));
		IntStream.range(0, 6).forEach((i) -> shared.offer(request(RequestClass.LOOKUP, CROWD, 1000), 0));
		IntStream.range(0, 3).forEach((i) -> shared.offer(request(RequestClass.LOOKUP, CREW, 1000), 0));
		assertThat(shared.finished(1, RunOutcome.ANSWERED, NANOS_PER_MILLI).run()).containsExactly(7L);
		assertThat(shared.finished(2, RunOutcome.ANSWERED, NANOS_PER_MILLI).run()).containsExactly(8L);
		assertThat(shared.finished(7, RunOutcome.ANSWERED, 2 * NANOS_PER_MILLI).run()).containsExactly(9L);
		assertThat(shared.finished(8, RunOutcome.ANSWERED, 2 * NANOS_PER_MILLI).run()).containsExactly(4L);
	}

	@Test
	void guaranteedSharesAreRaisedToTheConfiguredMinimum() {
		AdmissionSettings raised = AdmissionSettings.DEFAULT
			.withGuaranteedShares(Map.of(RequestClass.POSTING, 40, RequestClass.LOOKUP, 10));
		assertThat(raised.of(RequestClass.POSTING).guaranteedShare()).isEqualTo(0.4);
		assertThat(raised.of(RequestClass.LOOKUP).guaranteedShare())
			.isEqualTo(AdmissionSettings.DEFAULT.of(RequestClass.LOOKUP).guaranteedShare());
	}

	private void fill() {
		offer(RequestClass.LOOKUP, CROWD, 1000);
		offer(RequestClass.LOOKUP, CROWD, 1000);
	}

	private AdmissionDecision offer(RequestClass requestClass, CallerId caller, long deadlineMillis) {
		return this.admission.offer(request(requestClass, caller, deadlineMillis), 0);
	}

	private PendingRequest request(RequestClass requestClass, CallerId caller, long deadlineMillis) {
		return new PendingRequest(++this.lastId, requestClass, caller, deadlineMillis * NANOS_PER_MILLI);
	}

	private static AdmissionController controller(int slots, int connections) {
		return new AdmissionController(new AdmissionLimits(slots, connections), AdmissionSettings.DEFAULT);
	}

}
