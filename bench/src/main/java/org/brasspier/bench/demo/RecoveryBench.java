package org.brasspier.bench.demo;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.stream.LongStream;
import java.util.stream.Stream;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.google.gson.Gson;
import org.brasspier.standins.Await;
import org.brasspier.standins.CallerFleet;
import org.brasspier.standins.Deployment;
import org.brasspier.standins.DeploymentShape;
import org.brasspier.standins.HistoryChecker;
import org.brasspier.standins.HistoryMetrics;
import org.brasspier.standins.InstanceLoss;
import org.brasspier.standins.OwnedRange;
import org.brasspier.standins.RecoveryProbe;
import org.brasspier.standins.StandInInstance;
import org.brasspier.standins.Violation;

/**
 * Measures, from the callers' view, how long the ranges of a killed instance remain
 * unanswered:
 * {@code bin/run org.brasspier.bench.demo.RecoveryBench [--losses N] [--deployment NAME]}.
 * Kills an ordinary member, the primary lease manager and the secondary lease manager in
 * turn. Prints one line of JSON at the end and exits with 1 if a guarantee was violated.
 */
public final class RecoveryBench {

	@Parameter(names = "--losses", description = "number of instances to kill")
	private int losses = 30;

	@Parameter(names = "--deployment", description = "deployment to run: lakeshore or kliring")
	private String deployment = "lakeshore";

	private final Map<String, List<Long>> recoveryMillisByRole = new TreeMap<>();

	private final Map<String, List<RecoveryStages>> stagesByRole = new TreeMap<>();

	/** Number of ranges that no caller requested between their loss and the next one. */
	private int unansweredRanges;

	private RecoveryBench() {
	}

	/**
	 * Runs the benchmark.
	 * @param arguments the command-line flags
	 */
	public static void main(String[] arguments) {
		RecoveryBench bench = new RecoveryBench();
		JCommander.newBuilder().addObject(bench).programName("recovery-bench").build().parse(arguments);
		System.exit((bench.run()) ? 0 : 1);
	}

	private boolean run() {
		DeploymentShape shape = (this.deployment.equals("kliring")) ? DeploymentShape.kliring()
				: DeploymentShape.lakeshore();
		try (Deployment runningDeployment = Deployment.start(shape);
				CallerFleet callers = runningDeployment.newCallers()) {
			runningDeployment.awaitServed();
			callers.setTraffic(Traffic.of(shape));
			for (int i = 0; i < this.losses; i++) {
				measureLoss(runningDeployment, callers, Role.values()[i % Role.values().length],
						i / Role.values().length);
			}
			callers.finish();
			List<Violation> violations = HistoryChecker.check(runningDeployment.serverRecords(), callers.records(),
					runningDeployment.shardedServices());
			violations.forEach((violation) -> System.out.println("BROKEN " + violation));
			System.out.println(
					new Gson().toJson(new Result(shape.name(), figures(), this.unansweredRanges, violations.size())));
			return violations.isEmpty();
		}
	}

	private void measureLoss(Deployment runningDeployment, CallerFleet callers, Role role, int round) {
		StandInInstance lostInstance = chooseInstance(runningDeployment, role, round);
		List<OwnedRange> ranges = runningDeployment.ownedBy(lostInstance);
		Instant lossTime = Instant.now();
		InstanceLoss loss = InstanceLoss.now(lostInstance.name());
		lostInstance.kill();
		try (RecoveryProbe probe = new RecoveryProbe(callers, ranges, runningDeployment.shardedServices())) {
			probe.await();
		}
		Collection<OptionalLong> measured = HistoryMetrics
			.recovery(runningDeployment.serverRecords(), callers.records(), loss)
			.values();
		List<Long> recoveryMillis = measured.stream().flatMapToLong(OptionalLong::stream).boxed().toList();
		RecoveryStages recoveryStages = RecoveryStages.of(EventTimeline.read(runningDeployment, lossTime.toString()),
				lostInstance.name(), lossTime);
		System.out.printf("%s %s: %d ranges, %s, ms %s%n", role, lostInstance.name(), ranges.size(), recoveryStages,
				recoveryMillis);
		// For servers that do not check fences, a guard time of 200 ms delays the new
		// grant of a range.
		String figuresKey = (lostInstance.service().checksFences()) ? role.name() : role + "_WITHOUT_FENCES";
		this.recoveryMillisByRole.computeIfAbsent(figuresKey, (unused) -> new ArrayList<>()).addAll(recoveryMillis);
		this.stagesByRole.computeIfAbsent(figuresKey, (unused) -> new ArrayList<>()).add(recoveryStages);
		this.unansweredRanges += measured.size() - recoveryMillis.size();
		lostInstance.start();
		runningDeployment.awaitServed();
		Await.until(lostInstance.name() + " owns at least one range again",
				() -> !runningDeployment.ownedBy(lostInstance).isEmpty());
	}

	private static StandInInstance chooseInstance(Deployment runningDeployment, Role role, int round) {
		LeaseManagers managers = LeaseManagers.await(runningDeployment);
		return switch (role) {
			case PRIMARY -> managers.primary();
			case SECONDARY -> managers.secondary();
			case MEMBER -> {
				List<StandInInstance> members = runningDeployment.instances()
					.stream()
					.filter((instance) -> !managers.contains(instance)
							&& !runningDeployment.ownedBy(instance).isEmpty())
					.toList();
				yield members.get(round % members.size());
			}
		};
	}

	private List<Figures> figures() {
		Stream<Figures> roles = this.recoveryMillisByRole.entrySet()
			.stream()
			.map((entry) -> Figures.of(entry.getKey(), this.stagesByRole.getOrDefault(entry.getKey(), List.of()),
					entry.getValue()));
		List<Long> allMillis = this.recoveryMillisByRole.values().stream().flatMap(List::stream).toList();
		List<RecoveryStages> stagesOfAll = this.stagesByRole.values().stream().flatMap(List::stream).toList();
		return Stream.concat(roles, Stream.of(Figures.of("ALL", stagesOfAll, allMillis))).toList();
	}

	/**
	 * The role of the killed instance.
	 */
	private enum Role {

		/** An ordinary member that is not a lease manager. */
		MEMBER,

		/** The primary lease manager. */
		PRIMARY,

		/** The secondary lease manager. */
		SECONDARY

	}

	/**
	 * Recovery times of one role.
	 *
	 * @param role the role, with the suffix {@code _WITHOUT_FENCES} if its server does
	 * not check fences; or {@code ALL}
	 * @param losses number of instances killed
	 * @param ranges number of their ranges that were answered again
	 * @param medianMs median recovery time of the ranges, in milliseconds
	 * @param maxMs longest recovery time, in milliseconds
	 * @param stagesByRole the median time of each stage
	 */
	private record Figures(String role, int losses, int ranges, long medianMs, long maxMs, RecoveryStages stages) {

		static Figures of(String role, List<RecoveryStages> stages, List<Long> times) {
			long[] sorted = times.stream().mapToLong(Long::longValue).sorted().toArray();
			return new Figures(role, stages.size(), sorted.length,
					(sorted.length > 0) ? HistoryMetrics.median(sorted) : -1, LongStream.of(sorted).max().orElse(-1),
					RecoveryStages.medians(stages));
		}

	}

	/**
	 * Results of the benchmark, printed as the last line.
	 *
	 * @param deployment name of the deployment
	 * @param recovery recovery times by role
	 * @param unanswered number of ranges without an answer before the next instance was
	 * killed, which are excluded from the recovery times; these ranges cover only a few
	 * points of the key space and are requested only if they hold a hot key
	 * @param broken number of violations
	 */
	private record Result(String deployment, List<Figures> recovery, int unanswered, int broken) {

	}

}
