package org.brasspier.core.choosing;

import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class SearchThrottleTests {

	private final SearchThrottle pace = new SearchThrottle();

	private long searches(int requests) {
		return IntStream.range(0, requests).filter((i) -> {
			boolean searches = this.pace.shouldSearch();
			if (searches) {
				this.pace.onNoSlotFound();
			}
			return searches;
		}).count();
	}

	@Test
	void searchesInVainBecomeRareButDoNotEnd() {
		searches(100);
		assertThat(searches(170)).isEqualTo(10);
	}

	@Test
	void searchesComeBackStepByStepOnceSlotsAreFree() {
		searches(100);
		int requests = 0;
		while (requests < 100 && !twoInTurnSearch()) {
			requests++;
		}
		assertThat(requests).isAtMost(32);
	}

	private boolean twoInTurnSearch() {
		boolean both = true;
		for (int i = 0; i < 2; i++) {
			boolean searches = this.pace.shouldSearch();
			if (searches) {
				this.pace.onSlotFound();
			}
			both &= searches;
		}
		return both;
	}

}
