package org.brasspier.integration;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;

import org.brasspier.standins.Await;
import org.brasspier.standins.CallerFleet;
import org.brasspier.standins.CallerRecord;
import org.brasspier.standins.LinkState;
import org.brasspier.standins.OwnedRange;
import org.brasspier.standins.ServerRecord;
import org.brasspier.standins.ServiceShape;
import org.brasspier.standins.StandInInstance;
import org.brasspier.standins.StandInRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

class AtMostOnceTests {

	private TestDeployment testDeployment;

	@BeforeEach
	void start() {
		this.testDeployment = TestDeployment.start(
				new ServiceShape(TestDeployment.SHARDED_SERVICE, true, 3, 8, 60, true),
				new ServiceShape(TestDeployment.UNSHARDED_SERVICE, false, 2, 8, 60, false));
	}

	@AfterEach
	void verify() {
		this.testDeployment.assertNoViolations();
		this.testDeployment.close();
	}

	// A caller sends a posting, loses the connection, and sends the posting again to
	// another daemon while the first may still be running. The posting must run once, and
	// each repetition gets the same answer.
	@Tag("known-red")
	@Test
	void aPostingSentToAllDaemonsAtOnceRunsOnce() {
		assertRunsOnceSentToAllDaemons(TestDeployment.SHARDED_SERVICE, "a");
	}

	// The same for a service that is not divided by key.
	@Test
	void aPostingWithoutAKeySentToAllDaemonsAtOnceRunsOnce() {
		assertRunsOnceSentToAllDaemons(TestDeployment.UNSHARDED_SERVICE, "");
	}

	private void assertRunsOnceSentToAllDaemons(String service, String key) {
		List<CompletableFuture<CallerRecord>> postings = IntStream.range(0, 6)
			.mapToObj((i) -> this.testDeployment
				.callAsync(StandInRequest.posting(service, key, "once-" + service).withWaitMillis(8000)))
			.toList();
		postings.forEach(CompletableFuture::join);
		assertThat(postings.stream().map((record) -> record.join().outcome()).toList())
			.contains(CallerRecord.Outcome.ANSWERED);
		assertThat(effectCount("once-" + service)).isEqualTo(1);
	}

	// A posting takes effect and its answer is lost. By the time the caller sends it
	// again, its owner has been killed and another instance owns the key. The new owner
	// cannot know whether the posting ran and must not run it a second time.
	@Tag("known-red")
	@ParameterizedTest
	@ValueSource(strings = { TestDeployment.SHARDED_SERVICE, TestDeployment.UNSHARDED_SERVICE })
	void aPostingWhoseAnswerWasLostIsNotRunByTheNextOwner(String service) {
		String key = (service.equals(TestDeployment.SHARDED_SERVICE)) ? "a" : "";
		StandInInstance owner = ownerOf(service, key);
		List<OwnedRange> ranges = this.testDeployment.deployment().ownedBy(owner);
		try (CallerFleet fleetLosingAnswers = new CallerFleet(this.testDeployment.deployment().callerAddresses())) {
			CompletableFuture<CallerRecord> posting = fleetLosingAnswers
				.call(StandInRequest.posting(service, key, "lost-" + service)
					.withPath("/post?work=300")
					.withWaitMillis(15_000));
			Await.until("the posting runs", () -> hasBegun("lost-" + service));
			this.testDeployment.deployment().setLinks((name) -> name.startsWith("callers>"), LinkState.HELD_BACK);
			Await.until("the posting has taken effect", () -> effectCount("lost-" + service) == 1);
			owner.kill();
			this.testDeployment.deployment().setLinks((name) -> name.startsWith("callers>"), LinkState.HEALTHY);
			this.testDeployment.awaitRecovered(ranges);
			posting.join();
		}
		assertThat(effectCount("lost-" + service)).isEqualTo(1);
	}

	// A posting is refused under load and correctly reported as not run: sent again, it
	// runs.
	@Test
	void aPostingThatWasShedRunsOnALaterSending() {
		List<CompletableFuture<CallerRecord>> postings = IntStream.range(0, 80)
			.mapToObj((i) -> this.testDeployment
				.callAsync(StandInRequest.posting(TestDeployment.SHARDED_SERVICE, "a", "flood-" + i)
					.withPath("/post?work=60")
					.withWaitMillis(20_000)))
			.toList();
		assertThat(postings.stream().map((record) -> record.join().outcome()).distinct().toList())
			.containsExactly(CallerRecord.Outcome.ANSWERED);
	}

	private StandInInstance ownerOf(String service, String key) {
		return (service.equals(TestDeployment.SHARDED_SERVICE)) ? this.testDeployment.owner(key)
				: this.testDeployment.deployment().owner(service, "lost-" + service).orElseThrow();
	}

	private boolean hasBegun(String id) {
		return this.testDeployment.deployment().serverRecords().stream().anyMatch((record) -> record.id().equals(id));
	}

	private long effectCount(String id) {
		return this.testDeployment.deployment()
			.serverRecords()
			.stream()
			.filter((record) -> record.kind() == ServerRecord.Kind.TOOK_EFFECT && record.id().equals(id))
			.count();
	}

}
