package org.brasspier.core.mesh;

import java.util.List;
import java.util.stream.IntStream;

import org.brasspier.core.FailureDomain;
import org.brasspier.core.InstanceId;
import org.brasspier.core.mesh.ReaderChoice.Candidate;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class ReaderChoiceTests {

	private static final List<Candidate> TWELVE = IntStream.range(0, 12)
		.mapToObj((i) -> new Candidate(new InstanceId("instance-" + i), new FailureDomain("domain-" + i % 4)))
		.toList();

	private static Candidate candidate(InstanceId instance) {
		return TWELVE.stream().filter((each) -> each.instance().equals(instance)).findFirst().orElseThrow();
	}

	@Test
	void allDaemonsChooseTheSameReaderOfEachFailureDomain() {
		List<List<InstanceId>> choices = TWELVE.stream()
			.map((self) -> ReaderChoice.of(self, TWELVE).readers())
			.distinct()
			.toList();
		assertThat(choices).hasSize(1);
		assertThat(choices.get(0).stream().map((reader) -> candidate(reader).domain()).distinct().toList()).hasSize(4);
	}

	@Test
	void aDaemonFollowsTheReaderOfItsOwnFailureDomain() {
		TWELVE.stream()
			.map((self) -> ReaderChoice.of(self, TWELVE))
			.filter((choice) -> !choice.isReader())
			.forEach((choice) -> assertThat(choice.followed()).hasSize(1));
		Candidate self = TWELVE.stream().filter((each) -> !ReaderChoice.of(each, TWELVE).isReader()).findFirst().get();
		InstanceId followed = ReaderChoice.of(self, TWELVE).followed().get(0);
		assertThat(candidate(followed).domain()).isEqualTo(self.domain());
	}

	/**
	 * Guards against a reader whose own calls to the store hang while no other daemon
	 * sends it updates.
	 */
	@Test
	void eachReaderFollowsTwoOthers() {
		TWELVE.stream()
			.map((self) -> ReaderChoice.of(self, TWELVE))
			.filter(ReaderChoice::isReader)
			.forEach((choice) -> {
				assertThat(choice.followed()).hasSize(2);
				assertThat(choice.followed()).doesNotContain(choice.readers().get(choice.position()));
			});
	}

	/**
	 * Guards against a deployment with one failure domain in which no other daemon tells
	 * the only reader that the store has gone silent.
	 */
	@Test
	void oneFailureDomainHasTwoReaders() {
		List<Candidate> sameDomain = TWELVE.stream()
			.map((each) -> new Candidate(each.instance(), new FailureDomain("only")))
			.toList();
		assertThat(ReaderChoice.of(sameDomain.get(0), sameDomain).readers()).hasSize(2);
	}

	// Guards against a reader whose narrow link is busy with rows for all daemons of its
	// failure domain, so that requests to it and from it fail.
	@Test
	void theDaemonWithTheWidestLinkOfAFailureDomainIsTheReader() {
		List<Candidate> mixed = TWELVE.stream()
			.map((each) -> new Candidate(each.instance(), each.domain(),
					each.instance().value().endsWith("1") ? 200 : 10))
			.toList();
		InstanceId wide = new InstanceId("instance-1");
		InstanceId otherWide = new InstanceId("instance-11");
		mixed.forEach((self) -> assertThat(ReaderChoice.of(self, mixed).readers()).containsAtLeast(wide, otherWide));
	}

	@Test
	void aDaemonThatKnowsNoOtherIsTheOnlyReader() {
		ReaderChoice choice = ReaderChoice.of(TWELVE.get(0), List.of());
		assertThat(choice.isReader()).isTrue();
		assertThat(choice.followed()).isEmpty();
	}

	@Test
	void aReaderThatCannotBeReachedIsReplacedByTheNextOfItsFailureDomain() {
		Candidate self = TWELVE.stream().filter((each) -> !ReaderChoice.of(each, TWELVE).isReader()).findFirst().get();
		InstanceId lost = ReaderChoice.of(self, TWELVE).followed().get(0);
		List<Candidate> reachable = TWELVE.stream().filter((each) -> !each.instance().equals(lost)).toList();
		ReaderChoice next = ReaderChoice.of(self, reachable);
		assertThat(next.readers()).doesNotContain(lost);
		assertThat(next.readers()).hasSize(4);
	}

}
