package org.brasspier.core.returns;

import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class ReturnMemoryTests {

	private static final long MILLI = 1_000_000;

	private static final long REQUEST = 7;

	private final ReturnMemory memory = new ReturnMemory();

	@Test
	void aReturnIsOnTimeFromItsTimeLessTheToleranceOn() {
		this.memory.onRefused(REQUEST, 100 * MILLI, 0);
		assertThat(this.memory.onRequest(REQUEST, 79 * MILLI)).isEqualTo(ReturnStatus.EARLY);
		assertThat(this.memory.onRequest(REQUEST, 80 * MILLI)).isEqualTo(ReturnStatus.ON_TIME);
		assertThat(this.memory.isEmpty()).isTrue();
	}

	/** Guards against one refusal that gives precedence to several requests. */
	@Test
	void aRefusalIsUsedUpByOneReturn() {
		this.memory.onRefused(REQUEST, 100 * MILLI, 0);
		this.memory.onRefused(REQUEST, 200 * MILLI, 0);
		assertThat(this.memory.onRequest(REQUEST, 150 * MILLI)).isEqualTo(ReturnStatus.ON_TIME);
		assertThat(this.memory.onRequest(REQUEST, 150 * MILLI)).isEqualTo(ReturnStatus.EARLY);
		assertThat(this.memory.onRequest(REQUEST, 250 * MILLI)).isEqualTo(ReturnStatus.ON_TIME);
		assertThat(this.memory.onRequest(REQUEST, 250 * MILLI)).isEqualTo(ReturnStatus.NEW);
		assertThat(this.memory.onRequest(REQUEST + 1, 250 * MILLI)).isEqualTo(ReturnStatus.NEW);
	}

	@Test
	void anEarlyReturnThatIsServedUsesUpTheRefusal() {
		this.memory.onRefused(REQUEST, 100 * MILLI, 0);
		this.memory.onEarlyServed(REQUEST);
		assertThat(this.memory.onRequest(REQUEST, 100 * MILLI)).isEqualTo(ReturnStatus.NEW);
	}

	/**
	 * Guards against callers that gain by coming early: they keep the time that they were
	 * told, and once it has passed, the new time alone counts.
	 */
	@Test
	void anEarlyReturnThatIsRefusedKeepsItsTimeUntilThatHasPassed() {
		this.memory.onRefused(REQUEST, 100 * MILLI, 0);
		assertThat(this.memory.onEarlyRefused(REQUEST, 50 * MILLI)).hasValue(100 * MILLI);
		assertThat(this.memory.onEarlyRefused(REQUEST, 110 * MILLI)).isEmpty();
		this.memory.onRefused(REQUEST, 300 * MILLI, 110 * MILLI);
		assertThat(this.memory.onRequest(REQUEST, 200 * MILLI)).isEqualTo(ReturnStatus.EARLY);
	}

	/** Guards against memory that grows with the number of refused callers. */
	@Test
	void refusalsAreBoundedByNumberAndAge() {
		IntStream.rangeClosed(0, ReturnMemory.MAX_REFUSALS)
			.forEach((request) -> this.memory.onRefused(request, MILLI, 0));
		assertThat(this.memory.onRequest(0, MILLI)).isEqualTo(ReturnStatus.NEW);
		assertThat(this.memory.onRequest(1, MILLI)).isEqualTo(ReturnStatus.ON_TIME);
		assertThat(this.memory.onRequest(2, ReturnMemory.MAX_AGE_NANOS + 1)).isEqualTo(ReturnStatus.NEW);
		assertThat(this.memory.isEmpty()).isTrue();
	}

}
