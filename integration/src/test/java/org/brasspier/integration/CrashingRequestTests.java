package org.brasspier.integration;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import org.brasspier.standins.Await;
import org.brasspier.standins.CallerRecord;
import org.brasspier.standins.ServerRecord;
import org.brasspier.standins.StandInRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class CrashingRequestTests {

	private TestDeployment testDeployment;

	@BeforeEach
	void start() {
		this.testDeployment = TestDeployment.shardedByKey(4);
	}

	@AfterEach
	void verify() {
		this.testDeployment.assertNoViolations();
		this.testDeployment.close();
	}

	// One lookup crashes each backend server that runs it, and its caller keeps sending
	// it. After two crashes it is refused with an error kind of its own, and the other
	// servers keep running.
	@Tag("known-red")
	@Test
	void aLookupThatCrashesServersIsRefusedAfterTwoCrashes() {
		CallerRecord record = call(StandInRequest.lookup(TestDeployment.SHARDED_SERVICE, "a", "poison-lookup"));
		assertThat(record.lastAttempt().error()).isEqualTo("CRASHED_BACKENDS");
		assertThat(beginCount("poison-lookup")).isAtMost(2);
	}

	// One posting crashes the backend server that runs it, and its caller keeps sending
	// it. It may have run at the first attempt, so it fails and is not run again.
	@Test
	void aPostingThatCrashesAServerIsNotRunAgain() {
		CallerRecord record = call(StandInRequest.posting(TestDeployment.SHARDED_SERVICE, "a", "poison-posting"));
		assertThat(record.outcome()).isEqualTo(CallerRecord.Outcome.FAILED);
		assertThat(beginCount("poison-posting")).isEqualTo(1);
	}

	private CallerRecord call(StandInRequest request) {
		CompletableFuture<CallerRecord> record = this.testDeployment
			.callAsync(request.withPath("/crash").withWaitMillis(15_000));
		Await.until("the caller gives up", Duration.ofSeconds(40), record::isDone);
		return record.join();
	}

	private long beginCount(String id) {
		return this.testDeployment.deployment()
			.serverRecords()
			.stream()
			.filter((serverRecord) -> serverRecord.kind() == ServerRecord.Kind.BEGAN && serverRecord.id().equals(id))
			.count();
	}

}
