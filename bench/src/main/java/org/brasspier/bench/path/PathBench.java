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
 * What the way of a request costs: the latency that a daemon adds over asking the backend
 * server directly, requests a second, processor time and memory of one daemon. All rounds
 * of all ways alternate in one run on one machine, so that they meet the same conditions.
 * Takes about a minute; writes JSON.
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
	 * Measures, prints one JSON object and writes it to {@code path.json}.
	 * @param output the folder for results
	 * @throws IOException if a result can't be written
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
				for (int path = 0; path < paths.size(); path++) {
					load.run(paths.get(path), 1, ROUND_DURATION, latencies.get(path));
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
	 * Latencies of one caller that asks again and again, in microseconds.
	 *
	 * @param requests how many were measured
	 * @param p50 the median
	 * @param p99 the 99th percentile
	 */
	private record Latency(long requests, long p50, long p99) {

	}

	/**
	 * What 32 callers that ask again and again get.
	 *
	 * @param perSecond requests a second
	 * @param entryCpuMicros processor time of the entry daemon for each request
	 * @param ownerCpuMicros processor time of the other daemon for each request
	 * @param p50 the median latency in microseconds
	 * @param p99 the 99th percentile in microseconds
	 * @param failures answers that were not 200
	 */
	private record Throughput(long perSecond, double entryCpuMicros, double ownerCpuMicros, long p50, long p99,
			long failures) {

	}

	private record Result(Latency direct, Latency local, Latency hop, Throughput directLoad, Throughput localLoad,
			Throughput hopLoad, long idleResidentKilobytes, long loadedResidentKilobytes) {

	}

}
