package org.brasspier.integration.document;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;

import io.vavr.control.Either;
import org.brasspier.cli.internal.OperatorClient;
import org.brasspier.core.ErrorKind;
import org.brasspier.standins.Await;
import org.brasspier.standins.Deployment;
import org.brasspier.standins.DeploymentShape;
import org.brasspier.standins.PlatformFaults;
import org.brasspier.standins.Ports;
import org.brasspier.standins.StandInInstance;
import org.brasspier.wire.operator.ErrorAnswer;
import org.brasspier.wire.operator.StatusAnswer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Tests that an accepted document is in force on every daemon and never reverts, with
 * real daemons, the stand-in of the platform, and operators who use the command line
 * tool.
 */
class DocumentDistributionTests {

	@TempDir
	private Path folder;

	private final Deployment deployment = Deployment.prepare(DeploymentShape.small(3));

	private OperatorTool firstOperator;

	private OperatorTool secondOperator;

	@BeforeEach
	void startDaemons() {
		this.deployment.instances().forEach((instance) -> instance.daemon().start());
		String daemons = this.deployment.instances()
			.stream()
			.map(DocumentDistributionTests::operatorAddress)
			.collect(Collectors.joining(","));
		this.firstOperator = tool("lena", daemons);
		this.secondOperator = tool("budi", daemons);
		Await.until("all daemons know that there is no document yet",
				() -> this.deployment.instances().stream().allMatch((instance) -> hasReadDocument(instance)));
	}

	@AfterEach
	void stopDaemons() {
		this.deployment.close();
	}

	@Test
	void aSubmissionIsInForceOnEveryDaemon() {
		fillInMinimalDraft(this.firstOperator);
		OperatorTool.Result result = this.firstOperator.run("draft", "submit");
		assertWithMessage(result.err()).that(result.exit()).isEqualTo(0);
		assertThat(result.out()).contains("version 1 is in force on all 3 daemons");
		assertThat(versions()).containsExactly(1L, 1L, 1L);
		assertThat(this.firstOperator.run("config", "history").out()).contains("VERSION");
		assertThat(this.firstOperator.run("config", "diff").out())
			.contains("service/hullbook/divided-by-key: (none) -> yes");
	}

	// Two operators start from version 1 and submit at the same time, each to another
	// daemon. One submission must be accepted; the other operator must see what it
	// changed and can rebase the draft onto it.
	@Test
	void ofTwoConcurrentSubmissionsOneIsAcceptedAndTheOtherSeesWhatChanged() {
		fillInMinimalDraft(this.firstOperator);
		this.firstOperator.run("draft", "submit");
		this.firstOperator.run("form", "weights", "--churn", "2");
		this.secondOperator.run("form", "weights", "--imbalance", "3");
		CompletableFuture<OperatorTool.Result> firstResult = CompletableFuture
			.supplyAsync(() -> this.firstOperator.run("--daemon", operatorAddress(0), "draft", "submit", "--no-wait"));
		CompletableFuture<OperatorTool.Result> secondResult = CompletableFuture
			.supplyAsync(() -> this.secondOperator.run("--daemon", operatorAddress(1), "draft", "submit", "--no-wait"));
		List<OperatorTool.Result> results = List.of(firstResult.join(), secondResult.join());
		assertThat(results.stream().map(OperatorTool.Result::exit)).containsExactly(0,
				ErrorKind.DOCUMENT_CONFLICT.exitCode());
		OperatorTool loser = (firstResult.join().exit() == 0) ? this.secondOperator : this.firstOperator;
		String loserMessage = (firstResult.join().exit() == 0) ? secondResult.join().err() : firstResult.join().err();
		assertThat(loserMessage).contains(
				(firstResult.join().exit() == 0) ? "weights/churn: (none) -> 2" : "weights/imbalance: (none) -> 3");
		assertThat(loser.run("draft", "rebase").exit()).isEqualTo(0);
		assertThat(loser.run("draft", "submit").exit()).isEqualTo(0);
		assertThat(loser.run("config", "show").out()).contains("weights/churn");
		assertThat(loser.run("config", "show").out()).contains("weights/imbalance");
	}

	// Both operators change the same field from version 1, the first operator before the
	// second. The second, at a terminal, is shown the other change, confirms the rebase
	// of the draft, is told that both changed the field, and submits again. The other
	// change of the first operator is kept.
	@Test
	void atATerminalAConflictIsShownAndTheDraftMovedOnRequest() {
		fillInMinimalDraft(this.firstOperator);
		this.firstOperator.run("draft", "submit");
		this.firstOperator.run("form", "weights", "--churn", "2", "--imbalance", "3");
		this.secondOperator.run("form", "weights", "--churn", "4");
		assertThat(this.firstOperator.run("draft", "submit").exit()).isEqualTo(0);
		OperatorTool.Result conflict = this.secondOperator.runInteractively("yes\n", "draft", "submit");
		assertThat(conflict.exit()).isEqualTo(ErrorKind.DOCUMENT_CONFLICT.exitCode());
		assertThat(conflict.err()).contains("weights/imbalance: (none) -> 3");
		assertThat(conflict.err()).contains("the draft is on version 2 now, with 1 changes");
		assertThat(conflict.err()).contains("both changed weights/churn");
		assertThat(this.secondOperator.run("draft", "submit").exit()).isEqualTo(0);
		String inForce = this.firstOperator.run("config", "show").out();
		assertThat(inForce).containsMatch("weights/churn +4\n");
		assertThat(inForce).containsMatch("weights/imbalance +3\n");
	}

	// An operator checks whether a change is in force everywhere. While one daemon is
	// down, the status must list it as not answering rather than omit it.
	@Test
	void theStatusShowsTheVersionOnEachDaemonAndWhichOneDoesNotAnswer() {
		fillInMinimalDraft(this.firstOperator);
		this.firstOperator.run("draft", "submit");
		Await.until("the status lists all three daemons", () -> statusLines("hullbook-[0-2] +1") == 3);
		this.deployment.instances().get(2).daemon().kill();
		Await.until("two daemons report the version and one does not answer",
				() -> statusLines("hullbook-[0-2] +1") == 2 && statusLines("\\(no answer\\) +\\?") == 1);
	}

	private long statusLines(String pattern) {
		return this.firstOperator.run("config", "status")
			.out()
			.lines()
			.filter((line) -> line.matches(".* " + pattern))
			.count();
	}

	// An operator follows the time line while another one submits.
	@Test
	void theTimeLineIsFollowedLive() {
		fillInMinimalDraft(this.firstOperator);
		CompletableFuture<OperatorTool.Result> following = CompletableFuture
			.supplyAsync(() -> this.secondOperator.run("timeline", "--follow", "--for-seconds", "8", "--kind", "402"));
		assertThat(this.firstOperator.run("draft", "submit").exit()).isEqualTo(0);
		String output = following.join().out();
		assertThat(output.lines().filter((line) -> line.contains("DOCUMENT_IN_FORCE"))).hasSize(3);
	}

	// The table takes the write of the pointer, and its answer is lost. The operator must
	// be told that the submission was accepted, and it must be in force exactly once.
	@Test
	void aSubmissionWhoseAnswerWasLostIsResolvedBeforeTheOperatorIsAnswered() {
		fillInMinimalDraft(this.firstOperator);
		this.deployment.platform().faults(PlatformFaults.losingAnswers(10_000));
		OperatorTool.Result result = this.firstOperator.run("draft", "submit");
		assertWithMessage(result.err()).that(result.exit()).isEqualTo(0);
		assertThat(this.firstOperator.run("timeline", "--kind", "DOCUMENT_UNSETTLED").out()).contains("403");
		assertThat(versions()).containsExactly(1L, 1L, 1L);
	}

	// The store goes down. No submission is accepted, and the version in force stays. A
	// daemon that is replaced meanwhile must not serve by default limits where the
	// document in force sets others, and has the version again once the store or another
	// daemon can report it.
	@Test
	void neitherAnOutageNorARestartRevertsTheVersionInForce() {
		fillInMinimalDraft(this.firstOperator);
		this.firstOperator.run("draft", "submit");
		this.deployment.platform().faults(PlatformFaults.OUTAGE);
		this.firstOperator.run("form", "weights", "--churn", "2");
		assertThat(this.firstOperator.run("draft", "submit").exit()).isEqualTo(ErrorKind.STORE_UNAVAILABLE.exitCode());
		StandInInstance replaced = this.deployment.instances().get(2);
		replaced.daemon().kill();
		replaced.daemon().start();
		Await.until("the replaced daemon answers", () -> status(replaced).isRight());
		StatusAnswer statusAfterRestart = status(replaced).get();
		assertThat(!statusAfterRestart.documentRead() || statusAfterRestart.documentVersion() == 1).isTrue();
		assertThat(version(this.deployment.instances().get(0))).isEqualTo(1);
		this.deployment.platform().faults(PlatformFaults.NONE);
		Await.until("the replaced daemon has the version again", () -> version(replaced) == 1);
		assertThat(this.firstOperator.run("draft", "submit").exit()).isEqualTo(0);
		assertThat(versions()).containsExactly(2L, 2L, 2L);
	}

	@Test
	void requestsWithoutTheSecretAreRefusedAndAllFaultsAreListedTogether() {
		OperatorTool unauthorized = new OperatorTool(this.folder.resolve("stranger"), operatorAddress(0), "wrong");
		OperatorTool.Result refused = unauthorized.run("config", "show");
		assertThat(refused.exit()).isEqualTo(ErrorKind.UNAUTHORIZED.exitCode());
		this.firstOperator.run("form", "limits", "divecal", "--lookup-share-percent", "100");
		OperatorTool.Result faults = this.firstOperator.run("draft", "check");
		assertThat(faults.exit()).isEqualTo(ErrorKind.DOCUMENT_INVALID.exitCode());
		assertThat(faults.err()).contains("fill in the form of at least one service");
		assertThat(faults.err()).contains("limits/divecal/lookup-share-percent");
		assertThat(faults.err()).contains("name at least one failure domain");
	}

	@Test
	void theTimeLineOfAllDaemonsShowsASubmissionBeforeItIsInForce() {
		fillInMinimalDraft(this.firstOperator);
		this.firstOperator.run("draft", "submit");
		String timeline = this.firstOperator.run("timeline", "--count", "1000").out();
		assertThat(timeline).contains("DOCUMENT_IN_FORCE");
		assertThat(timeline.indexOf("DOCUMENT_ACCEPTED")).isLessThan(timeline.indexOf("DOCUMENT_IN_FORCE"));
		assertThat(this.firstOperator.run("timeline", "--kind", "402")
			.out()
			.lines()
			.filter((entry) -> !entry.startsWith("#"))).hasSize(3);
		assertThat(this.firstOperator.run("--output", "json", "measures").out()).contains("\"kept_until_millis\"");
	}

	private static void fillInMinimalDraft(OperatorTool tool) {
		assertThat(tool.run("form", "service", "hullbook", "--divided-by-key", "yes").exit()).isEqualTo(0);
		assertThat(tool
			.run("form", "domains", "--regions", "domain-0=great-lakes,domain-1=great-lakes,domain-2=great-lakes")
			.exit()).isEqualTo(0);
	}

	private OperatorTool tool(String name, String daemons) {
		return new OperatorTool(this.folder.resolve(name), daemons, this.deployment.operatorSecret());
	}

	private String operatorAddress(int index) {
		return operatorAddress(this.deployment.instances().get(index));
	}

	private static String operatorAddress(StandInInstance instance) {
		return Ports.text(instance.ports().operators());
	}

	private Either<ErrorAnswer, StatusAnswer> status(StandInInstance instance) {
		return new OperatorClient(List.of(), this.deployment.operatorSecret(), Duration.ofSeconds(5))
			.get(operatorAddress(instance), "/v1/status", StatusAnswer.class);
	}

	private boolean hasReadDocument(StandInInstance instance) {
		return status(instance).map(StatusAnswer::documentRead).getOrElse(false);
	}

	private long version(StandInInstance instance) {
		return status(instance).map(StatusAnswer::documentVersion).getOrElse(-1L);
	}

	private List<Long> versions() {
		return this.deployment.instances().stream().map((instance) -> version(instance)).toList();
	}

}
