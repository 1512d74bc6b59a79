package org.brasspier.daemon.internal.request;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.brasspier.core.event.EventKind;
import org.brasspier.core.ownership.HeldRange;
import org.brasspier.core.ownership.MarkedRange;
import org.brasspier.core.request.CallerRequest;
import org.brasspier.core.request.CrashHistory;
import org.brasspier.daemon.internal.event.EventLog;

/**
 * The requests that were part of losses of backend servers, as this instance knows them.
 * Belongs to the thread of requests.
 */
final class SuspectRequests {

	private final CrashHistory marks;

	private final EventLog events;

	private final Set<HeldRange> taken = new HashSet<>();

	private List<MarkedRange> followed = List.of();

	SuspectRequests(CrashHistory marks, EventLog events) {
		this.marks = marks;
		this.events = events;
	}

	// Guards against a request that crashes one more backend server because it comes with
	// the very snapshot that gives its range away, before the earlier owners' marks are
	// known here: they are part of that snapshot and taken before anything of it is
	// served. Once for each grant, or what has ended well since would be suspect again.
	void mergeMarks(List<MarkedRange> marked) {
		if (marked == this.followed) {
			return;
		}
		this.followed = marked;
		marked.stream()
			.filter((range) -> this.taken.add(range.held()))
			.forEach((range) -> this.marks.merge(range.marks()));
		this.taken.retainAll(marked.stream().map(MarkedRange::held).toList());
	}

	void recordCrash(CallerRequest request) {
		int crashes = this.marks.recordCrash(request.crashFingerprint(), request.keyHash());
		this.events.record(EventKind.REQUEST_SUSPECT, request, "part of %d losses".formatted(crashes));
	}

	void recordSuccess(CallerRequest request) {
		if (!this.marks.isEmpty()) {
			this.marks.recordSuccess(request.crashFingerprint());
		}
	}

	boolean isSuspect(CallerRequest request) {
		return !this.marks.isEmpty() && this.marks.crashCount(request.crashFingerprint()) > 0;
	}

	// Whether it must not reach another backend server.
	boolean isBlocked(CallerRequest request) {
		return !this.marks.isEmpty() && this.marks.crashCount(request.crashFingerprint()) >= CrashHistory.MAX_CRASHES;
	}

}
