package org.brasspier.bench.ownership;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.locks.LockSupport;
import java.util.function.ToDoubleFunction;

import io.vavr.control.Either;
import org.brasspier.cli.internal.OperatorClient;
import org.brasspier.standins.Await;
import org.brasspier.standins.Deployment;
import org.brasspier.standins.DeploymentShape;
import org.brasspier.standins.Ports;
import org.brasspier.standins.StandInInstance;
import org.brasspier.wire.operator.CellAnswer;
import org.brasspier.wire.operator.ErrorAnswer;
import org.brasspier.wire.operator.OrderAnswer;
import org.brasspier.wire.operator.OrderRequest;

/**
 * Measures the cost of ownership in the Lakeshore deployment without load: control bytes,
 * CPU time and table calls for each role, both idle and during moves of ranges.
 */
public final class OwnershipBench {

	/**
	 * JIT compilation and the setup of connections dominate the CPU time of a process in
	 * its first minute.
	 */
	private static final Duration SETTLE_DURATION = Duration.ofSeconds(75);

	private static final Duration WINDOW_DURATION = Duration.ofSeconds(30);

	private static final int MOVE_COUNT = 20;

	/**
	 * Clock ticks per second, the unit in which Linux reports CPU time in
	 * {@code /proc/PID/stat}.
	 */
	private static final double TICKS_PER_SECOND = 100;

	private static final double MILLIS_PER_SECOND = 1000;

	private final HttpClient http = HttpClient.newHttpClient();

	private final Deployment deployment;

	private final OperatorClient operatorClient;

	private OwnershipBench(Deployment deployment) {
		this.deployment = deployment;
		List<String> daemons = deployment.instances()
			.stream()
			.map((instance) -> Ports.text(instance.ports().operators()))
			.toList();
		this.operatorClient = new OperatorClient(daemons, deployment.operatorSecret(), Duration.ofSeconds(10));
	}

	/**
	 * Runs the benchmark and prints the results as tables.
	 * @param arguments unused
	 * @throws Exception if the deployment does not start or a call fails
	 */
	public static void main(String[] arguments) throws Exception {
		try (Deployment deployment = Deployment.start(DeploymentShape.lakeshore())) {
			new OwnershipBench(deployment).run();
		}
	}

	private void run() throws IOException, InterruptedException {
		Await.until("each service has owners", this::allRangesOwned);
		sleep(SETTLE_DURATION);
		Map<StandInInstance, Reading> before = readings();
		sleep(WINDOW_DURATION);
		report("idle, a second", before, readings(), WINDOW_DURATION.toMillis() / 1000.0);
		Map<StandInInstance, Reading> beforeMoves = readings();
		long startNanos = System.nanoTime();
		for (int i = 0; i < MOVE_COUNT; i++) {
			move(i);
		}
		double seconds = (System.nanoTime() - startNanos) / 1e9;
		report("%d moves one by one in %.1f s, in all".formatted(MOVE_COUNT, seconds), beforeMoves, readings(), 1);
	}

	private boolean allRangesOwned() {
		return this.operatorClient.get("/v1/cell", CellAnswer.class)
			.map((cell) -> cell.members().size() == this.deployment.instances().size()
					&& cell.ranges().stream().noneMatch((range) -> range.owner().isEmpty()))
			.getOrElse(false);
	}

	private static void sleep(Duration time) {
		LockSupport.parkNanos(time.toNanos());
	}

	private CellAnswer cell() {
		return this.operatorClient.get("/v1/cell", CellAnswer.class)
			.getOrElseThrow((error) -> new IllegalStateException(error.toString()));
	}

	private void move(int rangeIndex) {
		CellAnswer cell = cell();
		CellAnswer.Range range = cell.ranges().get(rangeIndex);
		String to = cell.members()
			.stream()
			.filter((member) -> member.service().equals(range.service()) && !member.instance().equals(range.owner()))
			.map(CellAnswer.Member::instance)
			.findFirst()
			.orElseThrow();
		Either<ErrorAnswer, OrderAnswer> answer = this.operatorClient.post("/v1/move",
				new OrderRequest(to, range.service(), range.range(), true), OrderAnswer.class, true);
		if (answer.isLeft()) {
			throw new IllegalStateException(answer.getLeft().toString());
		}
		Await.until("range " + range.range() + " is owned by " + to,
				() -> cell().ranges()
					.stream()
					.anyMatch((current) -> current.range().equals(range.range())
							&& current.service().equals(range.service()) && current.owner().equals(to)));
	}

	private Map<StandInInstance, Reading> readings() throws IOException, InterruptedException {
		Map<StandInInstance, Reading> readings = new LinkedHashMap<>();
		for (StandInInstance instance : this.deployment.instances()) {
			readings.put(instance, reading(instance));
		}
		return readings;
	}

	private Reading reading(StandInInstance instance) throws IOException, InterruptedException {
		URI uri = URI.create("http://" + Ports.text(instance.ports().operators()) + "/metrics");
		HttpRequest request = HttpRequest.newBuilder(uri)
			.header("Authorization", "Bearer " + this.deployment.operatorSecret())
			.build();
		String metrics = this.http.send(request, HttpResponse.BodyHandlers.ofString()).body();
		String[] stat = Files.readString(Path.of("/proc/" + instance.daemon().pid() + "/stat")).split("\\) ", 2)[1]
			.split(" ");
		double cpuSeconds = (Long.parseLong(stat[11]) + Long.parseLong(stat[12])) / TICKS_PER_SECOND;
		return new Reading(counterTotal(metrics, "control_bytes"), counterTotal(metrics, "table_reads"),
				counterTotal(metrics, "table_writes"), cpuSeconds, dutyCpuSeconds(metrics, "ownership"),
				dutyCpuSeconds(metrics, "requests"),
				dutyCpuSeconds(metrics, "operators") + dutyCpuSeconds(metrics, "events"));
	}

	private static double dutyCpuSeconds(String metrics, String name) {
		return metricValue(metrics, "duty_cpu_millis_" + name + " ") / MILLIS_PER_SECOND;
	}

	private static double counterTotal(String metrics, String name) {
		return metricValue(metrics, name + "_total ");
	}

	private static double metricValue(String metrics, String name) {
		return metrics.lines()
			.filter((line) -> !line.startsWith("#") && line.contains(name))
			.mapToDouble((line) -> Double.parseDouble(line.substring(line.lastIndexOf(' ') + 1)))
			.findFirst()
			.orElseThrow(() -> new IllegalStateException("no " + name + " in " + metrics));
	}

	private void report(String title, Map<StandInInstance, Reading> before, Map<StandInInstance, Reading> after,
			double divisor) {
		CellAnswer cell = cell();
		Map<String, List<Reading>> roles = new LinkedHashMap<>();
		after.forEach((instance, reading) -> roles.computeIfAbsent(role(cell, instance), (role) -> new ArrayList<>())
			.add(reading.difference(before.getOrDefault(instance, reading), divisor)));
		System.out
			.println("| " + title + " | control bytes sent | table reads | table writes | processor seconds | ownership"
					+ " | requests | operators, events |");
		System.out.println("| --- | --- | --- | --- | --- | --- | --- | --- |");
		roles.forEach((role,
				readings) -> System.out.println("| %s (mean of %d) | %.0f | %.2f | %.2f | %.4f | %.4f | %.4f | %.4f |"
					.formatted(role, readings.size(), mean(readings, Reading::controlBytes),
							mean(readings, Reading::reads), mean(readings, Reading::writes),
							mean(readings, Reading::cpuSeconds), mean(readings, Reading::ownership),
							mean(readings, Reading::requests), mean(readings, Reading::operators))));
	}

	private static double mean(List<Reading> readings, ToDoubleFunction<Reading> value) {
		return readings.stream().mapToDouble(value).average().orElse(0);
	}

	private static String role(CellAnswer cell, StandInInstance instance) {
		if (instance.name().equals(cell.primary())) {
			return "primary";
		}
		return (instance.name().equals(cell.secondary())) ? "secondary" : "member";
	}

	/**
	 * Resources that one daemon has used since its start.
	 *
	 * @param controlBytes bytes of control frames sent
	 * @param reads reads of the cell's row
	 * @param writes writes of the cell's row
	 * @param cpuSeconds CPU time of the whole process, in seconds
	 * @param ownership CPU time that the daemon accounts to ownership, in seconds
	 * @param requests CPU time that the daemon accounts to requests, in seconds
	 * @param operators CPU time that the daemon accounts to operators and events, in
	 * seconds
	 */
	private record Reading(double controlBytes, double reads, double writes, double cpuSeconds, double ownership,
			double requests, double operators) {

		Reading difference(Reading before, double divisor) {
			return new Reading((this.controlBytes - before.controlBytes) / divisor,
					(this.reads - before.reads) / divisor, (this.writes - before.writes) / divisor,
					(this.cpuSeconds - before.cpuSeconds) / divisor, (this.ownership - before.ownership) / divisor,
					(this.requests - before.requests) / divisor, (this.operators - before.operators) / divisor);
		}

	}

}
