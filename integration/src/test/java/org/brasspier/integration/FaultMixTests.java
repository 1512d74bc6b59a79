package org.brasspier.integration;

import java.util.stream.LongStream;

import org.brasspier.bench.demo.FaultTrial;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Two or three faults at once, drawn from fixed seeds. A seed that finds a fault is added
 * here and stays.
 */
class FaultMixTests {

	private static final int SEEDS_A_DEPLOYMENT = 5;

	// Faults of the brief come together or twice, at any moment: losses, pauses, planned
	// stops, partitions, a store that is down, slow or loses answers. Whatever the mix,
	// once it is over each service is served, and no promise was broken meanwhile.
	@ParameterizedTest
	@ValueSource(longs = { 1, 6, 11, 16 })
	void aMixOfFaultsBreaksNoPromise(long first) {
		try (FaultTrial trial = FaultTrial.start()) {
			LongStream.range(first, first + SEEDS_A_DEPLOYMENT)
				.forEach((seed) -> assertWithMessage("seed %s", seed).that(trial.run(seed)).isEmpty());
		}
	}

}
