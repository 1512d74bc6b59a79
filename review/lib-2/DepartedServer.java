import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * A backend leaves while the store is down, and its daemon acknowledges that. The daemon
 * is killed and starts again; a heartbeat that the backend sent before it left arrives
 * late. Broken if requests reach the backend after that: later than drain after the
 * machine on which they began had passed on an answer that says that the backend leaves,
 * or, with all machines in touch, after the acknowledgement.
 */
final class DepartedServer {

	private static final int STABLE_WINDOW = 3000;

	private static final int DRAIN = 2000;

	private final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

	/** How late the heartbeat arrives. */
	private final int lateMillis = Integer.parseInt(System.getenv().getOrDefault("LATE_MS", "5200"));

	/** Whether the answers of a backend that leaves say so. */
	private final boolean saysLeaving = !"0".equals(System.getenv("SAYS_LEAVING"));

	private final boolean outage = this.trouble && !Boolean.getBoolean("noOutage");

	private final boolean kill = this.trouble && !Boolean.getBoolean("noKill");

	private final Log log;

	private final Map<String, Long> sentMillis = new ConcurrentHashMap<>();

	private final ConcurrentLinkedQueue<String> reached = new ConcurrentLinkedQueue<>();

	private final Set<String> served = ConcurrentHashMap.newKeySet();

	private volatile boolean left;

	private volatile long passedOn = Long.MAX_VALUE;

	private volatile boolean stopped;

	private DepartedServer(Log log) {
		this.log = log;
	}

	public static void main(String[] arguments) throws Exception {
		int status = 2;
		try (Log log = new Log(Path.of(arguments[0]))) {
			status = new DepartedServer(log).run();
		}
		catch (Exception ex) {
			System.out.println("the case could not run: " + ex);
		}
		System.exit(100 + status);
	}

	private int run() throws Exception {
		try (Deployment all = new Deployment(this.log)) {
			Machine front = all.machine("m-1", "z-1", "front");
			Machine leaving = all.machine("m-2", "z-1", "orders");
			Machine staying = all.machine("m-3", "z-2", "orders");
			all.config(1, List.of(Deployment.route("orders", "orders.example", "/orders/", "unsafe", 3000, 500, "orders", 2)),
					List.of(Deployment.service("front", false, ""), Deployment.service("orders", false, "")));
			all.start();
			all.others.add(new Backend("i-front", front, 13, this.log));
			Backend server = new Backend("i-leaving", leaving, 13, this.log) {

				@Override
				void ran(Http request) {
					DepartedServer.this.reached.add(request.field("X-Request-Id"));
				}

			};
			Backend other = new Backend("i-staying", staying, 13, this.log);
			for (Backend each : List.of(server, other)) {
				each.work = (request) -> {
					Thread.sleep(150);
					String fields = (this.saysLeaving && this.left && each == server) ? "Server-Leaving: 1\r\n" : "";
					return new Backend.Done(200, fields, "done".getBytes(StandardCharsets.UTF_8));
				};
			}
			all.others.add(server);
			all.others.add(other);
			Thread.sleep(5000);
			List<Thread> clients = new ArrayList<>();
			for (int i = 0; i < 20; i++) {
				int number = i;
				clients.add(Thread.ofVirtual().start(() -> client(front, number)));
			}
			Thread.sleep(3000);
			if (this.reached.isEmpty()) {
				this.log.say("no request reached the backend before it left");
				return 2;
			}

			if (this.outage) {
				all.store.mode(Store.Mode.BUSY);
				this.log.say("the store answers 503 to all calls");
			}
			Thread.sleep(500);
			String late = server.heartbeat();
			long madeAt = this.log.millis();
			server.beating = false;
			this.log.line("heartbeat of i-leaving, held up on its way: %s", late);
			Thread.sleep(200);
			this.left = true;
			Http answer = server.send("departure", "");
			long acknowledged = this.log.millis();
			if (answer == null || answer.status() != 200) {
				this.log.say("the departure was not acknowledged");
				return 2;
			}
			this.log.say("the daemon of m-2 acknowledges the departure of i-leaving");
			long inTouch = acknowledged;
			if (this.kill) {
				Thread.sleep(300);
				leaving.kill();
				Thread.sleep(300);
				leaving.start();
				inTouch = Math.max(inTouch, this.log.millis() + STABLE_WINDOW);
			}
			if (this.outage) {
				sleepUntil(acknowledged + 1500);
				all.store.mode(Store.Mode.UP);
				this.log.say("the store answers again");
				inTouch = Math.max(inTouch, this.log.millis() + STABLE_WINDOW);
			}
			sleepUntil(madeAt + this.lateMillis);
			answer = sendLate(server, late);
			this.log.say("the late heartbeat arrives, %d ms after the departure was acknowledged: %s",
					this.log.millis() - acknowledged, answer.first());
			sleepUntil(acknowledged + 9000);
			server.close();
			this.log.say("i-leaving exits");
			Thread.sleep(1000);
			this.stopped = true;
			for (Thread each : clients) {
				each.join();
			}
			long acknowledgedBound = Math.max(acknowledged + DRAIN, inTouch);
			long passedOnBound = (this.passedOn == Long.MAX_VALUE) ? Long.MAX_VALUE : this.passedOn + DRAIN;
			long afterNotice = after(passedOnBound);
			long afterAcknowledgement = after(acknowledgedBound);
			if (this.passedOn < Long.MAX_VALUE) {
				this.log.say("m-1 passed on an answer with Server-Leaving first %d ms after the acknowledgement",
						this.passedOn - acknowledged);
				this.log.say("%d requests that clients sent to m-1 more than %d ms after that reached i-leaving",
						afterNotice, DRAIN);
			}
			this.log.say("%d requests that were sent %d ms and more after the acknowledgement, with all machines in touch, "
					+ "reached i-leaving", afterAcknowledgement, acknowledgedBound - acknowledged);
			long cut = this.reached.stream()
				.filter((id) -> this.sentMillis.get(id) > acknowledgedBound && !this.served.contains(id))
				.count();
			this.log.say("%d of the latter were begun by i-leaving and lost as it exited", cut);
			return (afterNotice + afterAcknowledgement > 0) ? 1 : 0;
		}
	}

	private long after(long bound) {
		return this.reached.stream().filter((id) -> this.sentMillis.get(id) > bound).count();
	}

	// A daemon that starts again opens its port after a moment.
	private static Http sendLate(Backend server, String heartbeat) throws Exception {
		for (int i = 0;; i++) {
			try {
				return server.send("heartbeat", heartbeat);
			}
			catch (IOException ex) {
				if (i == 30) {
					throw ex;
				}
				Thread.sleep(100);
			}
		}
	}

	private void sleepUntil(long millis) throws InterruptedException {
		Thread.sleep(Math.max(0, millis - this.log.millis()));
	}

	private void client(Machine entry, int number) {
		Caller caller = null;
		for (int i = 0; !this.stopped; i++) {
			String id = "order-" + number + "-" + i;
			try {
				if (caller == null) {
					caller = new Caller(entry);
				}
				this.sentMillis.put(id, this.log.millis());
				this.log.line("client sends %s", id);
				caller.send("POST", "orders.example", "/orders/" + i, id, 3000, "", new byte[20]);
				Http answer = caller.receive(4000);
				if (answer == null) {
					throw new IOException("closed");
				}
				this.log.line("client gets %s: %d", id, answer.status());
				if (answer.status() == 200) {
					this.served.add(id);
				}
				if (answer.field("Server-Leaving").equals("1")) {
					this.passedOn = Math.min(this.passedOn, this.log.millis());
				}
				Thread.sleep(30);
			}
			catch (IOException ex) {
				this.log.line("client: the connection of %s ended: %s", id, ex.getMessage());
				caller = null;
			}
			catch (InterruptedException ex) {
				return;
			}
		}
	}

}
