package org.brasspier.daemon.internal.mesh;

import java.util.OptionalDouble;

import org.brasspier.core.keys.BackendIncarnation;
import org.brasspier.core.mesh.BackendTracker.BackendPhase;
import org.brasspier.daemon.internal.limit.ServerNotices;

/**
 * Logs what the local backend server states about itself, and starts to drain it when it
 * says that it is leaving. Not thread-safe: confined to the request thread.
 *
 * @param registration the state of the server
 * @param log the log
 */
record NoticeListener(BackendRegistration registration, MeshLog log) implements ServerNotices.Listener {

	@Override
	public void limitChanged(OptionalDouble perSecond) {
		this.log.record(MeshEvent.BACKEND_LIMIT, "life", life(), "per_second",
				perSecond.isPresent() ? perSecond.getAsDouble() : "none");
	}

	@Override
	public void leaving(BackendIncarnation server) {
		if (this.registration.phase() == BackendPhase.READY) {
			this.log.record(MeshEvent.BACKEND_LEAVING, "life", server);
			this.registration.announceLeaving(server);
		}
	}

	@Override
	public void malformedLimit(String value) {
		this.log.record(MeshEvent.BACKEND_LIMIT, "life", life(), "malformed", value);
	}

	private String life() {
		return this.registration.incarnation().map(String::valueOf).orElse("");
	}

}
