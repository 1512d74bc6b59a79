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

	// The store of the platform is down for many times the length of a lease. Callers are
	// not affected: the two lease managers keep confirming each other, and no range
	// moves.
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

	// The store takes two seconds for each answer, far longer than a lease. Owners keep
	// serving, since a lease is renewed without the store.
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

	// An instance is lost, and the write that moves its ranges takes effect while its
	// answer is lost. The manager reads the row back before it announces the result; if
	// it announced the old state or repeated the write unconditionally, two servers would
	// own the ranges.
	@Test
	void aMoveWhoseAnswerIsLostIsResolvedBeforeItIsAnnounced() {
		StandInInstance lost = testDeployment.owner("a");
		List<OwnedRange> ranges = testDeployment.deployment().ownedBy(lost);
		testDeployment.deployment().platform().faults(PlatformFaults.losingAnswers(2));
		lost.kill();
		testDeployment.awaitRecovered(ranges);
	}

	// The store is down, then a plain member is lost: its ranges cannot move, and only
	// callers of these ranges are refused, with their requests reported as not run. Once
	// the store answers, other members own the ranges.
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

	// A lease manager is lost while the store is down. The other manager cannot replace
	// it, so its authority expires and the cell stops, as docs/DESIGN.md specifies. Once
	// the store answers, all ranges are served again and no existing state is lost.
	@Test
	void aManagerLostDuringAnOutageStopsTheCellUntilTheStoreAnswers() {
		List<OwnedRange> ranges = testDeployment.deployment().ownedBy(managers.secondary());
		testDeployment.deployment().platform().faults(PlatformFaults.OUTAGE);
		testDeployment.awaitMoreAnswers();
		int recordsBefore = testDeployment.callers().records().size();
		managers.secondary().kill();
		Await.until("callers are refused", () -> !unanswered(recordsBefore).isEmpty());
		testDeployment.deployment().platform().faults(PlatformFaults.NONE);
		testDeployment.awaitRecovered(ranges);
	}

	// The same with a store that takes two seconds for each answer: the cell is
	// unavailable for as long as the store takes, and recovers without manual repair.
	@Test
	void aManagerLostWhileTheStoreIsSlowIsReplacedOnceTheStoreHasAnswered() {
		List<OwnedRange> ranges = testDeployment.deployment().ownedBy(managers.primary());
		testDeployment.deployment().platform().faults(PlatformFaults.slow(2000));
		testDeployment.awaitMoreAnswers();
		managers.primary().kill();
		testDeployment.awaitRecovered(ranges);
	}

	// A member is lost, and the write that moves its ranges takes effect while its answer
	// is lost. Before the outcome of the write is known, a second member is lost,
	// possibly one that has just received ranges of the first. Neither resolving the
	// write nor the second recovery may undo the other.
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

	// While the store is down, a server is paused for a moment, as by a long garbage
	// collection. The server must serve again before the store answers. Guards against a
	// daemon that releases the ranges immediately: with the store down they can neither
	// be assigned to another instance nor taken back, so callers of a server that is
	// healthy again are refused until the store answers.
	@Tag("known-red")
	@Test
	void aServerPausedDuringAnOutageServesAgainBeforeTheStoreAnswers() {
		StandInInstance paused = memberThatIsNotManager();
		List<OwnedRange> ranges = testDeployment.deployment().ownedBy(paused);
		testDeployment.deployment().platform().faults(PlatformFaults.OUTAGE);
		testDeployment.awaitMoreAnswers();
		int recordsBefore = testDeployment.callers().records().size();
		paused.server().pause();
		Await.until("callers are refused", () -> !unanswered(recordsBefore).isEmpty());
		paused.server().resume();
		testDeployment.awaitRecovered(ranges);
	}

	// Not a lease manager: with the store down, the authority of the other manager would
	// expire, and the cell would stop until the store answers, as docs/DESIGN.md
	// specifies.
	private static StandInInstance memberThatIsNotManager() {
		StandInInstance member = testDeployment.instanceOtherThan(managers.primary(), managers.secondary());
		// The previous test may have stopped this member, which may still be rejoining.
		Await.until(member.name() + " owns ranges", () -> !testDeployment.deployment().ownedBy(member).isEmpty());
		return member;
	}

	private static List<CallerRecord> unanswered(int firstIndex) {
		Await.until("a request has completed", () -> testDeployment.callers().records().size() > firstIndex);
		List<CallerRecord> records = testDeployment.callers().records();
		return records.subList(firstIndex, records.size())
			.stream()
			.filter((done) -> done.outcome() != CallerRecord.Outcome.ANSWERED)
			.toList();
	}

}
