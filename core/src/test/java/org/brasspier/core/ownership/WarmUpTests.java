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
 * Tests the warm-up in a rolling replacement under load, in which the newest instance has
 * the least load when the next one leaves.
 */
class WarmUpTests {

	private static final MemberInfo SERVING = member("a", 0);

	private static final MemberInfo NEW_MEMBER = member("b", 0);

	private final WarmUp warmUp = new WarmUp();

	/**
	 * Guards against moving a third of all keys within a second to a process that started
	 * two seconds before, whose server announced no cold start.
	 */
	@Test
	void aNewProcessGetsItsShareGraduallyEvenIfItsServerAnnouncesNoColdStart() {
		this.warmUp.adopt(row(SERVING), 0);
		this.warmUp.adopt(row(SERVING, NEW_MEMBER), 1000);
		assertThat(this.warmUp.share(NEW_MEMBER, 1000)).isWithin(1e-9).of(0.1);
		assertThat(this.warmUp.share(NEW_MEMBER, 3000)).isWithin(1e-9).of(0.4);
		assertThat(this.warmUp.share(NEW_MEMBER, 6000)).isWithin(1e-9).of(1);
		assertThat(this.warmUp.share(SERVING, 1000)).isWithin(1e-9).of(1);
	}

	/**
	 * Guards against the same failure if the next replaced instance manages leases, so
	 * that an epoch starts while the process is new.
	 */
	@Test
	void aNewProcessStaysNewWhenAnEpochBegins() {
		this.warmUp.adopt(row(SERVING), 0);
		this.warmUp.adopt(row(SERVING, NEW_MEMBER), 1000);
		CellRow next = row(SERVING, NEW_MEMBER).nextEpoch(SERVING.key(), Optional.empty(), List.of());
		this.warmUp.adopt(next, 2000);
		assertThat(this.warmUp.share(NEW_MEMBER, 2000)).isWithin(1e-9).of(0.2);
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
		this.warmUp.adopt(row(NEW_MEMBER), 1000);
		this.warmUp.adopt(row(NEW_MEMBER, again), 9000);
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
