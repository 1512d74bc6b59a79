package org.brasspier.integration;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;

import org.brasspier.bench.demo.LeaseManagers;
import org.brasspier.standins.OwnedRange;
import org.brasspier.standins.StandInInstance;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

class StoredStateTests {

	private static final String CELL_ROW = "cell/small";

	private TestDeployment testDeployment;

	@BeforeEach
	void start() {
		this.testDeployment = TestDeployment.shardedByKey(3);
		this.testDeployment.startTraffic();
		this.testDeployment.awaitMoreAnswers();
	}

	@AfterEach
	void verify() {
		this.testDeployment.assertNoViolations();
		this.testDeployment.close();
	}

	// The row of the cell is corrupted, or was written by a newer version of the daemon.
	// Ownership must not be guessed from it: owners keep serving, no range moves even
	// when an instance is lost, and the row stays unchanged until it has been repaired.
	// The lost instance is a plain member: with a manager lost the cell would stop, as in
	// an outage.
	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void aRowThatCannotBeReadIsNeverOverwritten(boolean newer) {
		LeaseManagers managers = LeaseManagers.await(this.testDeployment.deployment());
		byte[] validRow = this.testDeployment.deployment().platform().row(CELL_ROW).orElseThrow();
		byte[] unreadableRow = (newer) ? withNewerFormat(validRow) : withFlippedBit(validRow);
		this.testDeployment.deployment().platform().corruptRow(CELL_ROW, unreadableRow);
		StandInInstance lost = this.testDeployment.instanceOtherThan(managers.primary(), managers.secondary());
		List<OwnedRange> ranges = this.testDeployment.deployment().ownedBy(lost);
		this.testDeployment.awaitMoreAnswers();
		lost.kill();
		this.testDeployment.awaitMoreAnswers();
		assertThat(this.testDeployment.deployment().platform().row(CELL_ROW).orElseThrow()).isEqualTo(unreadableRow);
		this.testDeployment.deployment().platform().corruptRow(CELL_ROW, validRow);
		this.testDeployment.awaitRecovered(ranges);
	}

	private static byte[] withFlippedBit(byte[] validRow) {
		byte[] unreadableRow = Arrays.copyOf(validRow, validRow.length);
		unreadableRow[unreadableRow.length - 1] ^= 1;
		return unreadableRow;
	}

	private static byte[] withNewerFormat(byte[] validRow) {
		String line = new String(validRow, StandardCharsets.ISO_8859_1);
		return line.replaceFirst("brasspier 1 ", "brasspier 99 ").getBytes(StandardCharsets.ISO_8859_1);
	}

}
