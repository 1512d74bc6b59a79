package org.brasspier.daemon.internal.http;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

import org.brasspier.core.request.HeaderField;
import org.brasspier.daemon.mesh.AnswerIdentity;

/**
 * A server whose connections each follow a script, in a thread of their own.
 */
final class ScriptedServer implements AutoCloseable {

	private final ServerSocket socket = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());

	private final AtomicInteger connections = new AtomicInteger();

	ScriptedServer(Script script) throws IOException {
		Thread.ofVirtual().start(() -> accept(script));
	}

	private void accept(Script script) {
		while (!this.socket.isClosed()) {
			try {
				Socket accepted = this.socket.accept();
				int number = this.connections.incrementAndGet();
				Thread.ofVirtual().start(() -> follow(script, accepted, number));
			}
			catch (IOException ex) {
				// The server was closed.
			}
		}
	}

	private static void follow(Script script, Socket accepted, int number) {
		try (accepted) {
			script.run(new Connection(accepted, number,
					new BufferedReader(new InputStreamReader(accepted.getInputStream(), StandardCharsets.ISO_8859_1))));
		}
		catch (IOException ex) {
			// The client closed the connection.
		}
	}

	InetSocketAddress address() {
		return (InetSocketAddress) this.socket.getLocalSocketAddress();
	}

	int connections() {
		return this.connections.get();
	}

	// An answer to the request with this id, with a body.
	static String answer(int status, String id, String body) {
		return "HTTP/1.1 %d Any\r\nKeep-Alive: timeout=10\r\nRequest: %s\r\nContent-Length: %d\r\n\r\n%s"
			.formatted(status, id, body.length(), body);
	}

	// Reads what an answer of such a server names. Each that names a request counts as
	// stamped.
	static AnswerIdentity identity(List<HeaderField> headers) {
		List<String> ids = headers.stream()
			.filter((field) -> field.name().equals("Request"))
			.map(HeaderField::value)
			.toList();
		return new AnswerIdentity(ids, ids.isEmpty() ? List.of() : List.of("stamp"));
	}

	// An answer that names no request.
	static String answer(int status, String body) {
		return "HTTP/1.1 %d Any\r\nKeep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\n%s".formatted(status,
				body.length(), body);
	}

	@Override
	public void close() throws IOException {
		this.socket.close();
	}

	interface Script {

		void run(Connection connection) throws IOException;

	}

	/**
	 * A connection of a client.
	 *
	 * @param socket its socket
	 * @param number its number, from 1
	 * @param in what the client sends
	 */
	record Connection(Socket socket, int number, BufferedReader in) {

		// Reads a request without a body and returns its id.
		String read() throws IOException {
			String id = "";
			for (String line = this.in.readLine(); !"".equals(line); line = this.in.readLine()) {
				if (line == null) {
					throw new IOException("the client closed the connection");
				}
				if (line.startsWith("Request: ")) {
					id = line.substring("Request: ".length());
				}
			}
			return id;
		}

		void write(String text) throws IOException {
			this.socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
		}

	}

}
