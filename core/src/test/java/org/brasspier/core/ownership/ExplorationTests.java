package org.brasspier.core.ownership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Explores every order of up to three starts and ends of faults (pauses, partitions, an
 * unreachable table, lost answers) within a span longer than any lease. The search is
 * breadth-first over all distinct states, and each path is followed until all times have
 * expired.
 */
class ExplorationTests {

	/**
	 * Number of steps in which faults start and end: longer than a lease and its
	 * revocation, plus the read before a lease manager is replaced.
	 */
	private static final int FAULT_STEPS = 15;

	/** Number of further steps, in which only consequences of the faults happen. */
	private static final int FOLLOWING_STEPS = 20;

	private static final int MAX_CHANGES = 3;

	// Guards against two servers that answer for one key at the same time. No order of
	// faults may cause this, however unlikely.
	@Test
	void noReachableStateHasTwoOwners() {
		SmallCell start = SmallCell.started(TestGuards.without());
		assertThat(start.allServed()).isTrue();
		Exploration exploration = new Exploration(start);
		assertThat(exploration.violation()).isEmpty();
		assertThat(exploration.states()).isGreaterThan(500_000);
	}

	@ParameterizedTest
	@EnumSource(names = { "RENEWALS_RUN_OUT", "PROMISE_OF_PEER", "OLD_AUTHORITY_ENDS" })
	void withoutTheGuardAStateWithTwoOwnersIsReached(Guard guard) {
		Exploration exploration = new Exploration(SmallCell.started(new EnabledGuards(Set.of(guard))));
		assertWithMessage("violation without %s", guard).that(exploration.violation()).isPresent();
	}

	/**
	 * A breadth-first search that stops at the first state with two owners.
	 */
	private static final class Exploration {

		private Optional<String> violation = Optional.empty();

		private long states;

		Exploration(SmallCell start) {
			Collection<FaultPath> frontier = List.of(new FaultPath(start, 0, List.of()));
			for (int step = 0; step < FAULT_STEPS + FOLLOWING_STEPS && this.violation.isEmpty(); step++) {
				frontier = expand(frontier, step < FAULT_STEPS);
				this.states += frontier.size();
			}
		}

		Optional<String> violation() {
			return this.violation;
		}

		long states() {
			return this.states;
		}

		private Collection<FaultPath> expand(Collection<FaultPath> frontier, boolean withFaults) {
			Map<List<Object>, FaultPath> reached = new LinkedHashMap<>();
			List<FaultPath> paths = frontier.parallelStream()
				.flatMap((path) -> path.successors(withFaults).stream())
				.map(FaultPath::step)
				.toList();
			for (FaultPath path : paths) {
				if (!path.cell().hasSingleOwners()) {
					this.violation = Optional.of(path.history().toString());
				}
				reached.merge(path.cell().state(), path,
						(first, second) -> (first.changes() <= second.changes()) ? first : second);
			}
			return reached.values();
		}

	}

	/**
	 * A path to a state.
	 *
	 * @param cell the state
	 * @param changes how many faults started or ended
	 * @param history which faults they were
	 */
	private record FaultPath(SmallCell cell, int changes, List<String> history) {

		List<FaultPath> successors(boolean withFaults) {
			List<FaultPath> successors = new ArrayList<>();
			successors.add(new FaultPath(this.cell.copy(), this.changes, this.history));
			if (withFaults && this.changes < MAX_CHANGES) {
				SmallCell.Fault.ALL.forEach((fault) -> successors.add(withToggled(fault)));
			}
			return successors;
		}

		private FaultPath withToggled(SmallCell.Fault fault) {
			SmallCell changed = this.cell.copy();
			changed.toggle(fault);
			List<String> extended = new ArrayList<>(this.history);
			extended.add(fault.toString());
			return new FaultPath(changed, this.changes + 1, extended);
		}

		FaultPath step() {
			this.cell.step();
			List<String> extended = new ArrayList<>(this.history);
			extended.add(".");
			return new FaultPath(this.cell, this.changes, extended);
		}

	}

}
