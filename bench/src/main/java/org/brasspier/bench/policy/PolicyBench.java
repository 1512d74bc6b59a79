package org.brasspier.bench.policy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.Stream;

import com.google.gson.GsonBuilder;

/**
 * Runs all loads for both deployments and writes {@code policy.json} and
 * {@code policy.md}. Since time is virtual, the results are the same on each machine and
 * in each run.
 */
public final class PolicyBench {

	private static final long SEED = 20_260;

	/**
	 * Enough to finish within three minutes, and few enough to leave cores to other
	 * processes.
	 */
	private static final int THREADS = 4;

	private PolicyBench() {
	}

	/**
	 * Runs the loads.
	 * @param args the directory to write to, then the names of the loads to run, all if
	 * none is given
	 * @throws IOException if the results can't be written
	 * @throws InterruptedException if interrupted
	 * @throws ExecutionException if a run failed
	 */
	public static void main(String[] args) throws IOException, InterruptedException, ExecutionException {
		Path directory = Path.of((args.length > 0) ? args[0] : "target/bench");
		List<String> wanted = Stream.of(args).skip(1).toList();
		List<Comparison> comparisons = run(wanted);
		String table = PolicyTable.of(comparisons);
		Files.createDirectories(directory);
		Files.writeString(directory.resolve("policy.json"),
				new GsonBuilder().setPrettyPrinting().create().toJson(comparisons));
		Files.writeString(directory.resolve("policy.md"), table);
		System.out.println(table);
	}

	private static List<Comparison> run(List<String> wanted) throws InterruptedException, ExecutionException {
		List<Comparison> comparisons = new ArrayList<>();
		try (ExecutorService threads = Executors.newFixedThreadPool(THREADS)) {
			List<Future<Comparison>> runs = Stream.of(Deployment.LAKESHORE, Deployment.KLIRING)
				.flatMap((deployment) -> Load.all()
					.stream()
					.filter((load) -> wanted.isEmpty() || wanted.contains(load.name()))
					.map((load) -> threads.submit(() -> Comparison.run(deployment, load, SEED))))
				.toList();
			for (Future<Comparison> each : runs) {
				comparisons.add(each.get());
			}
		}
		return comparisons;
	}

}
