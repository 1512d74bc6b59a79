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

	private static final String ROW = "cell/small";

	private Scene scene;

	@BeforeEach
	void start() {
		this.scene = Scene.keyed(3);
		this.scene.traffic();
		this.scene.awaitAnswers();
	}

	@AfterEach
	void judge() {
		this.scene.assertPromisesKept();
		this.scene.close();
	}

	// Somebody damages the cell's row, or a newer version of the daemon has written it.
	// Who owns what is not to be guessed from it: owners serve on, nothing moves even
	// when an instance is lost, and the row stays as it is until somebody has mended it.
	// The one lost is a plain member: with a manager lost the cell stops, as in an
	// outage.
	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void aRowThatCannotBeReadIsNeverOverwritten(boolean newer) {
		LeaseManagers managers = LeaseManagers.await(this.scene.deployment());
		byte[] good = this.scene.deployment().platform().row(ROW).orElseThrow();
		byte[] bad = (newer) ? newer(good) : damaged(good);
		this.scene.deployment().platform().corruptRow(ROW, bad);
		StandInInstance lost = this.scene.otherThan(managers.primary(), managers.secondary());
		List<OwnedRange> ranges = this.scene.deployment().ownedBy(lost);
		this.scene.awaitAnswers();
		lost.kill();
		this.scene.awaitAnswers();
		assertThat(this.scene.deployment().platform().row(ROW).orElseThrow()).isEqualTo(bad);
		this.scene.deployment().platform().corruptRow(ROW, good);
		this.scene.awaitRecovered(ranges);
	}

	private static byte[] damaged(byte[] good) {
		byte[] bad = Arrays.copyOf(good, good.length);
		bad[bad.length - 1] ^= 1;
		return bad;
	}

	private static byte[] newer(byte[] good) {
		String line = new String(good, StandardCharsets.ISO_8859_1);
		return line.replaceFirst("brasspier 1 ", "brasspier 99 ").getBytes(StandardCharsets.ISO_8859_1);
	}

}
