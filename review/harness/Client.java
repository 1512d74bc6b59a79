package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;

/** A client that sends each request on a connection of its own. */
final class Client {

	private static final int PATIENCE_MILLIS = 500;

	private Client() {
	}

	static byte[] request(String method, String path, String id, int deadlineMillis, byte[] body) {
		return Http.message(method + " " + path + " HTTP/1.1\r\nHost: host.example\r\nX-Request-Id: " + id
				+ "\r\nX-Deadline-Ms: " + deadlineMillis + "\r\n", body);
	}

	/**
	 * Sends a request and returns its answer.
	 * @throws IOException if there was none, or no whole one, half a second after the deadline
	 */
	static Http.Message send(InetSocketAddress to, String method, String path, String id, int deadlineMillis, byte[] body)
			throws IOException {
		try (Socket socket = new Socket()) {
			socket.setTcpNoDelay(true);
			socket.connect(to, 1000);
			// Also ends a write that the daemon doesn't read.
			Thread end = Thread.ofVirtual().start(() -> closeAfter(socket, deadlineMillis + PATIENCE_MILLIS));
			try {
				socket.getOutputStream().write(request(method, path, id, deadlineMillis, body));
				Http.Message answer = Http.read(new BufferedInputStream(socket.getInputStream()));
				if (answer == null) {
					throw new IOException("the connection was closed without an answer");
				}
				return answer;
			}
			finally {
				end.interrupt();
			}
		}
	}

	private static void closeAfter(Socket socket, int millis) {
		try {
			Thread.sleep(millis);
			socket.close();
		}
		catch (InterruptedException | IOException ex) {
			// The exchange has ended.
		}
	}

	/** Waits until a request is answered with success. */
	static void awaitServed(Machine machine, String path) throws InterruptedException {
		long end = System.nanoTime() + 20_000_000_000L;
		for (int i = 0; !isServed(machine, path, "first-" + i); i++) {
			if (System.nanoTime() - end > 0) {
				throw new IllegalStateException("nothing is served at " + machine.name());
			}
			Thread.sleep(100);
		}
	}

	private static boolean isServed(Machine machine, String path, String id) {
		try {
			return send(machine.outbound(), "GET", path, id, 2000, new byte[0]).status() == 200;
		}
		catch (IOException ex) {
			return false;
		}
	}

}
