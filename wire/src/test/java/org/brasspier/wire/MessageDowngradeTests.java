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

	private static final ControlMessage DIFFERENCE = new ControlMessage.RowDifference(RowDelta.between(BEFORE, KNOWN));

	@Test
	void aPeerOfThisVersionIsToldTheDifference() {
		assertThat(MessageDowngrade.forVersion(DIFFERENCE, Handshake.MAX_VERSION, KNOWN)).hasValue(DIFFERENCE);
	}

	// In a rolling replacement a daemon of the earlier version got a message that it did
	// not know, closed the connection, and lost its lease.
	@Test
	void aPeerOfTheFirstVersionIsToldTheWholeRow() {
		assertThat(MessageDowngrade.forVersion(DIFFERENCE, Handshake.MIN_VERSION, KNOWN))
			.hasValue(new ControlMessage.RowUpdate(KNOWN));
	}

	@Test
	void whatBothVersionsKnowIsLeftAsItIs() {
		ControlMessage probe = new ControlMessage.Probe();
		assertThat(MessageDowngrade.forVersion(probe, Handshake.MIN_VERSION, KNOWN)).hasValue(probe);
	}

}
