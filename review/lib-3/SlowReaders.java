import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

/**
 * Some callers of one machine read large answers slowly, while others on the same machine
 * send small requests that may not be repeated.
 */
final class SlowReaders {

	private static final double MEAN_BYTES = 90_000;

	private static final double SPREAD = 0.6;

	private static final int MOST_BYTES = 540_000;

	private static final int SLOW_CALLERS = 12;

	private static final double DOWNLOADS_PER_SECOND = 8;

	private static final int SLOW_BYTES_PER_SECOND = 20_000;

	private static final double PATIENCE = 20;

	private static final double TROUBLE_SECONDS = 40;

	private static final int POST_TIMEOUT_MILLIS = 1000;

	private static final int POST_DEADLINE_MILLIS = 3000;

	private record Post(String id, double sentAt, double endAt, String end) {
	}

	/** As long after the slow callers as the rules count a machine as slowed by them. */
	private static final double CHOKED_SECONDS = 6;

	private static final double JUDGED_SECONDS = 10;

	private static volatile boolean stop;

	private static volatile boolean readersStop;

	private static String verdict = "not run";

	private SlowReaders() {
	}

	public static void main(String[] args) throws Exception {
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		Path folder = Files.createTempDirectory("slow-readers");
		List<Kit.Machine> machines = new ArrayList<>();
		List<Kit.Backend> backends = new ArrayList<>();
		int exit = 2;
		try {
			Kit.Store store = new Kit.Store("127.0.8.1");
			store.write("op", "config",
					Kit.config(3, Kit.route("pack", "cat.example", "/pack/", "catsvc", "download", 10000) + ","
							+ Kit.route("post", "cat.example", "/post/", "catsvc", "unsafe", POST_TIMEOUT_MILLIS),
							Kit.service("catsvc", false, "heartbeat")));
			for (int i = 1; i <= 3; i++) {
				machines.add(new Kit.Machine(folder, "m" + i, "z" + i, "127.0.8." + (10 + i), "catsvc", store.address,
						"heartbeat"));
			}
			for (Kit.Machine machine : machines) {
				machine.start();
			}
			Random sizes = new Random(7);
			for (Kit.Machine machine : machines) {
				Kit.Backend backend = new Kit.Backend(machine.name + "-b", "i-" + machine.name, "catsvc", machine.zone,
						false, machine.application, machine.control, 14);
				backend.content = (request) -> request.start().contains("/pack/") ? new byte[size(sizes)] : "ok".getBytes();
				backends.add(backend.start());
			}
			Kit.awaitTrue(20, () -> machines.stream().allMatch(Kit.Machine::ready), "all daemons are ready");
			Kit.sleep(2);
			Kit.Machine entry = machines.get(0);
			List<Post> posts = Collections.synchronizedList(new ArrayList<>());
			List<Thread> threads = new ArrayList<>();
			for (int i = 0; i < 10; i++) {
				threads.add(Kit.spawn(() -> post(entry, posts)));
			}
			Kit.sleep(3);
			Kit.log("large answers are asked for, read %s", trouble ? "slowly" : "at once");
			List<Thread> readers = new ArrayList<>();
			for (int i = 0; i < SLOW_CALLERS; i++) {
				readers.add(Kit.spawn(() -> download(entry, trouble)));
			}
			Kit.sleep(TROUBLE_SECONDS);
			readersStop = true;
			for (Thread reader : readers) {
				reader.join();
			}
			Kit.log("all readers of large answers have left");
			Kit.sleep(CHOKED_SECONDS);
			double judgedFrom = Kit.now();
			Kit.sleep(JUDGED_SECONDS);
			stop = true;
			for (Thread thread : threads) {
				thread.join();
			}
			boolean kept = judge(posts, backends, judgedFrom);
			exit = kept ? 0 : 1;
			for (Kit.Machine machine : machines) {
				long errors = Files.readAllLines(machine.output).stream().filter((line) -> line.contains("OutOfMemoryError")).count();
				Kit.log("%s: process alive %s, ready %s, OutOfMemoryError in %d lines of its log", machine.name,
						machine.process.isAlive(), machine.ready(), errors);
			}
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

	private static synchronized int size(Random random) {
		return (int) Math.min(MOST_BYTES, MEAN_BYTES * Math.exp(SPREAD * random.nextGaussian() - SPREAD * SPREAD / 2));
	}

	// Of the requests that are unanswered at their route's timeout, more than half may not
	// be without an answer half a second later.
	private static boolean judge(List<Post> posts, List<Kit.Backend> backends, double judgedFrom) {
		Map<String, Integer> before = new TreeMap<>();
		Map<String, Integer> judged = new TreeMap<>();
		int late = 0;
		int unanswered = 0;
		for (Post post : posts) {
			boolean ran = backends.stream().anyMatch((backend) -> backend.runs.containsKey(post.id));
			Map<String, Integer> ends = (post.sentAt < judgedFrom) ? before : judged;
			ends.merge(post.end + (ran ? ", ran" : ", not run"), 1, Integer::sum);
			double after = post.endAt - post.sentAt;
			boolean answered = post.end.startsWith("answered");
			if (!post.end.equals("answered 200")) {
				Kit.log("caller: %s sent at %.3f: %s after %.3f s, %s", post.id, post.sentAt, post.end, after,
						ran ? "ran" : "not run");
			}
			if (post.sentAt >= judgedFrom && after > POST_TIMEOUT_MILLIS / 1000.0) {
				late++;
				unanswered += (!answered || after > POST_TIMEOUT_MILLIS / 1000.0 + 0.5) ? 1 : 0;
			}
		}
		Kit.log("ends of small requests until %.0f s after the readers had left: %s", CHOKED_SECONDS, before);
		verdict = "ends of small requests later: %s; unanswered at the timeout: %d, of these half a second later: %d"
			.formatted(judged, late, unanswered);
		Kit.log("%s", verdict);
		return !(unanswered >= 8 && unanswered * 2 > late);
	}

	// Sends small requests on a kept connection.
	private static void post(Kit.Machine entry, List<Post> posts) {
		Socket socket = null;
		InputStream in = null;
		while (!stop) {
			String id = Kit.newId();
			double sentAt = Kit.now();
			String end;
			try {
				if (socket == null) {
					socket = new Socket();
					socket.connect(entry.outbound, 1000);
					socket.setTcpNoDelay(true);
					in = new BufferedInputStream(socket.getInputStream());
				}
				socket.setSoTimeout(POST_DEADLINE_MILLIS);
				socket.getOutputStream()
					.write(("POST /post/x HTTP/1.1\r\nHost: cat.example\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: "
							+ POST_DEADLINE_MILLIS + "\r\nContent-Length: 1\r\n\r\nb").getBytes());
				Kit.Message answer = Kit.read(in);
				end = (answer == null) ? "closed" : "answered " + answer.status();
				if (answer == null || answer.header("Connection").contains("close")) {
					close(socket);
					socket = null;
				}
			}
			catch (SocketTimeoutException ex) {
				end = "no answer";
				close(socket);
				socket = null;
			}
			catch (IOException ex) {
				end = "closed: " + ex.getMessage();
				close(socket);
				socket = null;
			}
			posts.add(new Post(id, sentAt, Kit.now(), end));
			Kit.sleep(0.2);
		}
		close(socket);
	}

	private static void close(Socket socket) {
		try {
			if (socket != null) {
				socket.close();
			}
		}
		catch (IOException ex) {
			// Closed before.
		}
	}

	// Asks for large answers one behind the other on one connection, and leaves when the
	// first of them is not there by its deadline.
	private static void download(Kit.Machine entry, boolean slowly) {
		while (!readersStop) {
			try (Socket socket = new Socket()) {
				if (slowly) {
					socket.setReceiveBufferSize(16_384);
				}
				socket.connect(entry.outbound, 1000);
				socket.setSoTimeout(1000);
				double begun = Kit.now();
				Thread reader = Kit.quietly(() -> {
					byte[] piece = new byte[slowly ? SLOW_BYTES_PER_SECOND / 10 : 65_536];
					while (socket.getInputStream().read(piece) >= 0) {
						if (slowly) {
							Kit.sleep(0.1);
						}
					}
				});
				int sent = 0;
				while (!readersStop && Kit.now() - begun < PATIENCE) {
					socket.getOutputStream()
						.write(("GET /pack/x HTTP/1.1\r\nHost: cat.example\r\nX-Request-Id: " + Kit.newId()
								+ "\r\nX-Deadline-Ms: 20000\r\n\r\n").getBytes());
					sent++;
					Kit.sleep(1 / DOWNLOADS_PER_SECOND);
				}
				Kit.log("reader of large answers leaves after %d requests", sent);
				socket.close();
				reader.join();
			}
			catch (IOException | InterruptedException ex) {
				Kit.log("reader of large answers: %s", ex.getMessage());
				Kit.sleep(0.2);
			}
		}
	}

}
