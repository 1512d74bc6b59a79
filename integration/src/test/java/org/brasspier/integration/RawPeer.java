package org.brasspier.integration;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;

/**
 * Sends bytes to a port for daemons.
 */
final class RawPeer {

	private static final int WAIT_MILLIS = 10_000;

	private RawPeer() {
	}

	/** Tells whether the other side closed the connection within ten seconds. */
	static boolean send(InetSocketAddress address, byte[] bytes) throws IOException {
		try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
			socket.setSoTimeout(WAIT_MILLIS);
			socket.getOutputStream().write(bytes);
			return drained(socket);
		}
	}

	private static boolean drained(Socket socket) {
		try {
			while (socket.getInputStream().read() >= 0) {
				continue;
			}
			return true;
		}
		catch (SocketTimeoutException ex) {
			return false;
		}
		catch (IOException ex) {
			return true;
		}
	}

}
