package org.brasspier.core.ownership;

import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;

import org.brasspier.core.FailureDomain;
import org.brasspier.core.Fence;
import org.brasspier.core.InstanceId;
import org.brasspier.core.KeyRange;
import org.brasspier.core.routing.PeerAddress;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Load pattern: instances are replaced one after the other under load, so the one that
 * has just come is the emptiest when the next one leaves.
 */
class WarmUpTests {

	private static final MemberInfo SERVING = member("a", 0);

	private static final MemberInfo NEWCOMER = member("b", 0);

	private final WarmUp warmUp = new WarmUp();

	/**
	 * Guards against a third of all keys going within a second to a process that had
	 * begun two seconds before: its server announced no cold start.
	 */
	@Test
	void aNewProcessGetsItsShareStepByStepThoughItsServerAnnouncesNoColdStart() {
		this.warmUp.adopt(row(SERVING), 0);
		this.warmUp.adopt(row(SERVING, NEWCOMER), 1000);
		assertThat(this.warmUp.share(NEWCOMER, 1000)).isWithin(1e-9).of(0.1);
		assertThat(this.warmUp.share(NEWCOMER, 3000)).isWithin(1e-9).of(0.4);
		assertThat(this.warmUp.share(NEWCOMER, 6000)).isWithin(1e-9).of(1);
		assertThat(this.warmUp.share(SERVING, 1000)).isWithin(1e-9).of(1);
	}

	/**
	 * Guards against the same where the instance that is replaced next manages leases, so
	 * that an epoch begins while the newcomer is new.
	 */
	@Test
	void aNewProcessStaysNewWhenAnEpochBegins() {
		this.warmUp.adopt(row(SERVING), 0);
		this.warmUp.adopt(row(SERVING, NEWCOMER), 1000);
		CellRow next = row(SERVING, NEWCOMER).nextEpoch(SERVING.key(), Optional.empty(), List.of());
		this.warmUp.adopt(next, 2000);
		assertThat(this.warmUp.share(NEWCOMER, 2000)).isWithin(1e-9).of(0.2);
	}

	@Test
	void aLongerColdStartThatAServerAnnouncesCounts() {
		MemberInfo slow = member("c", 20_000);
		this.warmUp.adopt(row(SERVING), 0);
		this.warmUp.adopt(row(SERVING, slow), 1000);
		assertThat(this.warmUp.share(slow, 11_000)).isWithin(1e-9).of(0.5);
	}

	@Test
	void aProcessThatStartsAgainIsNewAgain() {
		this.warmUp.adopt(row(SERVING), 0);
		MemberInfo again = new MemberInfo(new MemberKey(SERVING.instance(), 2), SERVING.domain(), SERVING.address(),
				MemberPhase.ACTIVE, SERVING.backend());
		this.warmUp.adopt(row(NEWCOMER), 1000);
		this.warmUp.adopt(row(NEWCOMER, again), 9000);
		assertThat(this.warmUp.share(again, 9000)).isWithin(1e-9).of(0.1);
	}

	private static MemberInfo member(String name, int coldStartMillis) {
		return new MemberInfo(new MemberKey(new InstanceId(name), 1), new FailureDomain("x"),
				new PeerAddress("127.0.0.1", 1, 2, 3, 4), MemberPhase.ACTIVE,
				Optional.of(new MemberInfo.Backend(ModelProcess.SERVICE, 8, true, coldStartMillis, 0)));
	}

	// Each member owns a range.
	private static CellRow row(MemberInfo... members) {
		List<KeyRange> parts = KeyRange.split(members.length);
		List<RangeState> ranges = IntStream.range(0, members.length)
			.mapToObj((i) -> new RangeState(ModelProcess.SERVICE, parts.get(i), Optional.of(members[i].instance()),
					Fence.NONE, List.of()))
			.toList();
		return CellRow.EMPTY.withMembers(List.of(members)).withRanges(ranges);
	}

}
