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

	private static final CallerRequest KILLER = new CallerRequest(new ServiceName("hullbook"), Optional.of("hull-7"),
			true, new RequestIdentity(new RequestId("killer"), false, false, Optional.empty()), RequestClass.LOOKUP,
			new CallerId("office"), 1000, new CallerRequest.Target("GET", "/x"), List.of(), new byte[0]);

	private final SuspectRequests suspects = new SuspectRequests(new CrashHistory(), new EventLog(10));

	// A request has crashed two servers and waits at a daemon for the next owner. That
	// daemon gets the range, and the request is woken by the snapshot that says so. While
	// the marks came by a ring of their own, it could run a third time before they came
	// (in 2 of 300 tries); now they are part of the snapshot.
	@Test
	void marksHoldFromTheSnapshotThatGivesTheirRange() {
		this.suspects.mergeMarks(List.of(marked(8, CrashHistory.MAX_CRASHES)));
		assertThat(this.suspects.isBlocked(KILLER)).isTrue();
	}

	// A suspect that has ended well since the range came is no longer suspect, however
	// often the same grant is published again with each renewed lease.
	@Test
	void marksOfOneGrantAreTakenOnce() {
		this.suspects.mergeMarks(List.of(marked(8, 1)));
		this.suspects.recordSuccess(KILLER);
		this.suspects.mergeMarks(List.of(marked(8, 1)));
		assertThat(this.suspects.isSuspect(KILLER)).isFalse();
	}

	@Test
	void marksOfALaterGrantAreTakenAgain() {
		this.suspects.mergeMarks(List.of(marked(8, 1)));
		this.suspects.recordSuccess(KILLER);
		this.suspects.mergeMarks(List.of(marked(9, CrashHistory.MAX_CRASHES)));
		assertThat(this.suspects.isBlocked(KILLER)).isTrue();
	}

	private static MarkedRange marked(long fence, int crashes) {
		HeldRange held = new HeldRange(KILLER.service(), KeyRange.ALL, new Fence(fence));
		return new MarkedRange(held, List.of(new CrashMark(KILLER.crashFingerprint(), crashes)));
	}

}
