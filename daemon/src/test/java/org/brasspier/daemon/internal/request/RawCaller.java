package org.brasspier.daemon.internal.request;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * A caller that sends exactly the bytes given by a test.
 */
final class RawCaller implements AutoCloseable {

	private static final int WAIT_MILLIS = 20_000;

	private final Socket socket;

	RawCaller(int port) throws IOException {
		this.socket = new Socket("127.0.0.1", port);
		this.socket.setSoTimeout(WAIT_MILLIS);
	}

	void send(String text) throws IOException {
		send(text.getBytes(StandardCharsets.ISO_8859_1));
	}

	void send(byte[] bytes) throws IOException {
		this.socket.getOutputStream().write(bytes);
	}

	// Reads at least one byte.
	String readSome() throws IOException {
		byte[] buffer = new byte[4096];
		int count = this.socket.getInputStream().read(buffer);
		return new String(buffer, 0, Math.max(0, count), StandardCharsets.ISO_8859_1);
	}

	// Reads until the daemon closes the connection.
	String readAll() throws IOException {
		return new String(this.socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
	}

	@Override
	public void close() throws IOException {
		this.socket.close();
	}

}
