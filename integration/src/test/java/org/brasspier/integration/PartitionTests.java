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

	// A member cannot reach one of the two lease managers. The other manager keeps
	// renewing its lease, so no range moves and callers are not affected.
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

	// A member reaches neither manager, but still its callers and the store. When its
	// lease expires, it stops serving by its own clock and other members serve its
	// ranges.
	@ParameterizedTest
	@EnumSource(names = { "RESET", "HELD", "HELD_FORTH", "HELD_BACK" })
	void aMemberCutOffFromBothManagersStopsServingBeforeOthersStart(LinkState state) {
		StandInInstance member = testDeployment.instanceOtherThan(managers.primary(), managers.secondary());
		List<OwnedRange> ranges = testDeployment.deployment().ownedBy(member);
		testDeployment.deployment().setLinksBetween(member, managers.primary(), state);
		testDeployment.deployment().setLinksBetween(member, managers.secondary(), state);
		testDeployment.awaitRecovered(ranges);
	}

	// The primary is cut off from all other daemons and the store, but not from its
	// callers. It detects that its authority expires and renews no leases, and the
	// secondary replaces it.
	@ParameterizedTest
	@EnumSource(names = { "RESET", "HELD" })
	void aPrimaryCutOffFromAllIsReplaced(LinkState state) {
		List<OwnedRange> ranges = testDeployment.deployment().ownedBy(managers.primary());
		testDeployment.deployment().setPeerLinks(managers.primary(), state);
		testDeployment.deployment().setStoreLink(managers.primary(), state);
		testDeployment.awaitRecovered(ranges);
	}

	// The two managers cannot reach each other, but can reach all other daemons. One of
	// them replaces the other by a write to the store; until then neither may move a
	// range on its own authority.
	@Test
	void managersCutOffFromEachOtherDoNotBothMoveRanges() {
		testDeployment.deployment().setLinksBetween(managers.primary(), managers.secondary(), LinkState.HELD);
		testDeployment.awaitMoreAnswers();
		testDeployment.awaitMoreAnswers();
	}

	// One failure domain is cut off from the other domains and from the store. The ranges
	// it owns are served by the others.
	@Test
	void aFailureDomainCutOffFromTheRestIsServedByTheRest() {
		StandInInstance isolated = testDeployment.owner("a");
		List<OwnedRange> ranges = testDeployment.deployment().ownedBy(isolated);
		testDeployment.deployment().setPeerLinks(isolated, LinkState.HELD);
		testDeployment.deployment().setStoreLink(isolated, LinkState.HELD);
		testDeployment.awaitRecovered(ranges);
	}

	// A member cannot reach the store, but reaches the managers. It keeps its ranges,
	// since renewing its lease does not depend on the store.
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
