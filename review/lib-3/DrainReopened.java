import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/**
 * A backend server that holds keys leaves while the store is down, and the answer to its
 * departure is lost.
 */
final class DrainReopened {

	private static final double DRAIN_SECONDS = 2;

	private static volatile boolean stop;

	private static String verdict = "not run";

	private DrainReopened() {
	}

	public static void main(String[] args) throws Exception {
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		Path folder = Files.createTempDirectory("drain-reopened");
		List<Kit.Machine> machines = new ArrayList<>();
		List<Kit.Backend> backends = new ArrayList<>();
		int exit = 2;
		try {
			Kit.Store store = new Kit.Store("127.0.10.1");
			store.write("op", "config",
					Kit.config(3, Kit.route("book", "book.example", "/book/", "booksvc", "unsafe", 1500),
							Kit.service("booksvc", true, "heartbeat")));
			for (int i = 1; i <= 3; i++) {
				machines.add(new Kit.Machine(folder, "m" + i, "z" + i, "127.0.10." + (10 + i), "booksvc", store.address,
						"heartbeat"));
			}
			for (Kit.Machine machine : machines) {
				machine.start();
			}
			for (Kit.Machine machine : machines) {
				Kit.Backend backend = new Kit.Backend(machine.name + "-b", "i-" + machine.name, "booksvc", machine.zone,
						true, machine.application, machine.control, 14);
				Random times = new Random(2);
				backend.work = (request) -> work(times);
				backends.add(backend.start());
			}
			Kit.awaitTrue(20, () -> machines.stream().allMatch(Kit.Machine::ready), "all daemons are ready");
			Kit.awaitTrue(20, () -> backends.stream().allMatch((backend) -> backend.keysHeld() > 0), "all hold keys");
			Kit.sleep(1);
			List<Kit.Result> results = Collections.synchronizedList(new ArrayList<>());
			List<Thread> threads = Collections.synchronizedList(new ArrayList<>());
			Thread load = Kit.spawn(() -> {
				Random random = new Random(1);
				while (!stop) {
					int key = random.nextInt(65_536);
					Kit.Machine entry = machines.get(random.nextInt(machines.size()));
					threads.add(Kit.spawn(() -> results
						.add(Kit.send(entry.outbound, "POST", "/book/x", "book.example", 1500, key, "b".getBytes()))));
					Kit.sleep(0.016);
				}
			});
			Kit.sleep(2);
			Kit.Backend leaving = backends.get(1);
			if (trouble) {
				store.down = true;
				Kit.log("the store is down: it answers 503");
			}
			leaving.state = "draining";
			leaving.leaving = true;
			Kit.awaitTrue(4, () -> leaving.drainAckNanos != 0, "the draining is acknowledged");
			double acknowledged = Kit.now();
			Kit.sleep(DRAIN_SECONDS + 1);
			boolean told = depart(leaving, trouble);
			if (!told) {
				Kit.sleep(2);
			}
			leaving.end();
			double ended = Kit.now();
			Kit.sleep(0.5);
			store.down = false;
			Kit.log("the store is up");
			Kit.sleep(1);
			stop = true;
			load.join();
			for (Thread thread : List.copyOf(threads)) {
				thread.join();
			}
			exit = judge(results, leaving, acknowledged, ended) ? 0 : 1;
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

	// As long as bookings of the large deployment, 524 ms, with a spread.
	private static synchronized double work(Random times) {
		return Math.min(1.4, 0.524 * Math.exp(0.6 * times.nextGaussian()));
	}

	// Sends the departure through a proxy that resets the connection in place of the
	// answer, and returns whether it was acknowledged.
	private static boolean depart(Kit.Backend leaving, boolean reset) throws IOException {
		Kit.log("%s sends its departure", leaving.name);
		if (!reset) {
			Kit.log("departure acknowledged with %d", leaving.depart(leaving.control, 1000).status());
			return true;
		}
		try (ServerSocket proxy = new ServerSocket(0, 10, InetAddress.getByName("127.0.10.1"))) {
			Kit.quietly(() -> {
				Socket from = proxy.accept();
				Kit.Message request = Kit.read(new BufferedInputStream(from.getInputStream()));
				Kit.Message answer = Kit.call(leaving.control, request.start().replace(" HTTP/1.1", ""),
						"Host: control\r\n", request.body(), 1000);
				Kit.log("the daemon answered the departure with %d; the connection is reset instead", answer.status());
				from.setSoLinger(true, 0);
				from.close();
			});
			leaving.depart((InetSocketAddress) proxy.getLocalSocketAddress(), 1000);
			return true;
		}
		catch (IOException ex) {
			Kit.log("departure not acknowledged: %s", ex.getMessage());
			return false;
		}
	}

	// No request that a caller sent later than the drain time after the acknowledgement
	// may reach the server.
	private static boolean judge(List<Kit.Result> results, Kit.Backend leaving, double acknowledged, double ended) {
		int reached = 0;
		int lost = 0;
		for (Kit.Result result : results) {
			Double begun = leaving.begun.get(result.id());
			if (begun != null && result.sentAt() > acknowledged + DRAIN_SECONDS) {
				reached++;
				lost += (result.status() == 200) ? 0 : 1;
				Kit.log("%s sent %.3f s after the acknowledgement, run from %.3f, %s %d", result.id(),
						result.sentAt() - acknowledged, begun, result.end(), result.status());
			}
		}
		verdict = "sent later than %.1f s after the acknowledgement and run by %s: %d, of these without its answer: %d"
			.formatted(DRAIN_SECONDS, leaving.name, reached, lost);
		Kit.log("%s", verdict);
		return reached == 0;
	}

}
