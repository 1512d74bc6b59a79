package org.brasspier.core.keys;

import java.time.Duration;
import java.util.List;
import java.util.stream.Stream;

import org.brasspier.core.InstanceId;

/**
 * Instances, durations and factory methods shared by tests.
 */
abstract class KeyFixtures {

	static final InstanceId A = new InstanceId("a");

	static final InstanceId B = new InstanceId("b");

	static final InstanceId C = new InstanceId("c");

	static final LeaseTiming TIMING = LeaseTiming.DEFAULT;

	KeyFixtures() {
	}

	static KeyHolder holder(InstanceId instance) {
		return new KeyHolder(instance, new BackendIncarnation("server-" + instance, 1));
	}

	static List<KeyHolder> holders(InstanceId... instances) {
		return Stream.of(instances).map(KeyFixtures::holder).toList();
	}

	static long millis(long count) {
		return Duration.ofMillis(count).toNanos();
	}

	static HoldReport report(InstanceId instance, List<HeldKeys> holds, List<ReleasedKeys> freed) {
		return new HoldReport(holder(instance).incarnation(), holds, freed);
	}

}
