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
 * The program {@code bin/demo}: a deployment at today's size under mixed traffic loses
 * one instance without warning. Ends with 0 if every promise was kept, 1 if one was
 * broken, 2 if it was told wrong.
 */
public final class Demo {

	private static final int BROKEN = 1;

	private static final int BAD_FLAGS = 2;

	private static final int MAX_EVENTS_SHOWN = 40;

	private final DeploymentShape shape;

	private final int seconds;

	private Demo(DeploymentShape shape, int seconds) {
		this.shape = shape;
		this.seconds = seconds;
	}

	/**
	 * Runs the demonstration.
	 * @param arguments the flags
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
			System.exit((demo.run()) ? 0 : BROKEN);
		}
		catch (ParameterException | IllegalArgumentException ex) {
			System.err.println(ex.getMessage());
			System.exit(BAD_FLAGS);
		}
	}

	private boolean run() {
		say("starting %s: %d instances in %s", this.shape.name(),
				this.shape.services().stream().mapToInt((service) -> service.servers()).sum(), this.shape.domains());
		try (Deployment deployment = Deployment.start(this.shape); CallerFleet callers = deployment.newCallers()) {
			deployment.awaitServed();
			say("each service answers");
			DocumentSubmission.submit(deployment).forEach((line) -> say("%s", line));
			long since = TimeUnit.MILLISECONDS.toMicros(System.currentTimeMillis());
			callers.setTraffic(Traffic.of(this.shape));
			watch(callers, this.seconds / 2);
			InstanceLoss loss = lose(deployment, callers);
			watch(callers, this.seconds - this.seconds / 2);
			callers.finish();
			return close(Summary.of(deployment, callers.records(), loss, since));
		}
	}

	private InstanceLoss lose(Deployment deployment, CallerFleet callers) {
		StandInInstance lost = deployment.instances().getFirst();
		List<OwnedRange> ranges = deployment.ownedBy(lost);
		String now = Instant.now().toString();
		InstanceLoss loss = InstanceLoss.now(lost.name());
		lost.kill();
		say("lost %s in %s without warning; it owned %d ranges", lost.name(), lost.domain(), ranges.size());
		try (RecoveryProbe probe = new RecoveryProbe(callers, ranges, deployment.shardedServices())) {
			probe.await();
		}
		TimeLine.read(deployment, now).stream().limit(MAX_EVENTS_SHOWN).forEach((line) -> say("  %s", line));
		return loss;
	}

	private static void watch(CallerFleet callers, int seconds) {
		int before = callers.records().size();
		for (int i = 0; i < seconds; i++) {
			LockSupport.parkNanos(TimeUnit.SECONDS.toNanos(1));
			List<CallerRecord> records = callers.records();
			say("%d requests ended in this second; in all %s", records.size() - before,
					HistoryMetrics.outcomes(records));
			before = records.size();
		}
	}

	private static boolean close(Summary summary) {
		System.out.println(summary.line());
		return summary.promisesKept();
	}

	private static void say(String format, Object... arguments) {
		System.out.println(String.format(format, arguments));
	}

}
