package org.brasspier.bench.demo;

import java.time.Instant;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import org.brasspier.standins.CallerFleet;
import org.brasspier.standins.CallerRecord;
import org.brasspier.standins.Deployment;
import org.brasspier.standins.DeploymentShape;
import org.brasspier.standins.HistoryMetrics;
import org.brasspier.standins.InstanceLoss;
import org.brasspier.standins.OwnedRange;
import org.brasspier.standins.RecoveryProbe;
import org.brasspier.standins.StandInInstance;

/**
 * Entry point of {@code bin/demo}. Runs a deployment of today's size under mixed traffic
 * and kills one instance without warning. Exits with 0 if no guarantee was violated, 1 if
 * one was violated, and 2 if the command-line flags are invalid.
 */
public final class Demo {

	private static final int EXIT_VIOLATIONS = 1;

	private static final int EXIT_BAD_FLAGS = 2;

	private static final int MAX_EVENTS_SHOWN = 40;

	private final DeploymentShape shape;

	private final int seconds;

	private Demo(DeploymentShape shape, int seconds) {
		this.shape = shape;
		this.seconds = seconds;
	}

	/**
	 * Runs the demonstration.
	 * @param arguments the command-line flags
	 */
	public static void main(String[] arguments) {
		DemoFlags flags = new DemoFlags();
		JCommander commander = JCommander.newBuilder().addObject(flags).programName("demo").build();
		try {
			commander.parse(arguments);
			if (flags.help) {
				commander.usage();
				return;
			}
			Demo demo = new Demo(flags.shape(), flags.checkedSeconds());
			System.exit((demo.run()) ? 0 : EXIT_VIOLATIONS);
		}
		catch (ParameterException | IllegalArgumentException ex) {
			System.err.println(ex.getMessage());
			System.exit(EXIT_BAD_FLAGS);
		}
	}

	private boolean run() {
		print("starting %s: %d instances in %s", this.shape.name(),
				this.shape.services().stream().mapToInt((service) -> service.servers()).sum(), this.shape.domains());
		try (Deployment deployment = Deployment.start(this.shape); CallerFleet callers = deployment.newCallers()) {
			deployment.awaitServed();
			print("all services are answering");
			DocumentSubmission.submit(deployment).forEach((line) -> print("%s", line));
			long trafficStartMicros = TimeUnit.MILLISECONDS.toMicros(System.currentTimeMillis());
			callers.setTraffic(Traffic.of(this.shape));
			printOutcomes(callers, this.seconds / 2);
			InstanceLoss loss = killInstance(deployment, callers);
			printOutcomes(callers, this.seconds - this.seconds / 2);
			callers.finish();
			return printSummary(Summary.of(deployment, callers.records(), loss, trafficStartMicros));
		}
	}

	private InstanceLoss killInstance(Deployment deployment, CallerFleet callers) {
		StandInInstance instance = deployment.instances().getFirst();
		List<OwnedRange> ranges = deployment.ownedBy(instance);
		String lossTime = Instant.now().toString();
		InstanceLoss loss = InstanceLoss.now(instance.name());
		instance.kill();
		print("killed %s in %s without warning; it owned %d ranges", instance.name(), instance.domain(), ranges.size());
		try (RecoveryProbe probe = new RecoveryProbe(callers, ranges, deployment.shardedServices())) {
			probe.await();
		}
		EventTimeline.read(deployment, lossTime)
			.stream()
			.limit(MAX_EVENTS_SHOWN)
			.forEach((line) -> print("  %s", line));
		return loss;
	}

	private static void printOutcomes(CallerFleet callers, int seconds) {
		int recordsBefore = callers.records().size();
		for (int i = 0; i < seconds; i++) {
			LockSupport.parkNanos(TimeUnit.SECONDS.toNanos(1));
			List<CallerRecord> records = callers.records();
			print("%d requests completed in the last second; totals so far: %s", records.size() - recordsBefore,
					HistoryMetrics.outcomes(records));
			recordsBefore = records.size();
		}
	}

	private static boolean printSummary(Summary summary) {
		System.out.println(summary.toJson());
		return summary.guaranteesHeld();
	}

	private static void print(String format, Object... arguments) {
		System.out.println(String.format(format, arguments));
	}

}
