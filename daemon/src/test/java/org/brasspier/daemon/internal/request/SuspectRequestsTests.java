package org.brasspier.daemon.internal.request;

import java.util.List;
import java.util.Optional;

import org.brasspier.core.CallerId;
import org.brasspier.core.Fence;
import org.brasspier.core.KeyRange;
import org.brasspier.core.RequestClass;
import org.brasspier.core.RequestId;
import org.brasspier.core.ServiceName;
import org.brasspier.core.ownership.CrashMark;
import org.brasspier.core.ownership.HeldRange;
import org.brasspier.core.ownership.MarkedRange;
import org.brasspier.core.request.CallerRequest;
import org.brasspier.core.request.CrashHistory;
import org.brasspier.core.request.RequestIdentity;
import org.brasspier.daemon.internal.event.EventLog;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class SuspectRequestsTests {

	private static final CallerRequest CRASHING = new CallerRequest(new ServiceName("hullbook"), Optional.of("hull-7"),
			true, new RequestIdentity(new RequestId("killer"), false, false, Optional.empty()), RequestClass.LOOKUP,
			new CallerId("office"), 1000, new CallerRequest.Target("GET", "/x"), List.of(), new byte[0]);

	private final SuspectRequests suspects = new SuspectRequests(new CrashHistory(), new EventLog(10));

	// Guards against a request that crashes a third server: it has crashed two and
	// waits at the daemon that becomes the next owner. When the marks arrived in a ring
	// of their own, the request could run before them (in 2 of 300 tries); so they are
	// part of the snapshot.
	@Test
	void marksApplyFromTheSnapshotThatGrantsTheirRange() {
		this.suspects.mergeMarks(List.of(marked(8, CrashHistory.MAX_CRASHES)));
		assertThat(this.suspects.isBlocked(CRASHING)).isTrue();
	}

	// A request that has succeeded since the range was granted is no longer suspect,
	// even though the same grant is published again with each lease renewal.
	@Test
	void marksOfOneGrantAreMergedOnce() {
		this.suspects.mergeMarks(List.of(marked(8, 1)));
		this.suspects.recordAnswer(CRASHING, 200);
		this.suspects.mergeMarks(List.of(marked(8, 1)));
		assertThat(this.suspects.isSuspect(CRASHING)).isFalse();
	}

	/**
	 * Guards against a crashing request that is sent to server after server because one
	 * of them answered it with an error before it crashed.
	 */
	@Test
	void aServerErrorDoesNotClearTheCrashingRequest() {
		this.suspects.mergeMarks(List.of(marked(8, CrashHistory.MAX_CRASHES)));
		this.suspects.recordAnswer(CRASHING, 503);
		assertThat(this.suspects.isBlocked(CRASHING)).isTrue();
		this.suspects.recordAnswer(CRASHING, 404);
		assertThat(this.suspects.isBlocked(CRASHING)).isFalse();
	}

	@Test
	void marksOfALaterGrantAreMergedAgain() {
		this.suspects.mergeMarks(List.of(marked(8, 1)));
		this.suspects.recordAnswer(CRASHING, 200);
		this.suspects.mergeMarks(List.of(marked(9, CrashHistory.MAX_CRASHES)));
		assertThat(this.suspects.isBlocked(CRASHING)).isTrue();
	}

	private static MarkedRange marked(long fence, int crashes) {
		HeldRange held = new HeldRange(CRASHING.service(), KeyRange.ALL, new Fence(fence));
		return new MarkedRange(held, List.of(new CrashMark(CRASHING.crashFingerprint(), crashes)));
	}

}
