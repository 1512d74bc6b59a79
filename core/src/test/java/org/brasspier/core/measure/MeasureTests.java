package org.brasspier.core.measure;

import java.util.List;
import java.util.Optional;

import org.brasspier.core.InstanceId;
import org.brasspier.core.KeyHash;
import org.brasspier.core.KeyRange;
import org.brasspier.core.ServiceName;
import org.brasspier.core.document.Targets;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * The measures that decide the renewal.
 */
class MeasureTests {

	private static final ServiceName HULLBOOK = new ServiceName("hullbook");

	private static final long HALF = KeyHash.SPACE / 2;

	private final ChurnMeter churn = new ChurnMeter();

	@Test
	void aSecondInWhichSeveralDaemonsRefusedRequestsCountsOnce() {
		MeasureSums sums = MeasureSums.ofMinute(List.of(report("a", 5, 2, 0b0011, 0), report("b", 5, 1, 0b0110, 0)));
		assertThat(sums.unavailableSeconds()).isEqualTo(3);
		assertThat(sums.turnedAway()).isEqualTo(3);
	}

	@Test
	void imbalanceIsTheBusiestServersLoadOverTheMeanWeightedByBusyTime() {
		MeasureSums even = MeasureSums.ofMinute(List.of(report("a", 1, 0, 0, 3000), report("b", 1, 0, 0, 3000)));
		MeasureSums skewed = MeasureSums.ofMinute(List.of(report("a", 1, 0, 0, 2000), report("b", 1, 0, 0, 0)));
		assertThat(even.imbalance()).isWithin(1e-9).of(1);
		assertThat(skewed.imbalance()).isWithin(1e-9).of(2);
		assertThat(even.plus(skewed).imbalance()).isWithin(1e-9).of(1.25);
		assertThat(MeasureSums.ZERO.imbalance()).isEqualTo(1);
	}

	@Test
	void churnCountsThePointsThatMoved() {
		update(owned(0, KeyHash.SPACE, "a"));
		assertThat(update(owned(0, HALF, "a"), owned(HALF, KeyHash.SPACE, "b"))).isEqualTo(HALF);
		assertThat(update(owned(0, HALF, "a"), owned(HALF, KeyHash.SPACE, "b"))).isEqualTo(0);
	}

	// After the loss of an instance, its range first has no owner and then a new one.
	// Callers see one change of owner, so it must be counted once.
	@Test
	void aLossCountsOnceWhenAnotherInstanceTakesOver() {
		update(owned(0, HALF, "a"), owned(HALF, KeyHash.SPACE, "b"));
		assertThat(update(owned(0, HALF, "a"), owned(HALF, KeyHash.SPACE, ""))).isEqualTo(0);
		assertThat(update(owned(0, KeyHash.SPACE, "a"))).isEqualTo(HALF);
	}

	@Test
	void anOwnerThatReturnsToItsRangeCausesNoChurn() {
		update(owned(0, KeyHash.SPACE, "a"));
		update(owned(0, KeyHash.SPACE, ""));
		assertThat(update(owned(0, KeyHash.SPACE, "a"))).isEqualTo(0);
	}

	@Test
	void measuresAreComparedWithTheTargets() {
		MeasureSums sums = new MeasureSums(1000, 4, 4, HALF, 1000, 1200);
		MeasureSummary twoDays = MeasureSummary.of(sums, 2 * 86_400_000L, new Targets(1.3, 25, 5));
		assertThat(twoDays.churnPercentADay()).isWithin(1e-9).of(25);
		assertThat(twoDays.unavailableSecondsADay()).isWithin(1e-9).of(2);
		assertThat(twoDays.targetsMet()).isTrue();
		assertThat(MeasureSummary.of(sums, 86_400_000L, new Targets(1.3, 25, 5)).targetsMet()).isFalse();
	}

	private long update(ChurnMeter.OwnedRange... ranges) {
		return this.churn.update(HULLBOOK, List.of(ranges));
	}

	private static ChurnMeter.OwnedRange owned(long low, long high, String owner) {
		return new ChurnMeter.OwnedRange(new KeyRange(low, high),
				Optional.of(owner).filter((name) -> !name.isEmpty()).map(InstanceId::new));
	}

	private static MinuteReport report(String instance, long requests, long turnedAway, long seconds, long busy) {
		return new MinuteReport(new InstanceId(instance), HULLBOOK, 7, requests, turnedAway, seconds, busy, 10);
	}

}
