package org.brasspier.bench.policy;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import org.brasspier.core.ErrorKind;
import org.brasspier.core.Failure;
import org.brasspier.core.admission.AdmissionController;
import org.brasspier.core.admission.AdmissionDecision;
import org.brasspier.core.admission.AdmissionLimits;
import org.brasspier.core.admission.AdmissionSettings;
import org.brasspier.core.admission.NextRequests;
import org.brasspier.core.admission.PendingRequest;
import org.brasspier.core.admission.RefusedRequest;
import org.brasspier.core.admission.RunOutcome;

/**
 * A backend server behind an admission controller, called the way the daemon calls it.
 * Not thread-safe.
 */
final class AdmissionServer {

	private static final long TICK_NANOS = 5 * VirtualTime.MILLI;

	private final VirtualTime time;

	private final SimulatedServer server;

	private final AdmissionController admission;

	private final Map<Long, PendingAttempt> pending = new HashMap<>();

	private boolean tickScheduled;

	private boolean crashed;

	AdmissionServer(VirtualTime time, SimulatedServer server, Deployment deployment) {
		this.time = time;
		this.server = server;
		this.admission = new AdmissionController(new AdmissionLimits(deployment.slots(), deployment.connections()),
				AdmissionSettings.DEFAULT);
	}

	void offer(Attempt attempt, Consumer<AttemptResult> onResult) {
		if (this.crashed) {
			onResult.accept(new AttemptResult.Failed(noOwnerFailure()));
			return;
		}
		RecordedRequest call = attempt.call();
		PendingRequest request = new PendingRequest(attempt.id(), call.requestClass(), call.caller(),
				attempt.deadlineNanos());
		this.pending.put(attempt.id(), new PendingAttempt(attempt, onResult, this.time.now()));
		switch (this.admission.offer(request, this.time.now())) {
			case AdmissionDecision.Run run -> run(attempt.id());
			case AdmissionDecision.Queued queued -> {
				queued.displaced().ifPresent(this::refuse);
				scheduleTick();
			}
			case AdmissionDecision.Refuse refuse -> refuse(new RefusedRequest(attempt.id(), refuse.failure()));
		}
	}

	static Failure noOwnerFailure() {
		return new Failure(ErrorKind.NO_OWNER, "the range has no owner", java.time.Duration.ofMillis(200));
	}

	long meanRunNanos(Attempt attempt) {
		return this.admission.meanRunNanos(attempt.call().requestClass());
	}

	void onCallerTimeout(Attempt attempt) {
		if (this.admission.cancelWaiting(attempt.id())) {
			this.pending.remove(attempt.id());
		}
		else if (this.pending.containsKey(attempt.id()) && this.server.cancel(attempt)) {
			this.pending.remove(attempt.id());
			apply(this.admission.finished(attempt.id(), RunOutcome.INTERRUPTED, this.time.now()));
		}
	}

	void crash() {
		this.crashed = true;
		this.server.crash();
		this.admission.refuseWaiting(noOwnerFailure()).forEach(this::refuse);
	}

	private void run(long id) {
		PendingAttempt request = this.pending.get(id);
		if (request == null) {
			return;
		}
		PendingAttempt running = new PendingAttempt(request.attempt(), request.onResult(), this.time.now());
		this.pending.put(id, running);
		this.server.submit(request.attempt(), () -> onFinished(running, RunOutcome.ANSWERED),
				() -> onFinished(running, RunOutcome.INTERRUPTED));
	}

	private void onFinished(PendingAttempt running, RunOutcome outcome) {
		this.pending.remove(running.attempt().id());
		NextRequests next = this.admission.finished(running.attempt().id(), outcome, this.time.now());
		AttemptResult result = (outcome == RunOutcome.ANSWERED)
				? new AttemptResult.Answered(this.time.now() - running.sinceNanos()) : new AttemptResult.Failed(
						Failure.of(ErrorKind.OUTCOME_UNKNOWN, "the backend server failed while the request ran"));
		running.onResult().accept(result);
		if (!this.crashed) {
			apply(next);
		}
	}

	private void apply(NextRequests next) {
		next.refused().forEach(this::refuse);
		List.copyOf(next.run()).forEach(this::run);
	}

	private void refuse(RefusedRequest refused) {
		PendingAttempt request = this.pending.remove(refused.id());
		if (request != null) {
			request.onResult().accept(new AttemptResult.Failed(refused.failure()));
		}
	}

	private void scheduleTick() {
		if (this.tickScheduled) {
			return;
		}
		this.tickScheduled = true;
		this.time.scheduleAfter(TICK_NANOS, () -> {
			this.tickScheduled = false;
			apply(this.admission.advance(this.time.now()));
			if (this.admission.waiting() > 0) {
				scheduleTick();
			}
		});
	}

	// sinceNanos is the virtual time at which the request was offered.
	private record PendingAttempt(Attempt attempt, Consumer<AttemptResult> onResult, long sinceNanos) {

	}

}
