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
 * The requests that were running when a backend server was lost, as far as this instance
 * knows. Not thread-safe; used in the request thread only.
 */
final class SuspectRequests {

	private static final int MIN_SERVER_ERROR = 500;

	private final CrashHistory marks;

	private final EventLog events;

	private final Set<HeldRange> mergedGrants = new HashSet<>();

	private List<MarkedRange> lastMarked = List.of();

	SuspectRequests(CrashHistory marks, EventLog events) {
		this.marks = marks;
		this.events = events;
	}

	// Merges the crash marks of earlier owners, which are part of the snapshot that
	// grants a range, before any request of the range is served. Otherwise a waiting
	// request that is resumed by this snapshot could crash one more backend server.
	// Each grant is merged once, or a request that has succeeded since would become
	// suspect again.
	void mergeMarks(List<MarkedRange> marked) {
		if (marked == this.lastMarked) {
			return;
		}
		this.lastMarked = marked;
		marked.stream()
			.filter((range) -> this.mergedGrants.add(range.held()))
			.forEach((range) -> this.marks.merge(range.marks()));
		this.mergedGrants.retainAll(marked.stream().map(MarkedRange::held).toList());
	}

	void recordCrash(CallerRequest request) {
		int crashes = this.marks.recordCrash(request.crashFingerprint(), request.keyHash());
		this.events.record(EventKind.REQUEST_SUSPECT, request,
				"running in %d losses of backend servers".formatted(crashes));
	}

	// A server may answer with an error before it reaches the code that crashes it.
	void recordAnswer(CallerRequest request, int status) {
		if (!this.marks.isEmpty() && status < MIN_SERVER_ERROR) {
			this.marks.recordSuccess(request.crashFingerprint());
		}
	}

	boolean isSuspect(CallerRequest request) {
		return !this.marks.isEmpty() && this.marks.crashCount(request.crashFingerprint()) > 0;
	}

	// Whether a request must not be sent to any more backend servers.
	boolean isBlocked(CallerRequest request) {
		return !this.marks.isEmpty() && this.marks.crashCount(request.crashFingerprint()) >= CrashHistory.MAX_CRASHES;
	}

}
