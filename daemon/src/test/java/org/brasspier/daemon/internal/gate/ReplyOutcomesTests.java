package org.brasspier.daemon.internal.gate;

import org.brasspier.core.ErrorKind;
import org.brasspier.core.Failure;
import org.brasspier.core.admission.RunOutcome;
import org.brasspier.core.mesh.SendOutcome;
import org.brasspier.daemon.internal.http.BackendReply;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class ReplyOutcomesTests {

	private static final SendOutcome CUT_OFF = new SendOutcome.Unknown(Failure.of(ErrorKind.TIMED_OUT, "cut off"));

	/**
	 * Guards against routes that look dearer with each caller that leaves, until they are
	 * refused.
	 */
	@Test
	void aRunThatIsCutOffForACallerThatLeftIsNoObservationOfItsRoute() {
		assertThat(ReplyOutcomes.runOutcome(CUT_OFF, true, new BackendReply.GivenUp()))
			.isEqualTo(RunOutcome.NOT_STARTED);
	}

	/** Guards against slow routes whose runs all exceed the deadline and look cheap. */
	@Test
	void aRunThatIsCutOffByItsDeadlineIsALowerBoundOfItsRunTime() {
		assertThat(ReplyOutcomes.runOutcome(CUT_OFF, false, new BackendReply.GivenUp()))
			.isEqualTo(RunOutcome.INTERRUPTED);
	}

}
