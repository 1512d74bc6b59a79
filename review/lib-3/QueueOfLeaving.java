import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A backend server begins to leave while many requests wait beside it.
 */
final class QueueOfLeaving {

	private static final int SLOTS = 18;

	private static final double WORK = 0.08;

	private static final int TIMEOUT_MILLIS = 10_000;

	private static final int DEADLINE_MILLIS = 20_030;

	/** Two servers run 450 requests a second. */
	private static final double USUAL_RATE = 420;

	private static final double BURST = 2.3;

	private static final double BURST_SECONDS = 5.4;

	private static String verdict = "not run";

	private QueueOfLeaving() {
	}

	public static void main(String[] args) throws Exception {
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		Path folder = Files.createTempDirectory("queue-of-leaving");
		List<Kit.Machine> machines = new ArrayList<>();
		List<Kit.Backend> backends = new ArrayList<>();
		int exit = 2;
		try {
			Kit.Store store = new Kit.Store("127.0.9.1");
			store.write("op", "config",
					Kit.config(3,
							Kit.route("look", "book.example", "/look/", "booksvc", "safe", TIMEOUT_MILLIS)
								.replace("\"200ms\"", "\"3125ms\""),
							Kit.service("booksvc", false, "heartbeat").replace("120", "580")));
			for (int i = 1; i <= 2; i++) {
				machines.add(new Kit.Machine(folder, "m" + i, "z" + i, "127.0.9." + (10 + i), "booksvc", store.address,
						"heartbeat"));
			}
			for (Kit.Machine machine : machines) {
				machine.start();
			}
			for (Kit.Machine machine : machines) {
				Kit.Backend backend = new Kit.Backend(machine.name + "-b", "i-" + machine.name, "booksvc", machine.zone,
						false, machine.application, machine.control, SLOTS);
				backend.work = (request) -> WORK;
				backends.add(backend.start());
			}
			Kit.awaitTrue(20, () -> machines.stream().allMatch(Kit.Machine::ready), "all daemons are ready");
			Kit.sleep(2);
			Kit.Machine entry = machines.get(0);
			List<Kit.Result> results = Collections.synchronizedList(new ArrayList<>());
			List<Thread> threads = Collections.synchronizedList(new ArrayList<>());
			send(entry, USUAL_RATE, 3, results, threads);
			Kit.log("%s", trouble ? "burst begins" : "no burst");
			send(entry, trouble ? USUAL_RATE * BURST : USUAL_RATE, BURST_SECONDS, results, threads);
			Kit.Backend leaving = backends.get(0);
			leaving.state = "draining";
			leaving.leaving = true;
			Kit.log("%s begins to leave", leaving.name);
			send(entry, USUAL_RATE / 2, 3, results, threads);
			for (Thread thread : threads) {
				thread.join();
			}
			exit = judge(results, backends) ? 0 : 1;
			long errors = Files.readAllLines(machines.get(0).output)
				.stream()
				.filter((line) -> line.contains("StackOverflowError"))
				.count();
			Kit.log("m1: StackOverflowError in %d lines of its log", errors);
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

	private static void send(Kit.Machine entry, double perSecond, double seconds, List<Kit.Result> results,
			List<Thread> threads) {
		double begun = Kit.now();
		for (int sent = 0; Kit.now() - begun < seconds; sent++) {
			threads.add(Kit.spawn(() -> results.add(Kit.send(entry.outbound, "GET", "/look/x", "book.example",
					DEADLINE_MILLIS, -1, new byte[0]))));
			double next = begun + (sent + 1) / perSecond;
			if (next > Kit.now()) {
				Kit.sleep(next - Kit.now());
			}
		}
	}

	// Of the requests that are unanswered at their route's timeout, more than half may not
	// be without an answer half a second later.
	private static boolean judge(List<Kit.Result> results, List<Kit.Backend> backends) {
		Map<String, Integer> ends = new TreeMap<>();
		int late = 0;
		int unanswered = 0;
		for (Kit.Result result : results) {
			boolean ran = backends.stream().anyMatch((backend) -> backend.runs.containsKey(result.id()));
			ends.merge(result.end() + " " + result.status() + (ran ? ", ran" : ", not run"), 1, Integer::sum);
			double after = result.endAt() - result.sentAt();
			if (after > TIMEOUT_MILLIS / 1000.0) {
				late++;
				if (after > TIMEOUT_MILLIS / 1000.0 + 0.5) {
					unanswered++;
				}
			}
		}
		verdict = "ends: %s; unanswered at the timeout: %d, of these half a second later: %d".formatted(ends, late,
				unanswered);
		Kit.log("%s", verdict);
		return !(unanswered >= 8 && unanswered * 2 > late);
	}

}
