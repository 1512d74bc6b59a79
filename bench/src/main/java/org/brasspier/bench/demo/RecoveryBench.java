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
 * Measures, from callers' view, how long the ranges of a lost instance go without answer:
 * {@code bin/run org.brasspier.bench.demo.RecoveryBench [--losses N] [--deployment NAME]}.
 * Instances are lost in turn as a plain member, as primary and as secondary lease
 * manager. Closes with one line of JSON.
 */
public final class RecoveryBench {

	@Parameter(names = "--losses", description = "how many instances are lost")
	private int losses = 30;

	@Parameter(names = "--deployment", description = "lakeshore or kliring")
	private String deployment = "lakeshore";

	private final Map<String, List<Long>> recoveryMillisByRole = new TreeMap<>();

	private final Map<String, List<RecoveryStages>> stagesByRole = new TreeMap<>();

	/** Ranges that no caller asked for again before the next loss. */
	private int unansweredRanges;

	private RecoveryBench() {
	}

	/**
	 * Runs the bench.
	 * @param arguments the flags
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
		// The ranges of servers that check no fences rest a guard of 200 ms longer.
		String figuresKey = (lostInstance.service().checksFences()) ? role.name() : role + "_WITHOUT_FENCES";
		this.recoveryMillisByRole.computeIfAbsent(figuresKey, (unused) -> new ArrayList<>()).addAll(recoveryMillis);
		this.stagesByRole.computeIfAbsent(figuresKey, (unused) -> new ArrayList<>()).add(recoveryStages);
		this.unansweredRanges += measured.size() - recoveryMillis.size();
		lostInstance.start();
		runningDeployment.awaitServed();
		Await.until(lostInstance.name() + " owns something again",
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
	 * The part that the lost instance played.
	 */
	private enum Role {

		/** No special one. */
		MEMBER,

		/** The primary lease manager. */
		PRIMARY,

		/** The secondary lease manager. */
		SECONDARY

	}

	/**
	 * The figures of one role.
	 *
	 * @param role the role and whether its server checks fences, or ALL
	 * @param losses how many instances were lost
	 * @param ranges how many ranges they owned
	 * @param medianMs the median over the ranges, in milliseconds
	 * @param maxMs the longest, in milliseconds
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
	 * The closing line.
	 *
	 * @param deployment the deployment's name
	 * @param recovery the figures by role
	 * @param unansweredRanges how many ranges got no answer before the next loss, and are
	 * in no figure: those of a few points, which only a hot key asks for
	 * @param broken how many promises were broken
	 */
	private record Result(String deployment, List<Figures> recovery, int unanswered, int broken) {

	}

}
