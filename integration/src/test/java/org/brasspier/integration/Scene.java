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
 * A small deployment under light traffic, for one test class.
 */
final class Scene implements AutoCloseable {

	static final String KEYED = "hullbook";

	static final String UNKEYED = "jobdesk";

	private final Deployment deployment;

	private final CallerFleet callers;

	private Scene(Deployment deployment) {
		this.deployment = deployment;
		this.callers = deployment.newCallers();
	}

	static Scene start(ServiceShape... services) {
		return of(DeploymentShape.small(services));
	}

	static Scene of(DeploymentShape shape) {
		Scene scene = new Scene(Deployment.start(shape));
		scene.deployment.awaitServed();
		return scene;
	}

	static Scene keyed(int servers) {
		return start(new ServiceShape(KEYED, true, servers, 8, 60, true));
	}

	Deployment deployment() {
		return this.deployment;
	}

	CallerFleet callers() {
		return this.callers;
	}

	/** Lookups and postings for each service, until the test ends. */
	void traffic() {
		this.callers.setTraffic(this.deployment.shape()
			.services()
			.stream()
			.flatMap((service) -> List
				.of(TrafficStream.steady(service.name(), service.sharded(), "lookup", 100),
						TrafficStream.steady(service.name(), service.sharded(), "posting", 50))
				.stream())
			.toList());
	}

	/** Waits until callers have been answered some hundred times more. */
	void awaitAnswers() {
		long enough = answered() + 200;
		Await.until("200 more requests are answered", () -> answered() > enough);
	}

	/**
	 * Waits until each instance owns something: one that was lost in an earlier test owns
	 * nothing until its share comes back.
	 */
	void awaitAllOwn() {
		Await.until("each instance owns something",
				() -> this.deployment.instances()
					.stream()
					.noneMatch((instance) -> this.deployment.ownedBy(instance).isEmpty()));
	}

	long answered() {
		return this.callers.records()
			.stream()
			.filter((done) -> done.outcome() == CallerRecord.Outcome.ANSWERED)
			.count();
	}

	StandInInstance owner(String key) {
		return this.deployment.owner(KEYED, key).orElseThrow();
	}

	StandInInstance otherThan(StandInInstance... taken) {
		return this.deployment.instances()
			.stream()
			.filter((instance) -> !List.of(taken).contains(instance))
			.findFirst()
			.orElseThrow();
	}

	CallerRecord ask(StandInRequest request) {
		return this.callers.call(request).join();
	}

	CompletableFuture<CallerRecord> begin(StandInRequest request) {
		return this.callers.call(request);
	}

	/** Waits until callers get answers for each range that an instance owned. */
	void awaitRecovered(List<OwnedRange> ranges) {
		assertWithMessage("ranges of the lost owner").that(ranges).isNotEmpty();
		try (RecoveryProbe probe = new RecoveryProbe(this.callers, ranges, this.deployment.shardedServices())) {
			probe.await();
		}
	}

	/** Mends all faults, ends the traffic, and judges the histories. */
	void assertPromisesKept() {
		new FaultInjector(this.deployment).clearFaults();
		this.deployment.awaitServed();
		this.callers.finish();
		List<Violation> violations = HistoryChecker.check(this.deployment.serverRecords(), this.callers.records(),
				this.deployment.shardedServices());
		if (!violations.isEmpty()) {
			System.err.println("histories and logs are kept in " + this.deployment.keepFiles());
		}
		assertWithMessage("broken promises").that(violations).isEmpty();
	}

	@Override
	public void close() {
		this.callers.close();
		this.deployment.close();
	}

}
