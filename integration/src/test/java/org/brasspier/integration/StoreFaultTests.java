package org.brasspier.integration;

import java.util.List;

import org.brasspier.bench.demo.Managers;
import org.brasspier.standins.Await;
import org.brasspier.standins.CallerRecord;
import org.brasspier.standins.OwnedRange;
import org.brasspier.standins.PlatformFaults;
import org.brasspier.standins.StandInInstance;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class StoreFaultTests {

	private static Scene scene;

	@BeforeAll
	static void start() {
		scene = Scene.keyed(4);
	}

	@AfterAll
	static void stop() {
		scene.close();
	}

	@BeforeEach
	void send() {
		scene.traffic();
		scene.awaitAnswers();
	}

	@AfterEach
	void judge() {
		scene.assertPromisesKept();
	}

	// The platform's store goes down for many times the length of a lease. Tellers notice
	// nothing: the two lease managers go on confirming each other, and nothing moves.
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
		scene.deployment().platform().faults(PlatformFaults.losing(2));
		lost.kill();
		scene.awaitRecovered(ranges);
	}

	// The store is down, then a plain member is lost: its ranges can't move, callers of
	// just
	// these are turned away as not run. Once the store answers, others own them.
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

	// Not a lease manager: with the store down, the other one's authority would end, and
	// the cell would stop until the store answers, as docs/DESIGN.md says.
	private static StandInInstance plainMember() {
		Managers managers = Managers.await(scene.deployment());
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
