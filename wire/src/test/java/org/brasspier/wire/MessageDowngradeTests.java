package org.brasspier.wire;

import org.brasspier.core.ownership.CellRow;
import org.brasspier.core.ownership.ControlMessage;
import org.brasspier.core.ownership.RowDelta;
import org.brasspier.core.ownership.VersionedRow;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class MessageDowngradeTests {

	private static final VersionedRow BEFORE = new VersionedRow(4, CellRow.EMPTY);

	private static final VersionedRow KNOWN = new VersionedRow(5, CellRow.EMPTY);

	private static final ControlMessage DELTA = new ControlMessage.RowDifference(RowDelta.between(BEFORE, KNOWN));

	@Test
	void aPeerOfThisVersionGetsTheDelta() {
		assertThat(MessageDowngrade.forVersion(DELTA, Handshake.MAX_VERSION, KNOWN)).hasValue(DELTA);
	}

	// Guards against lost leases in a rolling upgrade: a daemon of the earlier version
	// received an unknown message, closed the connection and lost its lease.
	@Test
	void aPeerOfTheFirstVersionGetsTheWholeRow() {
		assertThat(MessageDowngrade.forVersion(DELTA, Handshake.MIN_VERSION, KNOWN))
			.hasValue(new ControlMessage.RowUpdate(KNOWN));
	}

	@Test
	void messagesOfBothVersionsAreUnchanged() {
		ControlMessage probe = new ControlMessage.Probe();
		assertThat(MessageDowngrade.forVersion(probe, Handshake.MIN_VERSION, KNOWN)).hasValue(probe);
	}

}
