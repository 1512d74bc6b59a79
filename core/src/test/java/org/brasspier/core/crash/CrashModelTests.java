package org.brasspier.core.crash;

import java.time.Duration;
import java.util.stream.IntStream;
import java.util.stream.LongStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

class CrashModelTests {

	/** Sends that are allowed once three crashes are known. */
	private static final int MAX_LATE_SENDS = 3;

	/** How long a harmless request may be refused without a chance to succeed. */
	private static final Duration MAX_REFUSAL = Duration.ofMinutes(5);

	private static final Duration DAY = Duration.ofSeconds(90);

	private static CrashModel faultyDay(CrashModel.Settings settings, long seed) {
		CrashModel model = new CrashModel(settings, seed);
		IntStream.range(0, 4).forEach((i) -> {
			model.cutOff(Duration.ofSeconds(1 + 7 * i), Duration.ofSeconds(5));
			model.restartDaemon(Duration.ofSeconds(3 + 9 * i));
		});
		return model.run(DAY);
	}

	/**
	 * Guards against requests that crash server after server although their crashes are
	 * known, beside twins that succeed, callers that leave, lost and late messages,
	 * daemons that are cut off or restart, and servers that crash again before they are
	 * heard from.
	 */
	@ParameterizedTest
	@CsvSource({ "4, 1, 0", "4, 3, 0", "12, 1, 40", "12, 10, 0", "80, 1, 40", "80, 10, 0" })
	void aRequestThatCrashedThreeServersReachesThreeMoreAtMost(int daemons, int culprits, int abandonPercent) {
		CrashModel.Settings settings = new CrashModel.Settings(daemons, culprits, 60, 40, 150, 400, abandonPercent, 5);
		LongStream.range(0, 25).forEach((seed) -> {
			CrashModel day = faultyDay(settings, seed);
			assertThat(day.mostLateSends()).isAtMost(MAX_LATE_SENDS);
			assertThat(day.longestRefusalOfHarmless()).isAtMost(MAX_REFUSAL);
		});
	}

	/**
	 * Guards against refusing harmless requests because crashing ones ran beside them.
	 */
	@Test
	void fewHarmlessRequestsAreRefusedBesideTenThatCrash() {
		CrashModel.Settings settings = new CrashModel.Settings(12, 10, 60, 40, 150, 400, 0, 5);
		double share = LongStream.range(0, 25)
			.mapToDouble((seed) -> faultyDay(settings, seed).harmlessRefusedShare())
			.average()
			.orElseThrow();
		assertThat(share).isAtMost(0.01);
	}

}
