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

	private Scene scene;

	@BeforeEach
	void start() {
		this.scene = Scene.keyed(4);
	}

	@AfterEach
	void judge() {
		this.scene.assertPromisesKept();
		this.scene.close();
	}

	// One lookup crashes each backend server that runs it, and its caller sends it again
	// and again. After two crashes it is refused with an error kind of its own, and the
	// other servers live on.
	@Tag("known-red")
	@Test
	void aLookupThatCrashesServersIsKeptAwayAfterTwo() {
		CallerRecord done = ask(StandInRequest.lookup(Scene.KEYED, "a", "poison-lookup"));
		assertThat(done.lastAttempt().error()).isEqualTo("CRASHED_BACKENDS");
		assertThat(begun("poison-lookup")).isAtMost(2);
	}

	// The same as a posting: it may have run the first time, so it is not tried again.
	@Test
	void aPostingThatCrashesAServerIsNotRunAgain() {
		CallerRecord done = ask(StandInRequest.posting(Scene.KEYED, "a", "poison-posting"));
		assertThat(done.outcome()).isEqualTo(CallerRecord.Outcome.FAILED);
		assertThat(begun("poison-posting")).isEqualTo(1);
	}

	private CallerRecord ask(StandInRequest request) {
		CompletableFuture<CallerRecord> done = this.scene.begin(request.withPath("/crash").withWaitMillis(15_000));
		Await.until("the request is given up", Duration.ofSeconds(40), done::isDone);
		return done.join();
	}

	private long begun(String id) {
		return this.scene.deployment()
			.serverRecords()
			.stream()
			.filter((line) -> line.kind() == ServerRecord.Kind.BEGAN && line.id().equals(id))
			.count();
	}

}
