package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case: a machine's daemon gets SIGTERM while a client sends safe requests on a kept
 * connection before the earlier ones have been answered. Each request that was passed on to
 * a backend must be answered.
 */
final class StopCutsPipeline {

	private static final int DEADLINE_MILLIS = 2000;

	private static final int RUN_MILLIS = 150;

	private static final int INTERVAL_MILLIS = 50;

	private static final int SECONDS_AFTER_STOP = 8;

	/** More than the time after which machines are in touch. */
	private static final int SETTLE_MILLIS = 3500;

	private final Record record;

	private final Set<String> run = ConcurrentHashMap.newKeySet();

	private final AtomicInteger lost = new AtomicInteger();

	private final AtomicInteger answered = new AtomicInteger();

	private StopCutsPipeline(Record record) {
		this.record = record;
	}

	private byte[] work(Http.Message request) throws InterruptedException {
		this.run.add(request.field("X-Request-Id"));
		Thread.sleep(RUN_MILLIS);
		return Backend.success(request, "ok".getBytes(StandardCharsets.US_ASCII));
	}

	/** A kept connection with the requests that were sent on it and aren't answered yet. */
	private final class Pipeline {

		private final Socket socket = new Socket();

		private final Deque<String> sent = new ArrayDeque<>();

		private boolean open = true;

		Pipeline(Machine machine) throws IOException {
			this.socket.setTcpNoDelay(true);
			this.socket.connect(machine.outbound(), 1000);
			Thread.ofVirtual().start(this::read);
		}

		synchronized boolean send(String id) {
			if (!this.open) {
				return false;
			}
			try {
				OutputStream out = this.socket.getOutputStream();
				this.sent.add(id);
				record.line("client   sends %s on port %d behind %d", id, this.socket.getLocalPort(), this.sent.size() - 1);
				out.write(Client.request("GET", "/plain/" + id, id, DEADLINE_MILLIS, new byte[0]));
				return true;
			}
			catch (IOException ex) {
				return true;
			}
		}

		private void read() {
			try {
				InputStream in = new BufferedInputStream(this.socket.getInputStream());
				for (Http.Message answer = Http.read(in); answer != null; answer = Http.read(in)) {
					synchronized (this) {
						String id = this.sent.remove();
						answered.incrementAndGet();
						record.line("client   gets %s: %d%s", id, answer.status(),
								answer.field("Connection").contains("close") ? ", the last on this connection" : "");
						if (answer.field("Connection").contains("close")) {
							// What was sent behind it counts as not read and is sent again.
							this.sent.clear();
							break;
						}
					}
				}
			}
			catch (IOException ex) {
				record.line("client   connection of port %d: %s", this.socket.getLocalPort(), ex);
			}
			end();
		}

		private synchronized void end() {
			this.open = false;
			for (String id : this.sent) {
				boolean passedOn = run.contains(id);
				record.line("client   %s ends without an answer; passed on to a backend: %s", id, passedOn);
				if (passedOn) {
					lost.incrementAndGet();
				}
			}
			try {
				this.socket.close();
			}
			catch (IOException ex) {
				// Closed already.
			}
		}

	}

	private boolean run(Machine machine, boolean trouble) throws Exception {
		Pipeline pipeline = new Pipeline(machine);
		long start = System.nanoTime();
		boolean stopped = false;
		int number = 0;
		while (System.nanoTime() - start < (SECONDS_AFTER_STOP + 2) * 1_000_000_000L) {
			if (trouble && !stopped && System.nanoTime() - start > 2_000_000_000L) {
				stopped = true;
				machine.signal("TERM");
			}
			String id = "r-" + number++;
			if (!pipeline.send(id)) {
				try {
					pipeline = new Pipeline(machine);
					pipeline.send(id);
				}
				catch (IOException ex) {
					// Nothing listens: the daemon has closed its port.
				}
			}
			Thread.sleep(INTERVAL_MILLIS);
		}
		Thread.sleep(1000);
		this.record.line("result   %d answered, %d passed on to a backend and not answered", this.answered.get(),
				this.lost.get());
		return this.lost.get() == 0;
	}

	private static boolean play(Record record, Store store, Path temporary, boolean trouble) throws Exception {
		StopCutsPipeline test = new StopCutsPipeline(record);
		store.put("op", "config", Config.document(7, DEADLINE_MILLIS));
		try (Machine one = new Machine("m1", "a", "plain", 1, temporary, store.address(), record);
				Machine two = new Machine("m2", "b", "plain", 2, temporary, store.address(), record)) {
			one.start();
			two.start();
			try (Backend first = new Backend(one, false, (request, out) -> test.work(request), record);
					Backend second = new Backend(two, false, (request, out) -> test.work(request), record)) {
				one.awaitReady();
				two.awaitReady();
				Client.awaitServed(two, "/plain/first");
				Thread.sleep(SETTLE_MILLIS);
				return test.run(two, trouble);
			}
		}
	}

	public static void main(String[] arguments) {
		Case.main(arguments, StopCutsPipeline::play);
	}

}
