import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A backend spoils some of its answers: ahead of its answer 500 comes a late second answer
 * to the request before on that connection, of which only the head comes, and behind it an
 * extra answer 200. Broken if a client gets the 200.
 */
final class HiddenFailure {

	private static final int CLIENTS = 4;

	private static final int REQUESTS = 250;

	/** One answer in so many is spoilt. */
	private static final int SPOILT_EACH = 34;

	private final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

	private final Log log;

	/** What the backend answered first, by the id of the request. */
	private final Map<String, Integer> answered = new ConcurrentHashMap<>();

	private final Set<String> spoilt = ConcurrentHashMap.newKeySet();

	private final AtomicInteger requests = new AtomicInteger();

	private final AtomicInteger wrong = new AtomicInteger();

	private final Map<Integer, AtomicInteger> statuses = new ConcurrentHashMap<>();

	private HiddenFailure(Log log) {
		this.log = log;
	}

	public static void main(String[] arguments) throws Exception {
		int status = 2;
		try (Log log = new Log(Path.of(arguments[0]))) {
			status = new HiddenFailure(log).run();
		}
		catch (Exception ex) {
			System.out.println("the case could not run: " + ex);
		}
		System.exit(100 + status);
	}

	private int run() throws Exception {
		try (Deployment all = new Deployment(this.log)) {
			Machine front = all.machine("m-1", "z-1", "front");
			Machine orders = all.machine("m-2", "z-1", "orders");
			all.config(1,
					List.of(Deployment.route("orders", "orders.example", "/orders/", "unsafe", 1500, 250, "orders",
							2)),
					List.of(Deployment.service("front", false, ""), Deployment.service("orders", false, "")));
			all.start();
			all.others.add(new Backend("i-front", front, 10, this.log));
			Backend server = new Backend("i-orders", orders, 10, this.log);
			server.work = this::work;
			server.wire = this::send;
			all.others.add(server);
			Thread.sleep(5000);
			List<Thread> clients = new ArrayList<>();
			for (int i = 0; i < CLIENTS; i++) {
				int number = i;
				clients.add(Thread.ofVirtual().start(() -> client((number % 2 == 0) ? front : orders, number)));
			}
			for (Thread each : clients) {
				each.join();
			}
			this.log.say("%d requests, statuses %s, %d spoilt answers", CLIENTS * REQUESTS, this.statuses,
					this.spoilt.size());
			this.log.say("%d clients got a success where the backend had answered 500", this.wrong.get());
			if (this.statuses.getOrDefault(200, new AtomicInteger()).get() < REQUESTS) {
				return 2;
			}
			return (this.wrong.get() > 0) ? 1 : 0;
		}
	}

	private Backend.Done work(Http request) throws InterruptedException {
		Thread.sleep(15);
		boolean fails = this.requests.incrementAndGet() % SPOILT_EACH == 0;
		String id = request.field("X-Request-Id");
		this.answered.put(id, fails ? 500 : 200);
		return fails ? new Backend.Done(500, "", "the order can't be booked".getBytes(StandardCharsets.UTF_8))
				: new Backend.Done(200, "", ("booked " + id).getBytes(StandardCharsets.UTF_8));
	}

	private void send(OutputStream out, Http request, byte[] answer, String before)
			throws IOException, InterruptedException {
		String id = request.field("X-Request-Id");
		if (!this.trouble || this.answered.getOrDefault(id, 0) != 500 || before.isEmpty()) {
			out.write(answer);
			return;
		}
		this.spoilt.add(id);
		this.log.line("the backend sends the head of a second answer to %s, its answer 500 to %s, and an extra 200", before,
				id);
		// The length that the late copy states is that of an answer of this service.
		byte[] copy = head(before, answer.length);
		out.write(copy);
		out.write(answer);
		out.flush();
		Thread.sleep(20);
		byte[] body = ("booked " + id).getBytes(StandardCharsets.UTF_8);
		out.write(head(id, body.length));
		out.write(body);
	}

	private static byte[] head(String id, int length) {
		return ("HTTP/1.1 200 X\r\nX-Request-Id: " + id + "\r\nX-Server-Stamp: i-orders." + id
				+ "\r\nKeep-Alive: timeout=10\r\nContent-Length: " + length + "\r\n\r\n")
			.getBytes(StandardCharsets.ISO_8859_1);
	}

	private void client(Machine entry, int client) {
		Caller caller = null;
		for (int i = 0; i < REQUESTS; i++) {
			String id = "c" + client + "-" + i;
			int status = 0;
			try {
				if (caller == null) {
					caller = new Caller(entry);
				}
				caller.send("POST", "orders.example", "/orders/" + id, id, 1500, "", new byte[20]);
				Http answer = caller.receive(2500);
				status = (answer == null) ? 0 : answer.status();
			}
			catch (IOException ex) {
				this.log.line("client: %s ended: %s", id, ex.getMessage());
			}
			if (status == 0) {
				caller = null;
			}
			this.log.line("client gets %s: %d, the backend answered %s", id, status, this.answered.get(id));
			this.statuses.computeIfAbsent(status, (key) -> new AtomicInteger()).incrementAndGet();
			if (status == 200 && this.answered.getOrDefault(id, 0) != 200) {
				this.wrong.incrementAndGet();
			}
		}
	}

}
