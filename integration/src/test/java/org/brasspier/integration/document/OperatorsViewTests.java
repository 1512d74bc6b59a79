package org.brasspier.integration.document;

import java.nio.file.Path;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import org.brasspier.core.ErrorKind;
import org.brasspier.standins.Await;
import org.brasspier.standins.CallerFleet;
import org.brasspier.standins.CallerRecord;
import org.brasspier.standins.Deployment;
import org.brasspier.standins.DeploymentShape;
import org.brasspier.standins.Ports;
import org.brasspier.standins.ServerRecord;
import org.brasspier.standins.StandInInstance;
import org.brasspier.standins.StandInRequest;
import org.brasspier.standins.TrafficStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Tests of what operators see and order in a deployment under load.
 */
class OperatorsViewTests {

	@TempDir
	private Path folder;

	private final Deployment deployment = Deployment.start(DeploymentShape.small(3));

	private OperatorTool tool;

	@BeforeEach
	void awaitServed() {
		this.tool = new OperatorTool(this.folder.resolve("draft.json"),
				Ports.text(this.deployment.instances().getFirst().ports().operators()),
				this.deployment.operatorSecret());
		Await.until("each daemon knows that all three instances own ranges",
				() -> this.deployment.instances().stream().allMatch((instance) -> seesThreeOwners(instance)));
		this.deployment.awaitServed();
	}

	@AfterEach
	void stopDeployment() {
		this.deployment.close();
	}

	// An operator traces a lookup that reached one daemon, was forwarded to the daemon of
	// the owner and ran there. The time line shows it by its id across both daemons.
	@Test
	void aRequestIsFollowedByItsIdThroughEveryProcess() {
		StandInInstance entry = this.deployment.instances().getFirst();
		try (CallerFleet callers = new CallerFleet(List.of(entry.callers()))) {
			List<CallerRecord> records = IntStream.range(0, 20)
				.mapToObj((i) -> callers.call(StandInRequest.lookup("hullbook", "hull-" + i, "followed-" + i)).join())
				.toList();
			CallerRecord forwarded = records.stream()
				.filter((record) -> !serverThatRan(record.request().id()).equals(entry.name()))
				.findFirst()
				.orElseThrow();
			String timeline = this.tool.run("timeline", "--request", forwarded.request().id()).out();
			int atEntry = timeline.indexOf("REQUEST_FORWARDED");
			int atOwner = timeline.indexOf("REQUEST_HANDED_OVER");
			assertWithMessage(timeline).that(atEntry).isAtLeast(0);
			assertWithMessage(timeline).that(atOwner).isGreaterThan(atEntry);
			assertWithMessage(timeline).that(timeline.lastIndexOf("REQUEST_ANSWERED")).isGreaterThan(atOwner);
			assertThat(timeline).contains(serverThatRan(forwarded.request().id()));
		}
	}

	// Returns the server whose own record says that the request began there. The owner
	// reported later may be another one, as ranges move for some seconds after a start.
	private String serverThatRan(String id) {
		return this.deployment.serverRecords()
			.stream()
			.filter((record) -> record.kind() == ServerRecord.Kind.BEGAN && record.id().equals(id))
			.map(ServerRecord::server)
			.findFirst()
			.orElseThrow();
	}

	// An operator filters the time line by one key, one range, one kind of event or one
	// instance. Each filter shows the events that concern it and no others.
	@Test
	void theTimeLineIsFilteredByKeyRangeKindAndInstance() {
		try (CallerFleet callers = this.deployment.newCallers()) {
			callers.call(StandInRequest.lookup("hullbook", "hull-1", "asked-1")).join();
			callers.call(StandInRequest.lookup("hullbook", "hull-2", "asked-2")).join();
		}
		String byKey = timeline("--key", "hull-1", "--kind", "REQUEST_ANSWERED");
		assertThat(byKey).contains("asked-1");
		assertThat(byKey).doesNotContain("asked-2");
		assertThat(timeline("--range", "00000000-ffffffff", "--kind", "REQUEST_ANSWERED")).contains("asked-2");
		String started = timeline("--instance", "hullbook-1", "--kind", "DAEMON_STARTED");
		assertThat(started.lines().filter((line) -> !line.startsWith("#"))).hasSize(1);
		assertThat(timeline("--kind", "DAEMON_STARTED").lines().filter((line) -> !line.startsWith("#"))).hasSize(3);
		JsonObject json = JsonParser
			.parseString(this.tool.run("--output", "json", "timeline", "--kind", "DAEMON_STARTED").out())
			.getAsJsonObject();
		assertThat(json.getAsJsonArray("events")).hasSize(3);
		assertThat(json.has("losses")).isTrue();
	}

	private String timeline(String... filters) {
		return this.tool.run(Stream.concat(Stream.of("timeline"), Stream.of(filters)).toArray(String[]::new)).out();
	}

	@Test
	void theStatusShowsInstancesLeasesAndOwners() {
		String status = this.tool.run("status", "--ranges").out();
		this.deployment.instances().forEach((instance) -> assertThat(status).contains(instance.name()));
		assertThat(status).doesNotContain("no answer");
		assertThat(status).contains("primary hullbook-");
		assertThat(ownerOf("hull-4711")).startsWith("hullbook-");
	}

	// Callers report slow lookups. The status shows at which instance requests wait, how
	// many of which class, and that its slots are occupied.
	@Test
	void theStatusShowsWhatRunsAndWaitsAtEachInstance() {
		try (CallerFleet callers = this.deployment.newCallers()) {
			callers.setTraffic(List.of(new TrafficStream("hullbook", true, "lookup", 60, 1, 0, "/slow?work=400", 0)));
			Await.until("a lookup runs and another waits", () -> this.tool.run("status")
				.out()
				.lines()
				.anyMatch((line) -> line.matches(
						"hullbook-[0-9] +8 +[1-9][0-9]* +[1-9][0-9]* +internal 0\\+0, lookup [1-9][0-9]*\\+[1-9].*")));
			callers.finish();
		}
		Await.until("no request waits any more",
				() -> this.tool.run("status")
					.out()
					.lines()
					.filter((line) -> line.matches("hullbook-[0-9] +8 +0 +0 +internal 0\\+0.*"))
					.count() == 3);
	}

	@Test
	void aDrainedInstanceOwnsNothingUntilItIsUndrained() {
		OperatorTool.Result drained = this.tool.run("drain", "hullbook-1");
		assertWithMessage(drained.err()).that(drained.exit()).isEqualTo(0);
		assertThat(drained.out()).contains("owns nothing any more");
		assertThat(this.tool.run("undrain", "hullbook-1").exit()).isEqualTo(0);
		assertThat(this.tool.run("drain", "nobody", "--no-wait").exit()).isEqualTo(ErrorKind.ORDER_REFUSED.exitCode());
		assertThat(this.tool.run("declare-lost", "hullbook-1").exit()).isEqualTo(ErrorKind.BAD_REQUEST.exitCode());
	}

	private boolean seesThreeOwners(StandInInstance instance) {
		return this.tool.run("--daemon", Ports.text(instance.ports().operators()), "status")
			.out()
			.lines()
			.anyMatch((line) -> line.matches("hullbook +[0-9]+ +0 +3"));
	}

	private String ownerOf(String key) {
		String[] columns = this.tool.run("owner", "hullbook", key).out().lines().toList().getLast().split(" +");
		return columns[3];
	}

}
