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
 * late. Broken if requests reach the backend after that, once all machines are in touch.
 */
final class DepartedServer {

	private static final int STABLE_WINDOW = 3000;

	private static final int DRAIN = 2000;

	private final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

	private final boolean outage = this.trouble && !Boolean.getBoolean("noOutage");

	private final boolean kill = this.trouble && !Boolean.getBoolean("noKill");

	private final Log log;

	private final Map<String, Long> sentMillis = new ConcurrentHashMap<>();

	private final ConcurrentLinkedQueue<String> reached = new ConcurrentLinkedQueue<>();

	private final Set<String> served = ConcurrentHashMap.newKeySet();

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
		System.exit(status);
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
					return new Backend.Done(200, "", "done".getBytes(StandardCharsets.UTF_8));
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
			server.beating = false;
			this.log.line("heartbeat of i-leaving, held up on its way: %s", late);
			Thread.sleep(200);
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
			sleepUntil(acknowledged + 2300);
			answer = sendLate(server, late);
			this.log.say("the late heartbeat arrives, %d ms after the departure was acknowledged: %s",
					this.log.millis() - acknowledged, answer.first());
			if (this.outage) {
				sleepUntil(acknowledged + 2500);
				all.store.mode(Store.Mode.UP);
				this.log.say("the store answers again");
				inTouch = Math.max(inTouch, this.log.millis() + STABLE_WINDOW);
			}
			long bound = Math.max(acknowledged + DRAIN, inTouch) + 200;
			sleepUntil(bound + 4000);
			server.close();
			this.log.say("i-leaving exits");
			Thread.sleep(2000);
			this.stopped = true;
			for (Thread each : clients) {
				each.join();
			}
			long broken = this.reached.stream().filter((id) -> this.sentMillis.get(id) > bound).count();
			long sent = this.sentMillis.values().stream().filter((at) -> at > bound).count();
			this.log.say("%d of %d requests that were sent over %d ms after the acknowledgement, with all machines in touch, "
					+ "reached i-leaving", broken, sent, bound - acknowledged);
			long cut = this.reached.stream().filter((id) -> this.sentMillis.get(id) > bound && !this.served.contains(id)).count();
			this.log.say("%d orders of these were begun by i-leaving and never answered with a success", cut);
			return (broken > 0) ? 1 : 0;
		}
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
