package org.brasspier.daemon.internal.request;

import java.util.Optional;
import java.util.function.Supplier;

import io.activej.promise.Promise;
import org.brasspier.core.ErrorKind;
import org.brasspier.core.Failure;
import org.brasspier.core.event.EventKind;
import org.brasspier.core.request.Answer;
import org.brasspier.core.request.CallerRequest;
import org.brasspier.core.routing.Assignment;
import org.brasspier.core.routing.OwnershipSnapshot;
import org.brasspier.daemon.internal.backend.BackendClient;
import org.brasspier.daemon.internal.event.EventLog;

/**
 * The only way to the backend server beside this daemon. It lets a request pass if this
 * instance holds its point, under the fence that it holds, and relays the answer only if
 * it still does. Belongs to the thread of requests.
 */
public final class LocalGate {

	private final Supplier<OwnershipSnapshot> ownership;

	private final BackendClient backend;

	private final EventLog events;

	/**
	 * Creates a gate.
	 * @param ownership what this instance holds now
	 * @param backend the backend server
	 * @param events the time line
	 */
	public LocalGate(Supplier<OwnershipSnapshot> ownership, BackendClient backend, EventLog events) {
		this.ownership = ownership;
		this.backend = backend;
		this.events = events;
	}

	/**
	 * Serves a request on the backend server if this instance holds its point.
	 * @param request the request
	 * @return how it ended; never an exception
	 */
	public Promise<Outcome> serve(CallerRequest request) {
		Optional<Assignment> held = holding(request);
		if (held.isEmpty()) {
			return Promise.of(notOwner(request));
		}
		this.events.record(EventKind.REQUEST_HANDED_OVER, request.id(), "fence " + held.get().fence());
		return this.backend.run(request, held.get().fence())
			.map((answer) -> relay(request, held.get(), answer), (ex) -> failed(request, ex));
	}

	private Outcome relay(CallerRequest request, Assignment held, Answer answer) {
		boolean stillHeld = holding(request).filter((now) -> now.fence().equals(held.fence())).isPresent();
		if (!stillHeld) {
			// A pause past the lease: another owner may already have changed what this
			// answer says, so it must not reach the caller.
			String detail = "the lease ran out while the request ran";
			return new Outcome.Failed(Failure.of(ErrorKind.OUTCOME_UNKNOWN, detail), "");
		}
		this.events.record(EventKind.REQUEST_ANSWERED, request.id(), "status " + answer.status());
		return new Outcome.Answered(answer, held.fence(), "");
	}

	private Outcome failed(CallerRequest request, Exception ex) {
		String detail = "backend server failed: " + ex.getMessage();
		this.events.record(EventKind.BAD_BACKEND_INPUT, request.id(), detail);
		return new Outcome.Failed(Failure.of(ErrorKind.OUTCOME_UNKNOWN, detail), "");
	}

	private Outcome notOwner(CallerRequest request) {
		String detail = "this instance does not own this key of %s".formatted(request.service());
		return new Outcome.Failed(Failure.of(ErrorKind.NOT_OWNER, detail), "");
	}

	private Optional<Assignment> holding(CallerRequest request) {
		return this.ownership.get().holding(request.service(), request.hash(), System.nanoTime());
	}

}
