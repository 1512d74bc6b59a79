package org.brasspier.core.choosing;

import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class SearchThrottleTests {

	private final SearchThrottle throttle = new SearchThrottle();

	private long searches(int requests) {
		return IntStream.range(0, requests).filter((i) -> {
			boolean searches = this.throttle.shouldSearch();
			if (searches) {
				this.throttle.onNoSlotFound();
			}
			return searches;
		}).count();
	}

	@Test
	void failedSearchesBecomeRareButDoNotStop() {
		searches(100);
		assertThat(searches(170)).isEqualTo(10);
	}

	@Test
	void searchesResumeGraduallyWhenSlotsAreFree() {
		searches(100);
		int requests = 0;
		while (requests < 100 && !twoConsecutiveRequestsSearch()) {
			requests++;
		}
		assertThat(requests).isAtMost(32);
	}

	private boolean twoConsecutiveRequestsSearch() {
		boolean both = true;
		for (int i = 0; i < 2; i++) {
			boolean searches = this.throttle.shouldSearch();
			if (searches) {
				this.throttle.onSlotFound();
			}
			both &= searches;
		}
		return both;
	}

}
