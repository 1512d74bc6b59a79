package org.brasspier.bench.demo;

import java.util.List;
import java.util.stream.LongStream;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class FaultScheduleTests {

	@Test
	void sameSeedGivesTheSameSchedule() {
		assertThat(FaultSchedule.of(7, 5, 3)).isEqualTo(FaultSchedule.of(7, 5, 3));
	}

	@Test
	void schedulesHaveTwoOrThreeFaultsOfAllKinds() {
		List<FaultSchedule> schedules = LongStream.range(0, 200)
			.mapToObj((seed) -> FaultSchedule.of(seed, 5, 3))
			.toList();
		assertThat(schedules.stream().map((schedule) -> schedule.entries().size()).distinct().toList())
			.containsExactly(2, 3);
		assertThat(schedules.stream()
			.flatMap((schedule) -> schedule.entries().stream())
			.map((entry) -> entry.fault().getClass())
			.distinct()
			.toList()).hasSize(11);
	}

}
