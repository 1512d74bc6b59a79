package org.brasspier.bench.demo;

import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Stream;

import org.brasspier.bench.demo.Fault.Part;
import org.brasspier.standins.Deployment;
import org.brasspier.standins.LinkState;
import org.brasspier.standins.PlatformFaults;
import org.brasspier.standins.ProgramProcess;
import org.brasspier.standins.StandInInstance;

/**
 * Does to a deployment what a schedule says. Serves one schedule at a time; not
 * thread-safe.
 */
public final class FaultInjector {

	private final Deployment deployment;

	/**
	 * Creates an injector.
	 * @param deployment the deployment
	 */
	public FaultInjector(Deployment deployment) {
		this.deployment = deployment;
	}

	/**
	 * Runs a schedule to its end and mends everything.
	 * @param schedule the schedule
	 */
	public void run(FaultSchedule schedule) {
		long begin = System.nanoTime();
		List<Step> steps = schedule.entries()
			.stream()
			.flatMap((entry) -> Stream.of(new Step(entry.startMillis(), () -> begin(entry.fault())),
					new Step(entry.startMillis() + entry.lastsMillis(), () -> end(entry.fault()))))
			.sorted(Comparator.comparingInt(Step::atMillis))
			.toList();
		steps.forEach((step) -> {
			LockSupport.parkNanos(begin + TimeUnit.MILLISECONDS.toNanos(step.atMillis()) - System.nanoTime());
			step.action().run();
		});
		mend();
	}

	/**
	 * Ends every fault: all links whole, the store well, all processes running.
	 */
	public void mend() {
		this.deployment.proxy().heal();
		this.deployment.platform().faults(PlatformFaults.NONE);
		this.deployment.instances().forEach((instance) -> {
			processes(instance, Part.WHOLE).filter(ProgramProcess::isAlive).forEach(ProgramProcess::resume);
			restart(instance, Part.WHOLE);
		});
	}

	private void begin(Fault fault) {
		switch (fault) {
			case Fault.Lost(int instance, Part part) ->
				processes(at(instance), part).filter(ProgramProcess::isAlive).forEach(ProgramProcess::kill);
			case Fault.Paused(int instance, Part part) ->
				processes(at(instance), part).filter(ProgramProcess::isAlive).forEach(ProgramProcess::pause);
			case Fault.Stopped(int instance) ->
				processes(at(instance), Part.SERVER).filter(ProgramProcess::isAlive).forEach(ProgramProcess::terminate);
			case Fault.Isolated(int instance, LinkState state) -> this.deployment.setPeerLinks(at(instance), state);
			case Fault.Apart(int one, int other, LinkState state) ->
				this.deployment.setLinksBetween(at(one), at(other), state);
			case Fault.DomainCut(int domain, boolean fromStore) -> cut(domain, fromStore, LinkState.HELD);
			case Fault.StoreCut(int instance, LinkState state) -> this.deployment.setStoreLink(at(instance), state);
			case Fault.StoreDown() -> this.deployment.platform().faults(PlatformFaults.OUTAGE);
			case Fault.StoreSlow(int millis) -> this.deployment.platform().faults(PlatformFaults.slow(millis));
			case Fault.StoreLoses(int writes) ->
				this.deployment.platform().faults(PlatformFaults.losingAnswers(writes));
			case Fault.Silenced(int instance) -> silence(at(instance));
		}
	}

	private void end(Fault fault) {
		switch (fault) {
			case Fault.Lost(int instance, Part part) -> restart(at(instance), part);
			case Fault.Paused(int instance, Part part) ->
				processes(at(instance), part).filter(ProgramProcess::isAlive).forEach(ProgramProcess::resume);
			case Fault.Stopped(int instance) -> restart(at(instance), Part.WHOLE);
			case Fault.Isolated(int instance, LinkState state) ->
				this.deployment.setPeerLinks(at(instance), LinkState.HEALTHY);
			case Fault.Apart(int one, int other, LinkState state) ->
				this.deployment.setLinksBetween(at(one), at(other), LinkState.HEALTHY);
			case Fault.DomainCut(int domain, boolean fromStore) -> cut(domain, fromStore, LinkState.HEALTHY);
			case Fault.StoreCut(int instance, LinkState state) ->
				this.deployment.setStoreLink(at(instance), LinkState.HEALTHY);
			case Fault.StoreDown() -> this.deployment.platform().faults(PlatformFaults.NONE);
			case Fault.StoreSlow(int millis) -> this.deployment.platform().faults(PlatformFaults.NONE);
			case Fault.StoreLoses(int writes) -> this.deployment.platform().faults(PlatformFaults.NONE);
			case Fault.Silenced(int instance) -> {
			}
		}
	}

	private StandInInstance at(int place) {
		return this.deployment.instances().get(place);
	}

	private static Stream<ProgramProcess> processes(StandInInstance instance, Part part) {
		return switch (part) {
			case WHOLE -> Stream.of(instance.server(), instance.daemon());
			case DAEMON -> Stream.of(instance.daemon());
			case SERVER -> Stream.of(instance.server());
		};
	}

	private static void restart(StandInInstance instance, Part part) {
		processes(instance, part).filter((process) -> !process.isAlive()).forEach(ProgramProcess::start);
	}

	private void silence(StandInInstance instance) {
		this.deployment.proxy()
			.links((name) -> name.startsWith(instance.name() + ">"))
			.forEach((link) -> link.silenceOpenConnections());
	}

	private void cut(int place, boolean fromStore, LinkState state) {
		String domain = this.deployment.shape().domains().get(place);
		List<StandInInstance> inside = this.deployment.instances()
			.stream()
			.filter((instance) -> instance.domain().equals(domain))
			.toList();
		inside.forEach((instance) -> {
			this.deployment.instances()
				.stream()
				.filter((other) -> !other.domain().equals(domain))
				.forEach((other) -> this.deployment.setLinksBetween(instance, other, state));
			if (fromStore) {
				this.deployment.setStoreLink(instance, state);
			}
		});
	}

	/**
	 * Something to do at a time.
	 *
	 * @param atMillis when, in milliseconds after the beginning
	 * @param action what
	 */
	private record Step(int atMillis, Runnable action) {

	}

}
