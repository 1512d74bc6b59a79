package org.brasspier.bench.demo;

import java.util.List;

import org.brasspier.standins.CallerFleet;
import org.brasspier.standins.Deployment;
import org.brasspier.standins.DeploymentShape;
import org.brasspier.standins.HistoryChecker;
import org.brasspier.standins.ServiceShape;
import org.brasspier.standins.TrafficStream;
import org.brasspier.standins.Violation;

/**
 * Runs fault schedules against a deployment under light traffic and checks its
 * guarantees. Not thread-safe.
 */
public final class FaultTrial implements AutoCloseable {

	private final Deployment deployment;

	private final CallerFleet callers;

	private final FaultInjector injector;

	private FaultTrial(Deployment deployment) {
		this.deployment = deployment;
		this.callers = deployment.newCallers();
		this.injector = new FaultInjector(deployment);
	}

	/**
	 * Starts a small deployment: three servers of a service that is sharded by key and
	 * checks fences, and two servers of a service that is not sharded and does not check
	 * fences.
	 * @return the trial, after all services have started to answer
	 */
	public static FaultTrial start() {
		DeploymentShape shape = DeploymentShape.small(new ServiceShape("hullbook", true, 3, 8, 60, true),
				new ServiceShape("jobdesk", false, 2, 8, 60, false));
		FaultTrial trial = new FaultTrial(Deployment.start(shape));
		trial.deployment.awaitServed();
		return trial;
	}

	/**
	 * Runs the schedule of a seed, clears all faults and waits until all services answer
	 * again.
	 * @param seed the seed
	 * @return all violations since the start of the deployment, empty if there were none
	 */
	public List<Violation> run(long seed) {
		DeploymentShape shape = this.deployment.shape();
		List<TrafficStream> traffic = shape.services()
			.stream()
			.flatMap((service) -> Traffic.light(service).stream())
			.toList();
		this.callers.setTraffic(traffic);
		this.injector.run(FaultSchedule.of(seed, this.deployment.instances().size(), shape.domains().size()));
		this.deployment.awaitServed();
		this.callers.finish();
		List<Violation> violations = HistoryChecker.check(this.deployment.serverRecords(), this.callers.records(),
				this.deployment.shardedServices());
		if (!violations.isEmpty()) {
			System.err.println("histories and logs are kept in " + this.deployment.keepFiles());
		}
		return violations;
	}

	@Override
	public void close() {
		this.callers.close();
		this.deployment.close();
	}

}
