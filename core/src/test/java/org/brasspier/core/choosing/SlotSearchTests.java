package org.brasspier.core.choosing;

import java.time.Duration;

import org.brasspier.core.InstanceId;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class SlotSearchTests {

	private static final InstanceId FIRST = new InstanceId("first");

	private static final InstanceId SECOND = new InstanceId("second");

	private final SlotSearch search = new SlotSearch(true);

	@Test
	void requestWaitsAtTheShortestQueueAfterTwoFullServers() {
		this.search.onFull(FIRST, Duration.ofMillis(90));
		assertThat(this.search.mayWait()).isFalse();
		this.search.onFull(SECOND, Duration.ofMillis(40));
		assertThat(this.search.mayWait()).isTrue();
		assertThat(this.search.takeShortestWait()).hasValue(SECOND);
		assertThat(this.search.takeShortestWait()).hasValue(FIRST);
		assertThat(this.search.takeShortestWait()).isEmpty();
	}

	// Guards against a search that restarts after the server with the shortest wait has
	// refused the request, and contacts one server after the other.
	@Test
	void searchDoesNotRestart() {
		this.search.onFull(FIRST, Duration.ofMillis(90));
		this.search.takeShortestWait();
		assertThat(this.search.mayWait()).isTrue();
	}

	@Test
	void requestWaitsAtOnceAtTheOnlyServer() {
		assertThat(this.search.takeShortestWait()).isEmpty();
		assertThat(this.search.mayWait()).isTrue();
	}

	@Test
	void requestWithoutSearchMayWaitAtOnce() {
		SlotSearch none = new SlotSearch(false);
		assertThat(none.mayWait()).isTrue();
		assertThat(none.takeShortestWait()).isEmpty();
	}

}
