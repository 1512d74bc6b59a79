package org.brasspier.integration;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.brasspier.standins.Await;
import org.brasspier.standins.Deployment;
import org.brasspier.standins.DeploymentShape;
import org.brasspier.standins.ServerRecord;
import org.brasspier.standins.ServiceShape;
import org.brasspier.standins.StandInInstance;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of postings that are sent repeatedly, to any daemon, before and after their owner
 * changed.
 */
class RequestPathAtMostOnceTests {

	private static final SingleAttemptCaller SHARDED_CALLER = new SingleAttemptCaller("hullbook");

	private static final SingleAttemptCaller UNSHARDED_CALLER = new SingleAttemptCaller("returns-desk");

	private static Deployment deployment;

	/**
	 * Upper bound on the ownership changes tolerated after a start. It exceeds the number
	 * of moves until the ranges of a new deployment are stable.
	 */
	private static final int MAX_MOVES = 50;

	@BeforeAll
	static void start() {
		deployment = Deployment.start(DeploymentShape.small(new ServiceShape("hullbook", true, 3, 8, 60, true),
				new ServiceShape("returns-desk", false, 3, 8, 60, false)));
		deployment.awaitServed();
		Await.until("each instance owns a range",
				() -> deployment.instances().stream().noneMatch((instance) -> deployment.ownedBy(instance).isEmpty()));
	}

	@AfterAll
	static void stop() {
		deployment.close();
	}

	@Test
	void aPostingOfAServiceDividedByKeyRunsOnceHoweverItIsSentAgain() throws Exception {
		assertRunsOnce(SHARDED_CALLER, "hullbook", "hull-1", "keyed");
	}

	@Test
	void aPostingOfAServiceDividedByIdsRunsOnceHoweverItIsSentAgain() throws Exception {
		assertRunsOnce(UNSHARDED_CALLER, "returns-desk", "", "by-id");
	}

	// Ranges move for some seconds after a start, and the next owner of a range correctly
	// answers 409 to a posting that its predecessor accepted. Such an answer carries the
	// fence of the new owner; any other 409 fails the test.
	private static void assertRunsOnce(SingleAttemptCaller caller, String service, String key, String prefix)
			throws Exception {
		for (int move = 0; move < MAX_MOVES; move++) {
			String id = prefix + "-" + move;
			SingleAttemptCaller.Posting posting = caller.requestTicket(deployment.instances().getFirst(), key, id);
			List<HttpResponse<String>> answers = sendToAll(caller, posting);
			assertThat(effectCount(id)).isAtMost(1);
			if (answers.stream().allMatch((answer) -> answer.statusCode() == 200)) {
				answers.forEach((answer) -> assertThat(answer.body()).contains(id));
				assertThat(effectCount(id)).isEqualTo(1);
				return;
			}
			answers.stream()
				.filter((answer) -> answer.statusCode() != 200)
				.forEach((answer) -> assertOwnerChanged(answer, posting));
		}
		throw new AssertionError("the ranges of %s did not become stable".formatted(service));
	}

	private static void assertOwnerChanged(HttpResponse<String> answer, SingleAttemptCaller.Posting posting) {
		assertThat(answer.statusCode()).isEqualTo(409);
		assertThat(fenceOf(SingleAttemptCaller.header(answer, "Brasspier-Ticket")))
			.isGreaterThan(fenceOf(posting.ticket()));
	}

	// The fence is the third part of a ticket.
	private static long fenceOf(String ticket) {
		return Long.parseLong(ticket.split("~")[2], 16);
	}

	private static List<HttpResponse<String>> sendToAll(SingleAttemptCaller caller, SingleAttemptCaller.Posting posting)
			throws Exception {
		List<HttpResponse<String>> answers = new ArrayList<>();
		for (StandInInstance daemon : deployment.instances()) {
			answers.add(caller.post(daemon, "/book", posting));
		}
		return answers;
	}

	@Test
	void aPostingWhoseOwnerWasLostWhileItRanDoesNotRunAgain() throws Exception {
		// The instance of the owner is killed while it runs a posting, and the answer is
		// lost with it. The caller sends the posting again until another instance owns
		// the key. The posting may have run, so it must not run again, and the caller
		// must be told so.
		SingleAttemptCaller.Posting posting = SHARDED_CALLER.requestTicket(deployment.instances().getFirst(), "hull-2",
				"lost-owner");
		StandInInstance owner = deployment.owner("hullbook", "hull-2").orElseThrow();
		StandInInstance other = deployment.instances()
			.stream()
			.filter((instance) -> !instance.equals(owner))
			.findFirst()
			.orElseThrow();
		CompletableFuture<HttpResponse<String>> first = SHARDED_CALLER.send(other, "/book?work=1000", posting);
		Await.until("the posting runs", () -> hasBegun("lost-owner"));
		owner.kill();
		try {
			assertThat(SingleAttemptCaller.header(first.get(20, TimeUnit.SECONDS), "Brasspier-Ran"))
				.isEqualTo("unknown");
			Await.until("the next owner answers",
					() -> SingleAttemptCaller.header(sendAndJoin(other, posting), "Brasspier-Error")
						.equals("POSSIBLY_RAN_BEFORE"));
			assertThat(effectCount("lost-owner")).isAtMost(1);
		}
		finally {
			owner.start();
			Await.until("the restarted instance answers", () -> isAnswering(owner));
		}
	}

	private static boolean isAnswering(StandInInstance daemon) {
		try {
			return SHARDED_CALLER.get(daemon, "/x", "hull-3", "back", 1000).statusCode() == 200;
		}
		catch (IOException | InterruptedException ex) {
			return false;
		}
	}

	private static HttpResponse<String> sendAndJoin(StandInInstance daemon, SingleAttemptCaller.Posting posting) {
		return SHARDED_CALLER.send(daemon, "/book?work=1000", posting).join();
	}

	private static boolean hasBegun(String id) {
		return deployment.serverRecords()
			.stream()
			.anyMatch((record) -> record.id().equals(id) && record.kind() == ServerRecord.Kind.BEGAN);
	}

	private static long effectCount(String id) {
		return deployment.serverRecords()
			.stream()
			.filter((record) -> record.id().equals(id) && record.kind() == ServerRecord.Kind.TOOK_EFFECT)
			.count();
	}

}
