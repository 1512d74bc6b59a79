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
 * Injects the faults of a schedule into a deployment. Runs one schedule at a time; not
 * thread-safe.
 */
public final class FaultInjector {

	private final Deployment deployment;

	/**
	 * Creates an injector.
	 * @param deployment the deployment to inject faults into
	 */
	public FaultInjector(Deployment deployment) {
		this.deployment = deployment;
	}

	/**
	 * Runs a schedule to its end, then clears all faults.
	 * @param schedule the schedule
	 */
	public void run(FaultSchedule schedule) {
		long startNanos = System.nanoTime();
		List<ScheduledAction> actions = schedule.entries()
			.stream()
			.flatMap((entry) -> Stream.of(new ScheduledAction(entry.startMillis(), () -> startFault(entry.fault())),
					new ScheduledAction(entry.startMillis() + entry.durationMillis(), () -> endFault(entry.fault()))))
			.sorted(Comparator.comparingInt(ScheduledAction::atMillis))
			.toList();
		actions.forEach((scheduled) -> {
			LockSupport.parkNanos(startNanos + TimeUnit.MILLISECONDS.toNanos(scheduled.atMillis()) - System.nanoTime());
			scheduled.action().run();
		});
		clearFaults();
	}

	/**
	 * Clears all faults: restores all links and the store, resumes paused processes and
	 * restarts stopped ones.
	 */
	public void clearFaults() {
		this.deployment.proxy().heal();
		this.deployment.platform().faults(PlatformFaults.NONE);
		this.deployment.instances().forEach((instance) -> {
			processes(instance, Part.WHOLE).filter(ProgramProcess::isAlive).forEach(ProgramProcess::resume);
			restart(instance, Part.WHOLE);
		});
	}

	private void startFault(Fault fault) {
		switch (fault) {
			case Fault.Killed(int instance, Part part) ->
				processes(instanceAt(instance), part).filter(ProgramProcess::isAlive).forEach(ProgramProcess::kill);
			case Fault.Paused(int instance, Part part) ->
				processes(instanceAt(instance), part).filter(ProgramProcess::isAlive).forEach(ProgramProcess::pause);
			case Fault.Stopped(int instance) ->
				processes(instanceAt(instance), Part.SERVER).filter(ProgramProcess::isAlive)
					.forEach(ProgramProcess::terminate);
			case Fault.Isolated(int instance, LinkState state) ->
				this.deployment.setPeerLinks(instanceAt(instance), state);
			case Fault.Disconnected(int first, int second, LinkState state) ->
				this.deployment.setLinksBetween(instanceAt(first), instanceAt(second), state);
			case Fault.DomainIsolated(int domain, boolean fromStore) ->
				setDomainLinks(domain, fromStore, LinkState.HELD);
			case Fault.StoreUnreachable(int instance, LinkState state) ->
				this.deployment.setStoreLink(instanceAt(instance), state);
			case Fault.StoreDown() -> this.deployment.platform().faults(PlatformFaults.OUTAGE);
			case Fault.StoreSlow(int millis) -> this.deployment.platform().faults(PlatformFaults.slow(millis));
			case Fault.StoreAnswersLost(int writes) ->
				this.deployment.platform().faults(PlatformFaults.losingAnswers(writes));
			case Fault.ConnectionsSilenced(int instance) -> silenceOpenConnections(instanceAt(instance));
		}
	}

	private void endFault(Fault fault) {
		switch (fault) {
			case Fault.Killed(int instance, Part part) -> restart(instanceAt(instance), part);
			case Fault.Paused(int instance, Part part) ->
				processes(instanceAt(instance), part).filter(ProgramProcess::isAlive).forEach(ProgramProcess::resume);
			case Fault.Stopped(int instance) -> restart(instanceAt(instance), Part.WHOLE);
			case Fault.Isolated(int instance, LinkState state) ->
				this.deployment.setPeerLinks(instanceAt(instance), LinkState.HEALTHY);
			case Fault.Disconnected(int first, int second, LinkState state) ->
				this.deployment.setLinksBetween(instanceAt(first), instanceAt(second), LinkState.HEALTHY);
			case Fault.DomainIsolated(int domain, boolean fromStore) ->
				setDomainLinks(domain, fromStore, LinkState.HEALTHY);
			case Fault.StoreUnreachable(int instance, LinkState state) ->
				this.deployment.setStoreLink(instanceAt(instance), LinkState.HEALTHY);
			case Fault.StoreDown() -> this.deployment.platform().faults(PlatformFaults.NONE);
			case Fault.StoreSlow(int millis) -> this.deployment.platform().faults(PlatformFaults.NONE);
			case Fault.StoreAnswersLost(int writes) -> this.deployment.platform().faults(PlatformFaults.NONE);
			case Fault.ConnectionsSilenced(int instance) -> {
			}
		}
	}

	private StandInInstance instanceAt(int index) {
		return this.deployment.instances().get(index);
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

	private void silenceOpenConnections(StandInInstance instance) {
		this.deployment.proxy()
			.links((name) -> name.startsWith(instance.name() + ">"))
			.forEach((link) -> link.silenceOpenConnections());
	}

	private void setDomainLinks(int domainIndex, boolean fromStore, LinkState state) {
		String domain = this.deployment.shape().domains().get(domainIndex);
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
	 * An action to run at a given time.
	 *
	 * @param atMillis time of the action, in milliseconds after the start of the schedule
	 * @param action the action to run
	 */
	private record ScheduledAction(int atMillis, Runnable action) {

	}

}
