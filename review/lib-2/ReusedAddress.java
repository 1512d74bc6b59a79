import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A machine is lost for good, and another one comes at its address. The last write of the
 * lost machine is done late by the store. Broken if the keys of the new machine's backend
 * are given to others while it holds them.
 */
final class ReusedAddress {

	private static final int ADDRESS_REUSE = 2000;

	/** When a backend drains, after the new machine was started. */
	private static final int DRAIN_AFTER = 1500;

	private final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

	private final int lateMillis = Integer.parseInt(System.getenv().getOrDefault("LATE_MS", "5950"));

	private final Log log;

	private volatile boolean stopped;

	private final AtomicInteger served = new AtomicInteger();

	private ReusedAddress(Log log) {
		this.log = log;
	}

	// Several deployments beside each other: whether the keys are taken while they are
	// held depends on when the daemons read the leases.
	public static void main(String[] arguments) throws Exception {
		int status = 2;
		try (Log log = new Log(Path.of(arguments[0]))) {
			List<Thread> deployments = new ArrayList<>();
			int[] results = { 2, 2, 2 };
			for (int i = 0; i < results.length; i++) {
				int number = i;
				deployments.add(Thread.ofPlatform().start(() -> {
					try {
						results[number] = new ReusedAddress(log.part("deployment " + (number + 1))).run();
					}
					catch (Exception ex) {
						log.say("deployment %d could not run: %s", number + 1, ex);
					}
				}));
				Thread.sleep(700);
			}
			for (Thread each : deployments) {
				each.join();
			}
			List<Integer> all = java.util.Arrays.stream(results).boxed().toList();
			status = all.contains(1) ? 1 : all.contains(2) ? 2 : 0;
			log.say("broken in %d of %d deployments", all.stream().filter((each) -> each == 1).count(), all.size());
		}
		System.exit(100 + status);
	}

	private int run() throws Exception {
		try (Deployment all = new Deployment(this.log)) {
			Keys keys = new Keys(this.log);
			Machine front = all.machine("m-1", "z-1", "front");
			Machine two = all.machine("m-2", "z-1", "budgets");
			Machine four = all.machine("m-4", "z-1", "budgets");
			Machine three = all.machine("m-3", "z-2", "budgets");
			all.config(1,
					List.of(Deployment.route("budgets", "budgets.example", "/budgets/", "unsafe", 5000, 2000,
							"budgets", 2)),
					List.of(Deployment.service("front", false, ""), Deployment.service("orders", false, ""),
							Deployment.service("budgets", true, "heartbeat")));
			all.start();
			all.others.add(new Backend("i-front", front, 10, this.log));
			all.others.add(new KeyedBackend("i-2", two, 10, this.log, keys));
			KeyedBackend other = new KeyedBackend("i-4", four, 10, this.log, keys);
			all.others.add(other);
			KeyedBackend old = new KeyedBackend("i-3", three, 10, this.log, keys);
			all.others.add(old);
			Thread.ofVirtual().start(() -> {
				while (!this.stopped) {
					keys.sample(System.nanoTime());
					sleep(20);
				}
			});
			Thread.sleep(9000);
			List<Thread> clients = new ArrayList<>();
			for (int i = 0; i < 24; i++) {
				int number = i;
				clients.add(Thread.ofVirtual().start(() -> client(front, number)));
			}
			Thread.sleep(2000);
			Machine lost = all.machine("m-9", "z-2", "orders");
			lost.start();
			if (!lost.awaitReady(20)) {
				return 2;
			}
			CountDownLatch unanswered = new CountDownLatch(this.trouble ? 1 : 0);
			if (this.trouble) {
				all.store.lateResult = (status) -> {
					this.log.say((status == 0) ? "the store does not answer a write of member/m-9"
							: "the store has done that write, status " + status);
					unanswered.countDown();
				};
				all.store.loseNextWrite("member/m-9", this.lateMillis);
			}
			Backend first = new Backend("i-9", lost, 10, this.log);
			if (!unanswered.await(5, TimeUnit.SECONDS)) {
				this.log.say("machine m-9 has written nothing");
				return 2;
			}
			Thread.sleep(30);
			first.close();
			lost.kill();
			this.log.say("machine m-9 is lost for good");
			Thread.sleep(ADDRESS_REUSE);
			Machine next = new Machine("m-5", "budgets", lost);
			all.machines.add(next);
			next.start();
			KeyedBackend newcomer = new KeyedBackend("i-5", next, 10, this.log, keys);
			all.others.add(newcomer);
			Thread.sleep(DRAIN_AFTER);
			this.log.say("i-3 says that it is draining");
			old.state = "draining";
			Thread.sleep(600);
			this.log.say("i-4 says that it is draining");
			other.state = "draining";
			for (int i = 0; i < 16; i++) {
				Thread.sleep(1000);
				this.log.line("i-5 holds %d keys", newcomer.heldCount());
			}
			this.stopped = true;
			for (Thread each : clients) {
				each.join();
			}
			this.log.say("%d requests served; %d keys held by two backends for over half a second; %d keys given to a "
					+ "backend while another was at work on them", this.served.get(), keys.sharedLong, keys.takenAtWork);
			return (keys.sharedLong + keys.takenAtWork > 0) ? 1 : 0;
		}
	}

	private static void sleep(int millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void client(Machine entry, int client) {
		for (int i = 0; !this.stopped; i++) {
			String id = "b" + client + "-" + i;
			int key = ThreadLocalRandom.current().nextInt(Keys.COUNT);
			try (Caller caller = new Caller(entry)) {
				caller.send("POST", "budgets.example", "/budgets/" + i, id, 5000, "X-Shard-Key: " + key + "\r\n",
						new byte[5]);
				Http answer = caller.receive(6000);
				this.log.line("client gets %s, key %d: %d", id, key, (answer == null) ? 0 : answer.status());
				if (answer != null && answer.status() == 200) {
					this.served.incrementAndGet();
				}
				else {
					Thread.sleep(100);
				}
			}
			catch (IOException | InterruptedException ex) {
				this.log.line("client: %s ended: %s", id, ex.getMessage());
			}
		}
	}

}
