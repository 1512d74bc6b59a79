package org.brasspier.core.ownership;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Proves that each guard is needed: a sequence of faults causes no violation with all
 * guards enabled, and two owners of a range without the guard.
 */
class GuardTests {

	private static final int RANGES = 12;

	private static final Map<Guard, Scenario> SCENARIOS = Map.ofEntries(
			Map.entry(Guard.LEASE_FROM_SENDING, GuardTests::randomFaults),
			Map.entry(Guard.PROMISE_OF_PEER, GuardTests::randomFaults),
			Map.entry(Guard.RENEWALS_RUN_OUT, GuardTests::randomFaults),
			Map.entry(Guard.OLD_AUTHORITY_ENDS, GuardTests::primaryAndOneMemberCutOff),
			Map.entry(Guard.TOLD_AFTER_WRITTEN, GuardTests::randomFaults),
			Map.entry(Guard.RELEASED_FOR_GOOD, GuardTests::randomFaults),
			Map.entry(Guard.DRIFT_ALLOWED, GuardTests::randomFaults),
			Map.entry(Guard.RENEWAL_WITHIN_AUTHORITY, GuardTests::primaryAndOneMemberCutOff),
			Map.entry(Guard.OLD_PAIR_CLOSED, GuardTests::bothManagersAndOneMemberCutOff),
			Map.entry(Guard.STOP_CONFIRMING_FIRST, GuardTests::cutOffAfterReplacingThePeer),
			Map.entry(Guard.UNCONFIRMED_AFTER_REPLACING, GuardTests::cutOffAfterReplacingThePeer),
			Map.entry(Guard.MANAGER_RENEWED_BY_PEER, GuardTests::primaryHeardByNoManager));

	static Stream<Guard> guards() {
		return SCENARIOS.keySet().stream().sorted();
	}

	@ParameterizedTest
	@MethodSource("guards")
	void withAllGuardsOnThereIsOneOwner(Guard guard) {
		assertThat(SCENARIOS.get(guard).violations(TestGuards.without())).isEmpty();
	}

	@ParameterizedTest
	@MethodSource("guards")
	void withoutTheGuardARangeHasTwoOwners(Guard guard) {
		assertWithMessage("violations without %s", guard)
			.that(SCENARIOS.get(guard).violations(new EnabledGuards(Set.of(guard))))
			.isNotEmpty();
	}

	// Half a minute of faults of every kind, with the largest clock drift that is
	// allowed.
	private static List<String> randomFaults(EnabledGuards guards) {
		Timing standard = Timing.STANDARD;
		Timing timing = new Timing(standard.heartbeat(), standard.lease(), standard.memberSilence(), standard.beat(),
				standard.peerSilence(), standard.authority(), standard.withoutTable(), standard.challenge(), 100);
		List<String> violations = new ArrayList<>();
		for (long seed = 1; seed <= 25 && violations.isEmpty(); seed++) {
			CellModel cell = new CellModel(new CellModel.Setup(timing, guards, 4), seed);
			FaultSchedule faults = new FaultSchedule(cell, seed);
			faults.start();
			faults.run(30_000);
			violations.addAll(cell.violations);
		}
		return violations;
	}

	private static CellModel sixMembers(EnabledGuards guards, int seed) {
		CellModel cell = new CellModel(new CellModel.Setup(Timing.STANDARD, guards, RANGES), seed);
		List.of("a", "b", "c", "d", "e", "f").forEach((name) -> cell.start(name, "domain-" + name, 1000));
		cell.run(3000);
		cell.spreadRanges();
		return cell;
	}

	private static List<ModelProcess> nonManagers(CellModel cell) {
		ManagerPair pair = cell.storedRow.row().managers().orElseThrow();
		return cell.processes.values().stream().filter((process) -> pair.find(process.instance).isEmpty()).toList();
	}

	private static List<ModelProcess> otherProcesses(CellModel cell, List<ModelProcess> group) {
		return cell.processes.values().stream().filter((process) -> !group.contains(process)).toList();
	}

	// A network switch fails, and the primary and one member reach only each other. The
	// primary continues to renew the member for as long as its authority allows, while
	// the others replace the primary and reassign the member's ranges.
	private static List<String> primaryAndOneMemberCutOff(EnabledGuards guards) {
		List<String> violations = new ArrayList<>();
		for (int run = 1; run <= 10 && violations.isEmpty(); run++) {
			CellModel cell = sixMembers(guards, run);
			List<ModelProcess> cutOff = List.of(cell.primary(), nonManagers(cell).getLast());
			cell.run(17L * run);
			cell.partition(cutOff, otherProcesses(cell, cutOff));
			cell.run(5000);
			violations.addAll(cell.violations);
		}
		return violations;
	}

	// Both managers and one member are disconnected together. They can't distinguish this
	// from an outage of the table, so they continue. The other members take over.
	private static List<String> bothManagersAndOneMemberCutOff(EnabledGuards guards) {
		CellModel cell = sixMembers(guards, 1);
		List<ModelProcess> cutOff = List.of(cell.primary(), cell.secondary(), nonManagers(cell).getLast());
		cell.partition(cutOff, otherProcesses(cell, cutOff));
		cell.run(20_000);
		return cell.violations;
	}

	// The secondary does not hear the primary for a moment and replaces it. The write
	// takes effect, but at this moment both managers and a member are disconnected from
	// all others, so the answer is lost and the two managers hear each other again. The
	// member that the write made a manager finds its primary silent, replaces it in turn,
	// and waits for the former managers.
	private static List<String> cutOffAfterReplacingThePeer(EnabledGuards guards) {
		CellModel cell = sixMembers(guards, 1);
		ModelProcess primary = cell.primary();
		ModelProcess secondary = cell.secondary();
		List<ModelProcess> cutOff = List.of(primary, secondary, nonManagers(cell).getLast());
		String brokenLink = primary.instance + ">" + secondary.instance;
		long epoch = cell.storedRow.row().epoch();
		cell.brokenLinks.add(brokenLink);
		cell.lostWritesTakeEffect = true;
		cell.answersToLose = 1;
		cell.runUntil(5000, () -> cell.storedRow.row().epoch() > epoch);
		cell.brokenLinks.remove(brokenLink);
		cell.partition(cutOff, otherProcesses(cell, cutOff));
		cell.run(10_000);
		return cell.violations;
	}

	// The primary and the secondary no longer hear each other, and the primary does not
	// reach the table. The secondary replaces it and reassigns its ranges as soon as the
	// renewals that the secondary itself gave have expired.
	private static List<String> primaryHeardByNoManager(EnabledGuards guards) {
		List<String> violations = new ArrayList<>();
		for (int run = 1; run <= 20 && violations.isEmpty(); run++) {
			CellModel cell = sixMembers(guards, run);
			List<ModelProcess> cutOff = List.of(cell.primary());
			cell.run(11L * run);
			cell.partition(cutOff, otherProcesses(cell, cutOff));
			cell.run(3000);
			violations.addAll(cell.violations);
		}
		return violations;
	}

	private interface Scenario {

		List<String> violations(EnabledGuards guards);

	}

}
