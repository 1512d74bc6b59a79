package org.brasspier.daemon.internal.request;

import java.util.Optional;
import java.util.function.Supplier;

import io.activej.promise.Promise;
import org.brasspier.core.ErrorKind;
import org.brasspier.core.Failure;
import org.brasspier.core.InstanceId;
import org.brasspier.core.event.EventKind;
import org.brasspier.core.request.CallerRequest;
import org.brasspier.core.routing.Assignment;
import org.brasspier.core.routing.OwnershipSnapshot;
import org.brasspier.daemon.internal.event.EventLog;

/**
 * Brings a caller's request to its owner: this instance, or one hop to another. Belongs
 * to the thread of requests.
 */
public final class RequestRouter {

	private final Supplier<OwnershipSnapshot> ownership;

	private final LocalGate gate;

	private final ForwardClient forwards;

	private final EventLog events;

	/**
	 * Creates a router.
	 * @param ownership who owns what, as known now
	 * @param gate the way to the backend server beside this daemon
	 * @param forwards the way to other daemons
	 * @param events the time line
	 */
	public RequestRouter(Supplier<OwnershipSnapshot> ownership, LocalGate gate, ForwardClient forwards,
			EventLog events) {
		this.ownership = ownership;
		this.gate = gate;
		this.forwards = forwards;
		this.events = events;
	}

	/**
	 * Routes a request that a caller sent to this daemon.
	 * @param request the request
	 * @return how it ended; never an exception
	 */
	public Promise<Outcome> route(CallerRequest request) {
		OwnershipSnapshot snapshot = this.ownership.get();
		Optional<InstanceId> owner = snapshot.routes().find(request.service(), request.hash()).map(Assignment::owner);
		if (owner.isEmpty()) {
			return Promise.of(noOwner(request));
		}
		if (owner.get().equals(snapshot.self())) {
			return this.gate.serve(request);
		}
		this.events.record(EventKind.REQUEST_FORWARDED, request.id(), "to " + owner.get());
		return this.forwards.forward(owner.get(), snapshot.addresses(), request);
	}

	private Outcome noOwner(CallerRequest request) {
		String detail = "no instance owns this key of %s now".formatted(request.service());
		return new Outcome.Failed(Failure.of(ErrorKind.NO_OWNER, detail), "");
	}

}
