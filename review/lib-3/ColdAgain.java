import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/**
 * A backend server crashes and starts again under the id that it had. It is cold then.
 */
final class ColdAgain {

	private static final int SLOTS = 4;

	private static final double WORK = 0.06;

	private static final double COLD_FACTOR = 2;

	private static final double COLD_SECONDS = 3;

	private static final double PER_SECOND = 7.7;

	private static final double OVERAGE = 1.5;

	private static final double SLACK = 8;

	private static final double RATE = 200;

	private static final double DOWN_SECONDS = 0.5;

	private static volatile boolean stop;

	private static String verdict = "not run";

	private ColdAgain() {
	}

	public static void main(String[] args) throws Exception {
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		Path folder = Files.createTempDirectory("cold-again");
		List<Kit.Machine> machines = new ArrayList<>();
		List<Kit.Backend> backends = new ArrayList<>();
		int exit = 2;
		try {
			Kit.Store store = new Kit.Store("127.0.11.1");
			store.write("op", "config",
					Kit.config(3, Kit.route("post", "levy.example", "/post/", "levysvc", "unsafe", 2500), """
							{"name":"levysvc","health_check_path":"/health","max_connections":580,"protocol":"h1","tls":false,
							"cold_start":"3s","cold_per_s":7.7}"""));
			for (int i = 1; i <= 3; i++) {
				Kit.Machine machine = new Kit.Machine(folder, "m" + i, "z" + i, "127.0.11." + (10 + i), "levysvc",
						store.address, "heartbeat");
				machine.fields.getAsJsonObject("bounds").addProperty("cold_overage", OVERAGE);
				machine.fields.getAsJsonObject("bounds").addProperty("cold_slack", SLACK);
				machines.add(machine);
			}
			for (Kit.Machine machine : machines) {
				machine.start();
			}
			for (Kit.Machine machine : machines) {
				backends.add(backend(machine, machine.name + "-b").start());
			}
			Kit.awaitTrue(20, () -> machines.stream().allMatch(Kit.Machine::ready), "all daemons are ready");
			Kit.sleep(3);
			List<Kit.Result> results = Collections.synchronizedList(new ArrayList<>());
			Thread load = Kit.spawn(() -> load(machines, results));
			Kit.sleep(4);
			Kit.Backend crashed = backends.get(1);
			Kit.Backend again = crashed;
			double started = Kit.now();
			if (trouble) {
				crashed.end();
				Kit.sleep(DOWN_SECONDS);
				again = backend(machines.get(1), "m2-b again");
				again.coldUntilMillis = System.currentTimeMillis() + (long) (1000 * COLD_SECONDS);
				// The heartbeats of a new process have no phase in common with anything.
				again.firstBeatSeconds = 0.435;
				again.start();
				started = Kit.now();
				Kit.log("m2-b starts again under its id, cold for %.0f s, first heartbeat in 0.435 s", COLD_SECONDS);
			}
			Kit.sleep(4);
			stop = true;
			load.join();
			Kit.sleep(3);
			exit = (trouble && !judge(results, again, started)) ? 1 : 0;
		}
		catch (Kit.CannotRun ex) {
			Kit.log("the case can't run: %s", ex.getMessage());
		}
		finally {
			backends.forEach(Kit.Backend::end);
			machines.forEach(Kit.Machine::kill);
			Kit.writeRecord(Path.of(args[0]));
			Kit.delete(folder);
		}
		System.out.println(verdict);
		Kit.exit(exit);
	}

	private static Kit.Backend backend(Kit.Machine machine, String name) throws Exception {
		Kit.Backend backend = new Kit.Backend(name, "i-" + machine.name, "levysvc", machine.zone, false,
				machine.application, machine.control, SLOTS);
		backend.work = (request) -> WORK * ((backend.coldMillis() > 0) ? COLD_FACTOR : 1);
		return backend;
	}

	private static void load(List<Kit.Machine> machines, List<Kit.Result> results) {
		Random random = new Random(1);
		while (!stop) {
			Kit.Machine entry = machines.get(random.nextInt(machines.size()));
			Kit.spawn(() -> results
				.add(Kit.send(entry.outbound, "POST", "/post/x", "levy.example", 2500, -1, "b".getBytes())));
			Kit.sleep(1 / RATE);
		}
	}

	// A cold server may get no more than this in any second.
	private static boolean judge(List<Kit.Result> results, Kit.Backend cold, double started) {
		double bound = PER_SECOND * OVERAGE + SLACK;
		List<Double> arrivals = cold.arrivals.stream().filter((at) -> at < started + COLD_SECONDS - 0.05).toList();
		long most = 0;
		for (double from : arrivals) {
			most = Math.max(most, arrivals.stream().filter((at) -> at >= from && at < from + 1).count());
		}
		Kit.log("arrivals at the cold server, seconds after its start: %s",
				arrivals.stream().map((at) -> "%.2f".formatted(at - started)).toList());
		verdict = "requests: %d; most requests in one second at the cold server: %d, bound %.2f"
			.formatted(results.size(), most, bound);
		Kit.log("%s", verdict);
		return most <= bound;
	}

}
