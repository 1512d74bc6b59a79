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
 * A backend server behind the admission decisions, as its daemon uses them. Not
 * thread-safe.
 */
final class GatedServer {

	private static final long TICK_NANOS = 5 * VirtualTime.MILLI;

	private final VirtualTime time;

	private final SlotServer server;

	private final AdmissionController admission;

	private final Map<Long, Held> held = new HashMap<>();

	private boolean ticking;

	private boolean lost;

	GatedServer(VirtualTime time, SlotServer server, Deployment deployment) {
		this.time = time;
		this.server = server;
		this.admission = new AdmissionController(new AdmissionLimits(deployment.slots(), deployment.connections()),
				AdmissionSettings.DEFAULT);
	}

	void offer(Attempt attempt, Consumer<Ending> ending) {
		if (this.lost) {
			ending.accept(new Ending.Failed(noOwner()));
			return;
		}
		CallerCall call = attempt.call();
		PendingRequest request = new PendingRequest(attempt.id(), call.requestClass(), call.caller(),
				attempt.deadlineNanos());
		this.held.put(attempt.id(), new Held(attempt, ending, this.time.now()));
		switch (this.admission.offer(request, this.time.now())) {
			case AdmissionDecision.Run run -> run(attempt.id());
			case AdmissionDecision.Queued queued -> {
				queued.displaced().ifPresent(this::refuse);
				tick();
			}
			case AdmissionDecision.Refuse refuse -> refuse(new RefusedRequest(attempt.id(), refuse.failure()));
		}
	}

	static Failure noOwner() {
		return new Failure(ErrorKind.NO_OWNER, "nobody holds the range", java.time.Duration.ofMillis(200));
	}

	long usualRunNanos(Attempt attempt) {
		return this.admission.meanRunNanos(attempt.call().requestClass());
	}

	void callerGone(Attempt attempt) {
		if (this.admission.cancelWaiting(attempt.id())) {
			this.held.remove(attempt.id());
		}
		else if (this.held.containsKey(attempt.id()) && this.server.cancel(attempt)) {
			this.held.remove(attempt.id());
			follow(this.admission.finished(attempt.id(), RunOutcome.INTERRUPTED, this.time.now()));
		}
	}

	void lose() {
		this.lost = true;
		this.server.lose();
		this.admission.refuseWaiting(noOwner()).forEach(this::refuse);
	}

	private void run(long id) {
		Held request = this.held.get(id);
		if (request == null) {
			return;
		}
		Held running = new Held(request.attempt(), request.ending(), this.time.now());
		this.held.put(id, running);
		this.server.run(request.attempt(), () -> finished(running, RunOutcome.ANSWERED),
				() -> finished(running, RunOutcome.INTERRUPTED));
	}

	private void finished(Held running, RunOutcome outcome) {
		this.held.remove(running.attempt().id());
		NextRequests next = this.admission.finished(running.attempt().id(), outcome, this.time.now());
		Ending ending = (outcome == RunOutcome.ANSWERED) ? new Ending.Answered(this.time.now() - running.sinceNanos())
				: new Ending.Failed(Failure.of(ErrorKind.OUTCOME_UNKNOWN, "the backend server is lost"));
		running.ending().accept(ending);
		if (!this.lost) {
			follow(next);
		}
	}

	private void follow(NextRequests next) {
		next.refused().forEach(this::refuse);
		List.copyOf(next.run()).forEach(this::run);
	}

	private void refuse(RefusedRequest refused) {
		Held request = this.held.remove(refused.id());
		if (request != null) {
			request.ending().accept(new Ending.Failed(refused.failure()));
		}
	}

	private void tick() {
		if (this.ticking) {
			return;
		}
		this.ticking = true;
		this.time.after(TICK_NANOS, () -> {
			this.ticking = false;
			follow(this.admission.advance(this.time.now()));
			if (this.admission.waiting() > 0) {
				tick();
			}
		});
	}

	private record Held(Attempt attempt, Consumer<Ending> ending, long sinceNanos) {

	}

}
