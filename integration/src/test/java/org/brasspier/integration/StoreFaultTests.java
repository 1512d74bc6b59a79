package org.brasspier.integration;

import java.util.List;

import org.brasspier.standins.Await;
import org.brasspier.standins.CallerRecord;
import org.brasspier.standins.OwnedRange;
import org.brasspier.standins.PlatformFaults;
import org.brasspier.standins.StandInInstance;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class StoreFaultTests extends AbstractFaultTests {

	// The platform's store goes down for many times the length of a lease. Tellers notice
	// nothing: the two lease managers go on confirming each other, and nothing moves.
	@Tag("known-red")
	@Test
	void ownersServeThroughAnOutageOfTheStore() {
		int recordsBefore = testDeployment.callers().records().size();
		testDeployment.deployment().platform().faults(PlatformFaults.OUTAGE);
		for (int i = 0; i < 4; i++) {
			testDeployment.awaitMoreAnswers();
		}
		testDeployment.deployment().platform().faults(PlatformFaults.NONE);
		assertThat(unanswered(recordsBefore)).isEmpty();
	}

	// The store takes two seconds for each answer, far longer than a lease. Owners serve
	// on, since a lease is renewed without the store.
	@Test
	void ownersServeWhileTheStoreIsSlow() {
		int recordsBefore = testDeployment.callers().records().size();
		testDeployment.deployment().platform().faults(PlatformFaults.slow(2000));
		for (int i = 0; i < 4; i++) {
			testDeployment.awaitMoreAnswers();
		}
		testDeployment.deployment().platform().faults(PlatformFaults.NONE);
		assertThat(unanswered(recordsBefore)).isEmpty();
	}

	// An instance is lost, and the write that moves its ranges takes effect while the
	// answer is lost. The manager reads the row back before it tells anybody; if it told
	// the old state or wrote again blindly, two servers would own the ranges.
	@Test
	void aMoveWhoseAnswerIsLostIsResolvedBeforeItIsAnnounced() {
		StandInInstance lost = testDeployment.owner("a");
		List<OwnedRange> ranges = testDeployment.deployment().ownedBy(lost);
		testDeployment.deployment().platform().faults(PlatformFaults.losingAnswers(2));
		lost.kill();
		testDeployment.awaitRecovered(ranges);
	}

	// The store is down, then a plain member is lost: its ranges can't move, callers of
	// just these are turned away as not run. Once the store answers, others own them.
	@Test
	void rangesLostDuringAnOutageAreUnavailableUntilTheStoreAnswers() {
		StandInInstance lost = memberThatIsNotManager();
		List<OwnedRange> ranges = testDeployment.deployment().ownedBy(lost);
		testDeployment.deployment().platform().faults(PlatformFaults.OUTAGE);
		testDeployment.awaitMoreAnswers();
		lost.kill();
		testDeployment.awaitMoreAnswers();
		testDeployment.deployment().platform().faults(PlatformFaults.NONE);
		testDeployment.awaitRecovered(ranges);
	}

	// A plain member is lost, and the store goes down before the ranges have moved.
	@Test
	void anOutageRightAfterALossOnlyDelaysTheMove() {
		StandInInstance lost = memberThatIsNotManager();
		List<OwnedRange> ranges = testDeployment.deployment().ownedBy(lost);
		lost.kill();
		testDeployment.deployment().platform().faults(PlatformFaults.OUTAGE);
		testDeployment.awaitMoreAnswers();
		testDeployment.deployment().platform().faults(PlatformFaults.NONE);
		testDeployment.awaitRecovered(ranges);
	}

	// A lease manager is lost while the store is down. The other one can't replace it, so
	// its authority ends and the cell stops, as docs/DESIGN.md says. Once the store
	// answers, all is served again, and nothing that was in place is lost.
	@Test
	void aManagerLostDuringAnOutageStopsTheCellUntilTheStoreAnswers() {
		List<OwnedRange> ranges = testDeployment.deployment().ownedBy(managers.secondary());
		testDeployment.deployment().platform().faults(PlatformFaults.OUTAGE);
		testDeployment.awaitMoreAnswers();
		int recordsBefore = testDeployment.callers().records().size();
		managers.secondary().kill();
		Await.until("callers are turned away", () -> !unanswered(recordsBefore).isEmpty());
		testDeployment.deployment().platform().faults(PlatformFaults.NONE);
		testDeployment.awaitRecovered(ranges);
	}

	// The same with a store that takes two seconds for each answer: it costs the cell as
	// long as the store takes, and no mending.
	@Test
	void aManagerLostWhileTheStoreIsSlowIsReplacedOnceTheStoreHasAnswered() {
		List<OwnedRange> ranges = testDeployment.deployment().ownedBy(managers.primary());
		testDeployment.deployment().platform().faults(PlatformFaults.slow(2000));
		testDeployment.awaitMoreAnswers();
		managers.primary().kill();
		testDeployment.awaitRecovered(ranges);
	}

	// A member is lost, and the write that moves its ranges takes effect while its answer
	// is lost. Before the write is settled, a second member is lost, perhaps one that has
	// just been given ranges of the first. Neither the settling nor the second recovery
	// may undo the other.
	@Test
	void aSecondLossBeforeALostAnswerIsResolvedLosesNoRange() {
		StandInInstance first = testDeployment.instanceOtherThan(managers.primary(), managers.secondary());
		StandInInstance second = testDeployment.instanceOtherThan(managers.primary(), managers.secondary(), first);
		List<OwnedRange> ranges = testDeployment.deployment().ownedBy(first);
		List<OwnedRange> rangesOfSecond = testDeployment.deployment().ownedBy(second);
		testDeployment.deployment().platform().faults(PlatformFaults.losingAnswers(1));
		first.kill();
		Await.until("the answer is lost", () -> testDeployment.deployment().platform().faults().lostAnswers() == 0);
		second.kill();
		testDeployment.awaitRecovered(ranges);
		testDeployment.awaitRecovered(rangesOfSecond);
	}

	// While the store is down a server stands still for a moment, as in a long garbage
	// collection. Its daemon gave the ranges up at once, nobody could be given them, and
	// it might not take them back: callers of a server that was well again were turned
	// away for as long as the store was down.
	@Tag("known-red")
	@Test
	void aServerPausedDuringAnOutageServesAgainBeforeTheStoreAnswers() {
		StandInInstance paused = memberThatIsNotManager();
		List<OwnedRange> ranges = testDeployment.deployment().ownedBy(paused);
		testDeployment.deployment().platform().faults(PlatformFaults.OUTAGE);
		testDeployment.awaitMoreAnswers();
		int recordsBefore = testDeployment.callers().records().size();
		paused.server().pause();
		Await.until("callers are turned away", () -> !unanswered(recordsBefore).isEmpty());
		paused.server().resume();
		testDeployment.awaitRecovered(ranges);
	}

	// Not a lease manager: with the store down, the other one's authority would end, and
	// the cell would stop until the store answers, as docs/DESIGN.md says.
	private static StandInInstance memberThatIsNotManager() {
		StandInInstance member = testDeployment.instanceOtherThan(managers.primary(), managers.secondary());
		// It may be the one that the test before has lost, and just be coming back.
		Await.until(member.name() + " owns ranges", () -> !testDeployment.deployment().ownedBy(member).isEmpty());
		return member;
	}

	private static List<CallerRecord> unanswered(int firstIndex) {
		Await.until("requests have ended", () -> testDeployment.callers().records().size() > firstIndex);
		List<CallerRecord> records = testDeployment.callers().records();
		return records.subList(firstIndex, records.size())
			.stream()
			.filter((done) -> done.outcome() != CallerRecord.Outcome.ANSWERED)
			.toList();
	}

}
