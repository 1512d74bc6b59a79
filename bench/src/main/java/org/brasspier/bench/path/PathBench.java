package org.brasspier.bench.path;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import com.google.gson.GsonBuilder;
import org.HdrHistogram.Histogram;

/**
 * Measures the cost of the request path: the latency that a daemon adds compared with
 * direct requests to the backend server, the throughput, and the CPU time and memory of a
 * daemon. Latency rounds of all paths alternate within one run on one machine so that
 * they are measured under the same conditions. Takes about a minute and writes JSON.
 */
public final class PathBench {

	private static final int ROUNDS = 8;

	private static final Duration ROUND_DURATION = Duration.ofSeconds(1);

	private static final Duration IDLE_DURATION = Duration.ofSeconds(3);

	private static final Duration WARM_UP_DURATION = Duration.ofSeconds(3);

	private static final Duration SATURATION_DURATION = Duration.ofSeconds(8);

	private static final int SATURATING_CALLERS = 32;

	private static final double MICROS_PER_SECOND = 1e6;

	private PathBench() {
	}

	/**
	 * Runs the benchmark, prints the results as a JSON object and writes them to
	 * {@code path.json}.
	 * @param output the output folder
	 * @throws IOException if a process can not be started or the results can not be
	 * written
	 * @throws InterruptedException if interrupted
	 */
	public static void run(Path output) throws IOException, InterruptedException {
		String json = new GsonBuilder().setPrettyPrinting().create().toJson(measure());
		System.out.println(json);
		Files.createDirectories(output);
		Files.writeString(output.resolve("path.json"), json + "\n");
	}

	private static Result measure() throws IOException, InterruptedException {
		try (PathDeployment deployment = PathDeployment.start(); PathLoad load = new PathLoad()) {
			List<PathLoad.RequestPath> paths = List.of(deployment.direct(), deployment.local(load),
					deployment.hop(load));
			Thread.sleep(IDLE_DURATION);
			long idleKilobytes = deployment.entryResidentKilobytes();
			List<Histogram> latencies = paths.stream().map((path) -> PathLoad.histogram()).toList();
			paths.forEach((path) -> load.run(path, 1, WARM_UP_DURATION, PathLoad.histogram()));
			paths.forEach((path) -> load.run(path, SATURATING_CALLERS, WARM_UP_DURATION, PathLoad.histogram()));
			for (int round = 0; round < ROUNDS; round++) {
				for (int pathIndex = 0; pathIndex < paths.size(); pathIndex++) {
					load.run(paths.get(pathIndex), 1, ROUND_DURATION, latencies.get(pathIndex));
				}
			}
			List<Throughput> throughputs = new ArrayList<>();
			for (PathLoad.RequestPath path : paths) {
				throughputs.add(measureThroughput(deployment, load, path));
			}
			return new Result(latency(latencies.get(0)), latency(latencies.get(1)), latency(latencies.get(2)),
					throughputs.get(0), throughputs.get(1), throughputs.get(2), idleKilobytes,
					deployment.entryResidentKilobytes());
		}
	}

	private static Throughput measureThroughput(PathDeployment deployment, PathLoad load, PathLoad.RequestPath path) {
		Histogram histogram = PathLoad.histogram();
		Duration entryCpuBefore = deployment.entryCpu();
		Duration ownerCpuBefore = deployment.ownerCpu();
		long startNanos = System.nanoTime();
		load.run(path, SATURATING_CALLERS, SATURATION_DURATION, histogram);
		double seconds = (System.nanoTime() - startNanos) / (double) TimeUnit.SECONDS.toNanos(1);
		long count = histogram.getTotalCount();
		return new Throughput(Math.round(count / seconds),
				cpuMicrosPerRequest(deployment.entryCpu().minus(entryCpuBefore), count),
				cpuMicrosPerRequest(deployment.ownerCpu().minus(ownerCpuBefore), count),
				histogram.getValueAtPercentile(50), histogram.getValueAtPercentile(99), load.failures());
	}

	private static double cpuMicrosPerRequest(Duration cpu, long count) {
		return Math.round(cpu.toNanos() / 1e9 * MICROS_PER_SECOND / Math.max(1, count) * 10) / 10.0;
	}

	private static Latency latency(Histogram histogram) {
		return new Latency(histogram.getTotalCount(), histogram.getValueAtPercentile(50),
				histogram.getValueAtPercentile(99));
	}

	/**
	 * Latencies of one caller that sends requests back to back, in microseconds.
	 *
	 * @param requests number of requests measured
	 * @param p50 the median
	 * @param p99 the 99th percentile
	 */
	private record Latency(long requests, long p50, long p99) {

	}

	/**
	 * Throughput and latencies of 32 callers that send requests back to back.
	 *
	 * @param perSecond requests per second
	 * @param entryCpuMicros CPU time of the entry daemon per request, in microseconds
	 * @param ownerCpuMicros CPU time of the other daemon per request, in microseconds
	 * @param p50 the median latency in microseconds
	 * @param p99 the 99th percentile in microseconds
	 * @param failures number of requests that failed or were not answered with status 200
	 */
	private record Throughput(long perSecond, double entryCpuMicros, double ownerCpuMicros, long p50, long p99,
			long failures) {

	}

	private record Result(Latency direct, Latency local, Latency hop, Throughput directLoad, Throughput localLoad,
			Throughput hopLoad, long idleResidentKilobytes, long loadedResidentKilobytes) {

	}

}
