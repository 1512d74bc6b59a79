import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A backend fails part of its requests, after it has carried them out, with a 503 that
 * does not say that the request was not run. Broken if a client is told 429 or 503 for an
 * order that has run.
 */
final class FailingServer {

	private static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);

	/** Repeats of a client, as on the sheet of the site. */
	private static final int REPEATS = 2;

	private static final int CLIENTS = 6;

	private static final int ORDERS = 60;

	private static final double FAILED_PART = 0.4;

	private final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

	private final Log log;

	private final Set<String> ran = ConcurrentHashMap.newKeySet();

	/** How often each order was carried out. */
	private final Map<String, AtomicInteger> carriedOut = new ConcurrentHashMap<>();

	private final AtomicInteger failed = new AtomicInteger();

	private final AtomicInteger refusedAndRun = new AtomicInteger();

	private final AtomicInteger served = new AtomicInteger();

	private FailingServer(Log log) {
		this.log = log;
	}

	public static void main(String[] arguments) throws Exception {
		int status = 2;
		try (Log log = new Log(Path.of(arguments[0]))) {
			status = new FailingServer(log).run();
		}
		catch (Exception ex) {
			System.out.println("the case could not run: " + ex);
		}
		System.exit(100 + status);
	}

	private int run() throws Exception {
		try (Deployment all = new Deployment(this.log)) {
			Machine front = all.machine("m-1", "z-1", "front");
			all.machine("m-2", "z-1", "orders");
			all.machine("m-3", "z-2", "orders");
			all.config(1,
					List.of(Deployment.route("orders", "orders.example", "/orders/", "unsafe", 1500, 250, "orders",
							2)),
					List.of(Deployment.service("front", false, ""), Deployment.service("orders", false, "")));
			all.start();
			for (Machine machine : all.machines) {
				Backend backend = new Backend("i-" + machine.name, machine, 10, this.log);
				boolean fails = this.trouble && machine.name.equals("m-2");
				Random random = new Random(1);
				backend.work = (request) -> carryOut(request, fails, random);
				all.others.add(backend);
			}
			Thread.sleep(5000);
			List<Thread> clients = new ArrayList<>();
			for (int i = 0; i < CLIENTS; i++) {
				int number = i;
				clients.add(Thread.ofVirtual().start(() -> client(front, number)));
			}
			for (Thread each : clients) {
				each.join();
			}
			long twice = this.carriedOut.values().stream().filter((count) -> count.get() > 1).count();
			this.log.say("%d orders, %d served, %d failed by the backend after it had carried them out",
					CLIENTS * ORDERS, this.served.get(), this.failed.get());
			this.log.say("%d requests that ran were answered with a status that says that they have not",
					this.refusedAndRun.get());
			this.log.say("%d orders were carried out more than once, since the client trusted that status", twice);
			if (this.trouble && this.failed.get() == 0) {
				return 2;
			}
			return (this.refusedAndRun.get() > 0) ? 1 : 0;
		}
	}

	private Backend.Done carryOut(Http request, boolean fails, Random random) throws InterruptedException {
		Thread.sleep(60);
		String id = request.field("X-Request-Id");
		this.ran.add(id);
		this.carriedOut.computeIfAbsent(request.target(), (order) -> new AtomicInteger()).incrementAndGet();
		boolean failing;
		synchronized (random) {
			failing = fails && random.nextDouble() < FAILED_PART;
		}
		if (failing) {
			this.failed.incrementAndGet();
			this.log.line("the backend has carried out %s and answers 503", id);
			return new Backend.Done(503, "", "the receipt can't be written".getBytes(StandardCharsets.UTF_8));
		}
		return new Backend.Done(200, "", "done".getBytes(StandardCharsets.UTF_8));
	}

	// Repeats an order only after a status that says that it has not run and never will.
	private void client(Machine entry, int client) {
		for (int i = 0; i < ORDERS; i++) {
			String order = "/orders/" + client + "-" + i;
			for (int attempt = 0; attempt <= REPEATS; attempt++) {
				String id = "c" + client + "-" + i + "-" + attempt;
				int status = order(entry, order, id);
				if (PROMISES.contains(status) && this.ran.contains(id)) {
					this.refusedAndRun.incrementAndGet();
					this.log.line("%s has run, and its client is told %d", id, status);
				}
				if (status == 200) {
					this.served.incrementAndGet();
				}
				if (!PROMISES.contains(status)) {
					break;
				}
			}
		}
	}

	private int order(Machine entry, String order, String id) {
		try (Caller caller = new Caller(entry)) {
			this.log.line("client sends %s, %s", id, order);
			caller.send("POST", "orders.example", order, id, 1500, "", new byte[20]);
			Http answer = caller.receive(2500);
			int status = (answer == null) ? 0 : answer.status();
			this.log.line("client gets %s: %d, stamp '%s'", id, status,
					(answer == null) ? "" : answer.field("X-Server-Stamp"));
			return status;
		}
		catch (IOException ex) {
			this.log.line("client: %s ended: %s", id, ex.getMessage());
			return 0;
		}
	}

}
