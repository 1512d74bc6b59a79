import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;

/**
 * A backend server: it serves one request at a time on a connection, a number of slots at
 * once, and sends a heartbeat to the daemon beside it at each interval.
 */
class Backend implements AutoCloseable {

	final String id;

	final String service;

	final Machine machine;

	final long born = System.currentTimeMillis();

	final Log log;

	private final ServerSocket port;

	private final Semaphore slots;

	private final int slotCount;

	private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

	volatile boolean beating = true;

	volatile String state = "ready";

	volatile boolean open = true;

	/** How an answer is written to a connection. */
	interface Wire {

		/**
		 * Writes an answer.
		 * @param out the connection
		 * @param request the request
		 * @param answer its answer
		 * @param before the id of the request before it on this connection; empty if none
		 */
		void send(OutputStream out, Http request, byte[] answer, String before)
				throws IOException, InterruptedException;

	}

	volatile Wire wire = (out, request, answer, before) -> out.write(answer);

	/** How a request is run and answered. */
	interface Work {

		/** Returns further header lines and the body; waits as long as the work takes. */
		Done run(Http request) throws InterruptedException, IOException;

	}

	record Done(int status, String fields, byte[] body) {
	}

	volatile Work work = (request) -> new Done(200, "", "done".getBytes(StandardCharsets.UTF_8));

	private long sequence;

	Backend(String id, Machine machine, int slots, Log log) throws IOException {
		this.id = id;
		this.service = machine.service;
		this.machine = machine;
		this.log = log;
		this.slotCount = slots;
		this.slots = new Semaphore(slots, true);
		this.port = new ServerSocket();
		this.port.setReuseAddress(true);
		this.port.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), machine.backendPort), 256);
		Thread.ofVirtual().start(this::accept);
		if (beats()) {
			Thread.ofVirtual().start(this::beat);
		}
	}

	/** Whether heartbeats are sent without a look at their answers. */
	boolean beats() {
		return true;
	}

	private void accept() {
		while (this.open) {
			try {
				Socket socket = this.port.accept();
				this.sockets.add(socket);
				Thread.ofVirtual().start(() -> serve(socket));
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	/** Sets options of an accepted connection. */
	void accepted(Socket socket) throws IOException {
		socket.setTcpNoDelay(true);
	}

	/** The stream from which requests are read. */
	InputStream input(Socket socket) throws IOException {
		return new BufferedInputStream(socket.getInputStream());
	}

	private void serve(Socket socket) {
		try (socket) {
			accepted(socket);
			InputStream in = input(socket);
			String before = "";
			for (Http request = Http.read(in, true); request != null; request = Http.read(in, true)) {
				byte[] answer = answer(request);
				OutputStream out = socket.getOutputStream();
				this.wire.send(out, request, answer, before);
				out.flush();
				before = request.field("X-Request-Id");
			}
		}
		catch (IOException | InterruptedException ex) {
			// The caller closed the connection.
		}
		finally {
			this.sockets.remove(socket);
		}
	}

	private byte[] answer(Http request) throws InterruptedException, IOException {
		String id = request.field("X-Request-Id");
		if (request.target().equals("/health")) {
			boolean well = this.state.equals("ready");
			return message(well ? 200 : 503, "X-Instance-Id: " + this.id + "\r\n", new byte[0]);
		}
		if (id.isEmpty()) {
			return message(400, "X-Not-Executed: 1\r\n", new byte[0]);
		}
		String expected = request.field("X-Expected-Instance");
		if (!expected.isEmpty() && !expected.equals(this.id)) {
			this.log.line("backend %s answers 421 to %s, which expects %s", this.id, id, expected);
			return message(421, "X-Request-Id: " + id + "\r\nX-Instance-Id: " + this.id + "\r\nX-Not-Executed: 1\r\n",
					new byte[0]);
		}
		this.slots.acquire();
		try {
			this.log.line("backend %s runs %s %s %s", this.id, id, request.method(), request.target());
			ran(request);
			Done done = tryRun(request);
			return message(done.status, "X-Request-Id: " + id + "\r\nX-Server-Stamp: " + this.id + "." + id + "\r\n"
					+ done.fields, done.body);
		}
		finally {
			this.slots.release();
		}
	}

	/** Runs a request, or says that it does not. */
	Done tryRun(Http request) throws InterruptedException, IOException {
		return this.work.run(request);
	}

	/** Called when the backend begins to work on a request. */
	void ran(Http request) {
	}

	static byte[] message(int status, String fields, byte[] body) {
		byte[] head = ("HTTP/1.1 " + status + " X\r\n" + fields + "Keep-Alive: timeout=10\r\nContent-Length: "
				+ body.length + "\r\n\r\n")
			.getBytes(StandardCharsets.ISO_8859_1);
		byte[] all = new byte[head.length + body.length];
		System.arraycopy(head, 0, all, 0, head.length);
		System.arraycopy(body, 0, all, head.length, body.length);
		return all;
	}

	private void beat() {
		while (this.open) {
			try {
				if (this.beating) {
					send("heartbeat", heartbeat());
				}
			}
			catch (IOException ex) {
				// The daemon is away.
			}
			try {
				Thread.sleep(870);
			}
			catch (InterruptedException ex) {
				return;
			}
		}
	}

	/** The next heartbeat. */
	synchronized String heartbeat() {
		this.sequence++;
		return """
				{"service":"%s","address":"127.0.0.1:%d","zone":"%s","version":"v1","slots":%d,"state":"%s",\
				"cold_remaining":"0ms","sequence":%d,"born":%d,"holds":%s,"freed":%s}""".formatted(this.service,
				this.machine.backendPort, this.machine.zone, this.slotCount, this.state, this.sequence, this.born,
				holds(), freed());
	}

	String holds() {
		return "[]";
	}

	String freed() {
		return "[]";
	}

	/** Sends a call to the daemon beside this backend; returns the answer. */
	Http send(String call, String body) throws IOException {
		try (Socket socket = new Socket()) {
			socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), this.machine.port(2)), 1000);
			socket.setSoTimeout(1000);
			socket.getOutputStream()
				.write(("POST /brasspier/instances/" + this.id + "/" + call + " HTTP/1.1\r\nHost: control\r\n"
						+ "Content-Type: application/json\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
					.getBytes(StandardCharsets.ISO_8859_1));
			return Http.read(new BufferedInputStream(socket.getInputStream()), false);
		}
	}

	@Override
	public void close() throws IOException {
		this.open = false;
		this.port.close();
		for (Socket socket : this.sockets) {
			socket.close();
		}
	}

}
