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

class StoreFaultTests extends AbstractSceneTests {

	// The platform's store goes down for many times the length of a lease. Tellers notice
	// nothing: the two lease managers go on confirming each other, and nothing moves.
	@Tag("known-red")
	@Test
	void ownersServeThroughAnOutageOfTheStore() {
		int before = scene.callers().records().size();
		scene.deployment().platform().faults(PlatformFaults.OUTAGE);
		for (int i = 0; i < 4; i++) {
			scene.awaitAnswers();
		}
		scene.deployment().platform().faults(PlatformFaults.NONE);
		assertThat(unanswered(before)).isEmpty();
	}

	// The store takes two seconds for each answer, far longer than a lease. Owners serve
	// on, since a lease is renewed without the store.
	@Test
	void ownersServeWhileTheStoreIsSlow() {
		int before = scene.callers().records().size();
		scene.deployment().platform().faults(PlatformFaults.slow(2000));
		for (int i = 0; i < 4; i++) {
			scene.awaitAnswers();
		}
		scene.deployment().platform().faults(PlatformFaults.NONE);
		assertThat(unanswered(before)).isEmpty();
	}

	// An instance is lost, and the write that moves its ranges takes effect while the
	// answer is lost. The manager reads the row back before it tells anybody; if it told
	// the old state or wrote again blindly, two servers would own the ranges.
	@Test
	void aMoveWhoseAnswerIsLostIsSettledBeforeItIsTold() {
		StandInInstance lost = scene.owner("a");
		List<OwnedRange> ranges = scene.deployment().ownedBy(lost);
		scene.deployment().platform().faults(PlatformFaults.losingAnswers(2));
		lost.kill();
		scene.awaitRecovered(ranges);
	}

	// The store is down, then a plain member is lost: its ranges can't move, callers of
	// just these are turned away as not run. Once the store answers, others own them.
	@Test
	void aLossDuringAnOutageCostsItsRangesUntilTheStoreAnswers() {
		StandInInstance lost = plainMember();
		List<OwnedRange> ranges = scene.deployment().ownedBy(lost);
		scene.deployment().platform().faults(PlatformFaults.OUTAGE);
		scene.awaitAnswers();
		lost.kill();
		scene.awaitAnswers();
		scene.deployment().platform().faults(PlatformFaults.NONE);
		scene.awaitRecovered(ranges);
	}

	// A plain member is lost, and the store goes down before the ranges have moved.
	@Test
	void anOutageRightAfterALossOnlyDelaysTheMove() {
		StandInInstance lost = plainMember();
		List<OwnedRange> ranges = scene.deployment().ownedBy(lost);
		lost.kill();
		scene.deployment().platform().faults(PlatformFaults.OUTAGE);
		scene.awaitAnswers();
		scene.deployment().platform().faults(PlatformFaults.NONE);
		scene.awaitRecovered(ranges);
	}

	// A lease manager is lost while the store is down. The other one can't replace it, so
	// its authority ends and the cell stops, as docs/DESIGN.md says. Once the store
	// answers, all is served again, and nothing that was in place is lost.
	@Test
	void aManagerLostDuringAnOutageStopsTheCellUntilTheStoreAnswers() {
		List<OwnedRange> ranges = scene.deployment().ownedBy(managers.secondary());
		scene.deployment().platform().faults(PlatformFaults.OUTAGE);
		scene.awaitAnswers();
		int before = scene.callers().records().size();
		managers.secondary().kill();
		Await.until("callers are turned away", () -> !unanswered(before).isEmpty());
		scene.deployment().platform().faults(PlatformFaults.NONE);
		scene.awaitRecovered(ranges);
	}

	// The same with a store that takes two seconds for each answer: it costs the cell as
	// long as the store takes, and no mending.
	@Test
	void aManagerLostWhileTheStoreIsSlowIsReplacedOnceTheStoreHasAnswered() {
		List<OwnedRange> ranges = scene.deployment().ownedBy(managers.primary());
		scene.deployment().platform().faults(PlatformFaults.slow(2000));
		scene.awaitAnswers();
		managers.primary().kill();
		scene.awaitRecovered(ranges);
	}

	// A member is lost, and the write that moves its ranges takes effect while its answer
	// is lost. Before the write is settled, a second member is lost, perhaps one that has
	// just been given ranges of the first. Neither the settling nor the second recovery
	// may undo the other.
	@Test
	void aSecondLossBeforeALostAnswerIsSettledLosesNothing() {
		StandInInstance first = scene.otherThan(managers.primary(), managers.secondary());
		StandInInstance second = scene.otherThan(managers.primary(), managers.secondary(), first);
		List<OwnedRange> ranges = scene.deployment().ownedBy(first);
		List<OwnedRange> more = scene.deployment().ownedBy(second);
		scene.deployment().platform().faults(PlatformFaults.losingAnswers(1));
		first.kill();
		Await.until("the answer is lost", () -> scene.deployment().platform().faults().lostAnswers() == 0);
		second.kill();
		scene.awaitRecovered(ranges);
		scene.awaitRecovered(more);
	}

	// While the store is down a server stands still for a moment, as in a long garbage
	// collection. Its daemon gave the ranges up at once, nobody could be given them, and
	// it might not take them back: callers of a server that was well again were turned
	// away for as long as the store was down.
	@Tag("known-red")
	@Test
	void aServerThatStoodStillDuringAnOutageServesOnBeforeTheStoreAnswers() {
		StandInInstance still = plainMember();
		List<OwnedRange> ranges = scene.deployment().ownedBy(still);
		scene.deployment().platform().faults(PlatformFaults.OUTAGE);
		scene.awaitAnswers();
		int before = scene.callers().records().size();
		still.server().pause();
		Await.until("callers are turned away", () -> !unanswered(before).isEmpty());
		still.server().resume();
		scene.awaitRecovered(ranges);
	}

	// Not a lease manager: with the store down, the other one's authority would end, and
	// the cell would stop until the store answers, as docs/DESIGN.md says.
	private static StandInInstance plainMember() {
		StandInInstance plain = scene.otherThan(managers.primary(), managers.secondary());
		// It may be the one that the test before has lost, and just be coming back.
		Await.until(plain.name() + " owns ranges", () -> !scene.deployment().ownedBy(plain).isEmpty());
		return plain;
	}

	private static List<CallerRecord> unanswered(int from) {
		Await.until("requests have ended", () -> scene.callers().records().size() > from);
		List<CallerRecord> records = scene.callers().records();
		return records.subList(from, records.size())
			.stream()
			.filter((done) -> done.outcome() != CallerRecord.Outcome.ANSWERED)
			.toList();
	}

}
