package org.brasspier.integration;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;

/**
 * Sends bytes to a port and returns what is received until the other side closes the
 * connection or sends nothing for a second.
 */
final class RawHttp {

	private static final int READ_TIMEOUT_MILLIS = 1000;

	private RawHttp() {
	}

	static String send(InetSocketAddress address, String text) throws IOException {
		return send(address, text.getBytes(StandardCharsets.ISO_8859_1));
	}

	static String send(InetSocketAddress address, byte[] bytes) throws IOException {
		try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
			socket.setSoTimeout(READ_TIMEOUT_MILLIS);
			socket.getOutputStream().write(bytes);
			return readResponse(socket);
		}
	}

	private static String readResponse(Socket socket) throws IOException {
		StringBuilder text = new StringBuilder();
		byte[] buffer = new byte[8192];
		try {
			for (int count = socket.getInputStream().read(buffer); count >= 0; count = socket.getInputStream()
				.read(buffer)) {
				text.append(new String(buffer, 0, count, StandardCharsets.ISO_8859_1));
			}
		}
		catch (SocketTimeoutException ex) {
			// The other side sent nothing for a second: the response is complete.
		}
		catch (IOException ex) {
			text.append("[closed]");
		}
		return text.toString();
	}

	static String request(String method, String path, String headers, String body) {
		return "%s %s HTTP/1.1\r\nHost: brasspier\r\n%sContent-Length: %d\r\n\r\n%s".formatted(method, path, headers,
				body.length(), body);
	}

}
