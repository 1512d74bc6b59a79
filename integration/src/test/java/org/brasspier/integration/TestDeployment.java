package org.brasspier.integration;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.brasspier.bench.demo.FaultInjector;
import org.brasspier.standins.Await;
import org.brasspier.standins.CallerFleet;
import org.brasspier.standins.CallerRecord;
import org.brasspier.standins.Deployment;
import org.brasspier.standins.DeploymentShape;
import org.brasspier.standins.HistoryChecker;
import org.brasspier.standins.OwnedRange;
import org.brasspier.standins.RecoveryProbe;
import org.brasspier.standins.ServiceShape;
import org.brasspier.standins.StandInInstance;
import org.brasspier.standins.StandInRequest;
import org.brasspier.standins.TrafficStream;
import org.brasspier.standins.Violation;

import static com.google.common.truth.Truth.assertWithMessage;

/**
 * A small deployment with light traffic, shared by the tests of one class.
 */
final class TestDeployment implements AutoCloseable {

	static final String SHARDED_SERVICE = "hullbook";

	static final String UNSHARDED_SERVICE = "jobdesk";

	private final Deployment deployment;

	private final CallerFleet callers;

	private TestDeployment(Deployment deployment) {
		this.deployment = deployment;
		this.callers = deployment.newCallers();
	}

	static TestDeployment start(ServiceShape... services) {
		return start(DeploymentShape.small(services));
	}

	static TestDeployment start(DeploymentShape shape) {
		TestDeployment testDeployment = new TestDeployment(Deployment.start(shape));
		testDeployment.deployment.awaitServed();
		return testDeployment;
	}

	static TestDeployment shardedByKey(int servers) {
		return start(new ServiceShape(SHARDED_SERVICE, true, servers, 8, 60, true));
	}

	Deployment deployment() {
		return this.deployment;
	}

	CallerFleet callers() {
		return this.callers;
	}

	/** Sends lookups and postings to each service until the test ends. */
	void startTraffic() {
		this.callers.setTraffic(this.deployment.shape()
			.services()
			.stream()
			.flatMap((service) -> List
				.of(TrafficStream.steady(service.name(), service.sharded(), "lookup", 100),
						TrafficStream.steady(service.name(), service.sharded(), "posting", 50))
				.stream())
			.toList());
	}

	/** Waits until 200 more requests have been answered. */
	void awaitMoreAnswers() {
		long targetCount = answeredCount() + 200;
		Await.until("200 more requests are answered", () -> answeredCount() > targetCount);
	}

	/**
	 * Waits until each instance owns a range. An instance that was lost in an earlier
	 * test owns nothing until ranges are moved back to it.
	 */
	void awaitAllInstancesOwnRanges() {
		Await.until("each instance owns a range",
				() -> this.deployment.instances()
					.stream()
					.noneMatch((instance) -> this.deployment.ownedBy(instance).isEmpty()));
	}

	long answeredCount() {
		return this.callers.records()
			.stream()
			.filter((record) -> record.outcome() == CallerRecord.Outcome.ANSWERED)
			.count();
	}

	StandInInstance owner(String key) {
		return this.deployment.owner(SHARDED_SERVICE, key).orElseThrow();
	}

	StandInInstance instanceOtherThan(StandInInstance... excluded) {
		return this.deployment.instances()
			.stream()
			.filter((instance) -> !List.of(excluded).contains(instance))
			.findFirst()
			.orElseThrow();
	}

	CallerRecord call(StandInRequest request) {
		return this.callers.call(request).join();
	}

	CompletableFuture<CallerRecord> callAsync(StandInRequest request) {
		return this.callers.call(request);
	}

	/** Waits until callers get answers for each of the given ranges. */
	void awaitRecovered(List<OwnedRange> ranges) {
		assertWithMessage("ranges that the lost instance owned").that(ranges).isNotEmpty();
		try (RecoveryProbe probe = new RecoveryProbe(this.callers, ranges, this.deployment.shardedServices())) {
			probe.await();
		}
	}

	/** Removes all faults, ends the traffic and checks the recorded histories. */
	void assertNoViolations() {
		new FaultInjector(this.deployment).clearFaults();
		this.deployment.awaitServed();
		this.callers.finish();
		List<Violation> violations = HistoryChecker.check(this.deployment.serverRecords(), this.callers.records(),
				this.deployment.shardedServices());
		if (!violations.isEmpty()) {
			System.err.println("histories and logs are kept in " + this.deployment.keepFiles());
		}
		assertWithMessage("violated invariants").that(violations).isEmpty();
	}

	@Override
	public void close() {
		this.callers.close();
		this.deployment.close();
	}

}
