package org.brasspier.integration;

import java.util.List;

import org.brasspier.standins.LinkState;
import org.brasspier.standins.OwnedRange;
import org.brasspier.standins.StandInInstance;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static com.google.common.truth.Truth.assertThat;

class PartitionTests extends AbstractFaultTests {

	// A member does not reach one of the two lease managers. The other one goes on
	// renewing its lease, so nothing moves and callers notice nothing.
	@ParameterizedTest
	@EnumSource(names = { "RESET", "HELD", "HELD_FORTH", "HELD_BACK" })
	void aMemberCutOffFromOneManagerKeepsItsRanges(LinkState state) {
		StandInInstance member = testDeployment.instanceOtherThan(managers.primary(), managers.secondary());
		List<OwnedRange> ranges = testDeployment.deployment().ownedBy(member);
		testDeployment.deployment().setLinksBetween(member, managers.primary(), state);
		testDeployment.awaitMoreAnswers();
		testDeployment.awaitMoreAnswers();
		assertThat(testDeployment.deployment().ownedBy(member)).containsAtLeastElementsIn(ranges);
	}

	// A member reaches neither manager, but its callers and the store. Its lease runs
	// out, it stops by its own clock, and others serve its ranges.
	@ParameterizedTest
	@EnumSource(names = { "RESET", "HELD", "HELD_FORTH", "HELD_BACK" })
	void aMemberCutOffFromBothManagersStopsServingBeforeOthersStart(LinkState state) {
		StandInInstance member = testDeployment.instanceOtherThan(managers.primary(), managers.secondary());
		List<OwnedRange> ranges = testDeployment.deployment().ownedBy(member);
		testDeployment.deployment().setLinksBetween(member, managers.primary(), state);
		testDeployment.deployment().setLinksBetween(member, managers.secondary(), state);
		testDeployment.awaitRecovered(ranges);
	}

	// A manager is cut off from everybody but its callers. It knows that its authority
	// ends, renews nobody, and the other one replaces it.
	@ParameterizedTest
	@EnumSource(names = { "RESET", "HELD" })
	void aPrimaryCutOffFromAllIsReplaced(LinkState state) {
		List<OwnedRange> ranges = testDeployment.deployment().ownedBy(managers.primary());
		testDeployment.deployment().setPeerLinks(managers.primary(), state);
		testDeployment.deployment().setStoreLink(managers.primary(), state);
		testDeployment.awaitRecovered(ranges);
	}

	// The two managers don't reach each other, but everybody else. One of them replaces
	// the other by a write; until then neither may move anything on its own word.
	@Test
	void managersCutOffFromEachOtherDoNotBothMoveRanges() {
		testDeployment.deployment().setLinksBetween(managers.primary(), managers.secondary(), LinkState.HELD);
		testDeployment.awaitMoreAnswers();
		testDeployment.awaitMoreAnswers();
	}

	// One failure domain is cut off from the rest and from the store. What it owns is
	// served by the rest.
	@Test
	void aFailureDomainCutOffFromTheRestIsServedByTheRest() {
		StandInInstance isolated = testDeployment.owner("a");
		List<OwnedRange> ranges = testDeployment.deployment().ownedBy(isolated);
		testDeployment.deployment().setPeerLinks(isolated, LinkState.HELD);
		testDeployment.deployment().setStoreLink(isolated, LinkState.HELD);
		testDeployment.awaitRecovered(ranges);
	}

	// A member does not reach the store, but its managers: its lease does not hang on the
	// store.
	@Test
	void aMemberCutOffFromTheStoreKeepsItsRanges() {
		StandInInstance member = testDeployment.instanceOtherThan(managers.primary(), managers.secondary());
		List<OwnedRange> ranges = testDeployment.deployment().ownedBy(member);
		testDeployment.deployment().setStoreLink(member, LinkState.HELD);
		testDeployment.awaitMoreAnswers();
		testDeployment.awaitMoreAnswers();
		assertThat(testDeployment.deployment().ownedBy(member)).containsAtLeastElementsIn(ranges);
	}

}
