package org.brasspier.bench.document;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.UUID;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Collectors;

import org.brasspier.cli.internal.OperatorClient;
import org.brasspier.standins.Await;
import org.brasspier.standins.Deployment;
import org.brasspier.standins.DeploymentShape;
import org.brasspier.standins.LinkState;
import org.brasspier.standins.PlatformFaults;
import org.brasspier.standins.Ports;
import org.brasspier.standins.StandInInstance;
import org.brasspier.wire.operator.OperatorJson;
import org.brasspier.wire.operator.StatusAnswer;
import org.brasspier.wire.operator.SubmitAnswer;
import org.brasspier.wire.operator.SubmitRequest;

/**
 * Changes the configuration document of the Lakeshore deployment many times, some of them
 * during faults, and measures the time from the acceptance of each change to the moment
 * at which it is in force on the last daemon.
 */
public final class DocumentBench {

	private static final int CHANGE_COUNT = 200;

	/**
	 * Of ten changes, six are made without a fault and one during each of the four
	 * faults.
	 */
	private static final int CHANGES_PER_ROUND = 10;

	private static final Duration TIMEOUT = Duration.ofSeconds(30);

	private static final Duration POLL_INTERVAL = Duration.ofMillis(5);

	private final Deployment deployment;

	private final OperatorClient client;

	private final ExecutorService watchers;

	private final List<Change> changes = new ArrayList<>();

	private DocumentBench(Deployment deployment) {
		this.deployment = deployment;
		this.client = new OperatorClient(List.of(), deployment.operatorSecret(), Duration.ofSeconds(30));
		this.watchers = Executors.newFixedThreadPool(deployment.instances().size());
	}

	/**
	 * Runs the benchmark and writes {@code document.json}.
	 * @param arguments the output folder; {@code bench/target/results} if empty
	 * @throws Exception if a change was not accepted, which includes changes based on a
	 * version that was reverted, or was not in force on every daemon within the timeout
	 */
	public static void main(String[] arguments) throws Exception {
		Path folder = Path.of((arguments.length > 0) ? arguments[0] : "bench/target/results");
		try (Deployment deployment = Deployment.prepare(DeploymentShape.lakeshore())) {
			DocumentBench bench = new DocumentBench(deployment);
			try {
				bench.run();
				bench.write(folder);
			}
			finally {
				bench.watchers.shutdownNow();
			}
		}
	}

	private void run() throws InterruptedException, ExecutionException {
		this.deployment.instances().forEach((instance) -> instance.daemon().start());
		Await.until("all daemons know that there is no document",
				() -> this.deployment.instances().stream().allMatch((instance) -> status(instance).documentRead()));
		for (int i = 0; i < CHANGE_COUNT; i++) {
			int indexInRound = i % CHANGES_PER_ROUND;
			measureChange(i, (indexInRound < Fault.values().length) ? Fault.values()[indexInRound] : Fault.NONE);
		}
	}

	private void measureChange(int number, Fault fault) throws InterruptedException, ExecutionException {
		StandInInstance affected = this.deployment.instances().get(number % this.deployment.instances().size());
		startFault(fault, affected);
		long version = submit(number);
		long acceptedNanos = System.nanoTime();
		List<Future<Long>> inForceTimes = this.deployment.instances()
			.stream()
			.map((instance) -> this.watchers.submit(() -> awaitVersion(instance, version)))
			.toList();
		long lastInForceNanos = acceptedNanos;
		for (Future<Long> inForceTime : inForceTimes) {
			lastInForceNanos = Math.max(lastInForceNanos, inForceTime.get());
		}
		endFault(fault, affected);
		this.changes.add(new Change(version, fault.name(),
				TimeUnit.NANOSECONDS.toMicros(lastInForceNanos - acceptedNanos) / 1000.0));
	}

	private void startFault(Fault fault, StandInInstance affected) {
		switch (fault) {
			case NONE -> {
			}
			case ANSWER_LOST -> this.deployment.platform().faults(PlatformFaults.losingAnswers(2));
			case STORE_SLOW -> this.deployment.platform().faults(PlatformFaults.slow(500));
			case PEERS_CUT -> this.deployment.setPeerLinks(affected, LinkState.HELD);
			case STORE_CUT -> this.deployment.setStoreLink(affected, LinkState.HELD);
		}
	}

	private void endFault(Fault fault, StandInInstance affected) {
		this.deployment.platform().faults(PlatformFaults.NONE);
		this.deployment.setPeerLinks(affected, LinkState.HEALTHY);
		this.deployment.setStoreLink(affected, LinkState.HEALTHY);
	}

	private long submit(int number) {
		StandInInstance instance = this.deployment.instances().get((number + 1) % this.deployment.instances().size());
		SubmitRequest request = new SubmitRequest(number, UUID.randomUUID().toString(), fields(number));
		return new OperatorClient(List.of(operatorAddress(instance)), this.deployment.operatorSecret(), TIMEOUT)
			.post("/v1/document", request, SubmitAnswer.class, true)
			.getOrElseThrow((error) -> new IllegalStateException("change %d: %s".formatted(number, error)))
			.version();
	}

	private Map<String, String> fields(int number) {
		Map<String, String> fields = new TreeMap<>();
		this.deployment.shape()
			.services()
			.forEach((service) -> fields.put("service/" + service.name() + "/divided-by-key",
					(service.sharded()) ? "yes" : "no"));
		fields.put("domains/regions",
				this.deployment.shape()
					.domains()
					.stream()
					.map((domain) -> domain + "=great-lakes")
					.collect(Collectors.joining(",")));
		fields.put("weights/churn", Integer.toString(number % 100 + 1));
		return fields;
	}

	private long awaitVersion(StandInInstance instance, long version) {
		long deadlineNanos = System.nanoTime() + TIMEOUT.toNanos();
		while (System.nanoTime() - deadlineNanos < 0) {
			if (status(instance).documentVersion() >= version) {
				return System.nanoTime();
			}
			LockSupport.parkNanos(POLL_INTERVAL.toNanos());
		}
		throw new IllegalStateException("version %d was not in force on %s within %d s".formatted(version,
				instance.name(), TIMEOUT.toSeconds()));
	}

	private StatusAnswer status(StandInInstance instance) {
		return this.client.get(operatorAddress(instance), "/v1/status", StatusAnswer.class)
			.getOrElse(new StatusAnswer(instance.name(), "", "", -1, false, 0, 0, 0, List.of()));
	}

	private static String operatorAddress(StandInInstance instance) {
		return Ports.text(instance.ports().operators());
	}

	private void write(Path folder) throws IOException {
		List<Summary> summaries = new ArrayList<>();
		summaries.add(Summary.of("all", this.changes));
		this.changes.stream()
			.collect(Collectors.groupingBy(Change::fault, TreeMap::new, Collectors.toList()))
			.forEach((fault, changesOfFault) -> summaries.add(Summary.of(fault, changesOfFault)));
		Files.createDirectories(folder);
		Files.writeString(folder.resolve("document.json"),
				OperatorJson.pretty(new Result(this.deployment.instances().size(), summaries, this.changes)));
		summaries
			.forEach((summary) -> System.out.printf("%-12s %4d changes  median %8.1f ms  p99 %8.1f ms  max %8.1f ms%n",
					summary.fault(), summary.changes(), summary.medianMillis(), summary.p99Millis(),
					summary.maxMillis()));
	}

	/**
	 * The fault that is active during a change.
	 */
	private enum Fault {

		/** No fault. */
		NONE,

		/** The next two writes to the store are applied, but their responses are lost. */
		ANSWER_LOST,

		/** The store takes half a second to respond. */
		STORE_SLOW,

		/** One daemon is isolated from all other daemons. */
		PEERS_CUT,

		/** One daemon is isolated from the store. */
		STORE_CUT

	}

	/**
	 * A measured change.
	 *
	 * @param version version of the document that the change created
	 * @param fault name of the fault that was active
	 * @param millis time from acceptance until the version was in force on all daemons,
	 * in milliseconds
	 */
	private record Change(long version, String fault, double millis) {

	}

	/**
	 * Statistics of the changes with the same fault, in milliseconds.
	 *
	 * @param fault name of the fault, or {@code all}
	 * @param changes number of changes
	 * @param medianMillis median time
	 * @param p99Millis 99th percentile
	 * @param maxMillis longest time
	 */
	private record Summary(String fault, int changes, double medianMillis, double p99Millis, double maxMillis) {

		static Summary of(String fault, List<Change> changes) {
			double[] sorted = changes.stream().mapToDouble(Change::millis).sorted().toArray();
			return new Summary(fault, sorted.length, sorted[sorted.length / 2],
					sorted[Math.min(sorted.length - 1, sorted.length * 99 / 100)], sorted[sorted.length - 1]);
		}

	}

	/**
	 * Results of the benchmark.
	 *
	 * @param daemons number of daemons
	 * @param summaries statistics by fault
	 * @param changes the individual changes
	 */
	private record Result(int daemons, List<Summary> summaries, List<Change> changes) {

	}

}
