package org.brasspier.daemon.internal.request;

import org.brasspier.core.event.EventKind;
import org.brasspier.core.request.CallerRequest;
import org.brasspier.core.request.CrashMarks;
import org.brasspier.daemon.internal.event.EventLog;

/**
 * The requests that were part of losses of backend servers, as this instance knows them.
 * Belongs to the thread of requests.
 */
final class Suspects {

	private final CrashMarks marks;

	private final EventLog events;

	Suspects(CrashMarks marks, EventLog events) {
		this.marks = marks;
		this.events = events;
	}

	void partOfLoss(CallerRequest request) {
		int crashes = this.marks.crashed(request.mark(), request.hash());
		this.events.record(EventKind.REQUEST_SUSPECT, request, "part of %d losses".formatted(crashes));
	}

	void endedWell(CallerRequest request) {
		if (!this.marks.isEmpty()) {
			this.marks.endedWell(request.mark());
		}
	}

	boolean contains(CallerRequest request) {
		return !this.marks.isEmpty() && this.marks.count(request.mark()) > 0;
	}

	// Whether it must not reach another backend server.
	boolean keptAway(CallerRequest request) {
		return !this.marks.isEmpty() && this.marks.count(request.mark()) >= CrashMarks.MAX_CRASHES;
	}

}
